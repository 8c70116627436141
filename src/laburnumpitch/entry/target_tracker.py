"""Tracks the health, load and link speed of each target from this node's requests."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..membership.cluster_view import ClusterView
from ..membership.messages import TargetInfo, TargetLoad
from ..policy.selection_types import EngineCandidate, LinkState
from ..statechart import StateChart, StateMachine, load_chart
from ..targets.protocols import BlockRef, LinkSample

FIRST_BACKOFF_S = 0.5
"""Backoff after a target's first failure, in which it gets no requests."""

MAX_BACKOFF_S = 10.0
"""Maximum backoff of a failing target."""

SLOW_START_S = 5.0
"""Time over which the request limit of a recovered target rises to its slots."""

REPORT_LAG_S = 0.3
"""Assumed age of a load report when it arrives."""

MAX_REPORT_AGE_S = 1.0
"""Age at which a request counts as reported even without a new load report."""

SMOOTHING_FACTOR = 0.2
"""Weight of a new sample in an exponential moving average."""

FAST_SMOOTHING_FACTOR = 0.4
"""Weight of a link sample below half of the average; slow links show sooner."""

DEFAULT_SERVICE_S = 0.2
"""Assumed time for which a request occupies a slot, until there are samples."""

MIN_LINK_RATE_SHARE = 0.01
"""Lower bound of a link's estimated rate, as a share of its nominal rate."""

SLOW_LINK_RATE_SHARE = 0.35
"""Share of the nominal rate below which a link counts as slow."""

LINK_ESTIMATE_DECAY_S = 12.0
"""Time in which the estimate of a link returns from the last samples to the nominal
rate, so that a slow link is used again."""


@dataclass
class TargetRecord:
    """One target's state, as seen by this node."""

    machine: StateMachine
    incarnation: int
    inflight: dict[str, tuple[float, int]] = field(default_factory=dict)
    """Start time and prefill tokens of each request in flight, by attempt."""
    service_s: float = DEFAULT_SERVICE_S
    """Moving average of the time for which a request occupies a slot."""
    backoff_s: float = FIRST_BACKOFF_S
    """Duration of the backoff after the next failure."""
    closed_until_s: float = 0.0
    """Monotonic time at which the current backoff ends."""
    returned_s: float = float("-inf")
    """Monotonic time at which the target recovered or restarted."""
    report_s: float = float("-inf")
    """Monotonic time at which the last load report arrived."""
    report_sequence: int = -1
    """Sequence number of the last load report."""


@dataclass
class LinkRecord:
    """The state of the link to one store, as seen by this node."""

    bytes_per_s: float
    """Moving average of the rates of reads."""
    last_sample_s: float
    """Monotonic time of the last sample."""
    queued_bytes: int = 0
    """Bytes of planned reads that have not been done."""


class TargetTracker:
    """Health, load and links of the targets, as seen by one node.

    Args:
        view: The node's view.
        get_time_s: Returns the monotonic time.
    """

    def __init__(
        self, view: ClusterView, get_time_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.view = view
        self.get_time_s = get_time_s
        self.chart: StateChart = load_chart("target")
        self.records: dict[str, TargetRecord] = {}
        self.links: dict[str, LinkRecord] = {}
        view.listeners.append(self.remove_departed)

    def remove_departed(self) -> None:
        """Remove the records of targets that left the view and have no requests."""
        for target_id in set(self.records) - set(self.view.targets.items):
            if not self.records[target_id].inflight:
                del self.records[target_id]

    def get_record(self, target: TargetInfo) -> TargetRecord:
        """Return a target's record; a new incarnation gets a new record."""
        record = self.records.get(target.target_id)
        if record is None:
            record = TargetRecord(StateMachine(self.chart), target.incarnation)
            self.records[target.target_id] = record
        elif record.incarnation != target.incarnation:
            new_record = TargetRecord(StateMachine(self.chart), target.incarnation)
            new_record.returned_s = self.get_time_s()
            self.records[target.target_id] = record = new_record
        return record

    def record_sent(self, target: TargetInfo, attempt: str, tokens: int) -> None:
        """Add a request in flight; a failing target is probed with it."""
        record = self.get_record(target)
        record.inflight[attempt] = (self.get_time_s(), tokens)
        if record.machine.state == "failing":
            record.machine.fire("probe")

    def record_ended(self, target: TargetInfo, attempt: str) -> None:
        """Remove a request in flight, whatever its outcome."""
        record = self.records.get(target.target_id)
        if record is not None:
            record.inflight.pop(attempt, None)

    def record_success(self, target: TargetInfo, duration_s: float) -> None:
        """Update the average service time, and reset the backoff."""
        record = self.get_record(target)
        record.service_s += SMOOTHING_FACTOR * (duration_s - record.service_s)
        if record.machine.state == "probing":
            record.machine.fire("succeed")
            record.returned_s = self.get_time_s()
        elif record.machine.state == "announced":
            record.machine.fire("report")
        record.backoff_s = FIRST_BACKOFF_S

    def record_failure(self, target: TargetInfo) -> None:
        """Start a backoff, and double the next one up to `MAX_BACKOFF_S`."""
        record = self.get_record(target)
        if record.machine.state not in ("leaving", "gone"):
            record.machine.fire("fail")
        record.closed_until_s = self.get_time_s() + record.backoff_s
        record.backoff_s = min(MAX_BACKOFF_S, record.backoff_s * 2)

    def accepts_requests(self, target: TargetInfo) -> bool:
        """Whether a target may get a request now.

        After its backoff, a target gets one probe. Once that succeeds, the limit
        of its requests rises over `SLOW_START_S`.
        """
        record = self.get_record(target)
        if record.machine.state == "failing":
            return self.get_time_s() >= record.closed_until_s
        if record.machine.state == "probing":
            return not record.inflight
        if self.get_time_s() - record.returned_s < SLOW_START_S:
            return len(record.inflight) < self.get_slow_start_limit(target, record)
        return True

    def get_slow_start_limit(self, target: TargetInfo, record: TargetRecord) -> int:
        """Return how many requests a recovered target may have in flight."""
        share = (self.get_time_s() - record.returned_s) / SLOW_START_S
        return 1 + int(share * target.slots)

    def get_candidate(self, target: TargetInfo, data_centre: str) -> EngineCandidate:
        """Return a target's state in the form that target selection needs."""
        record = self.get_record(target)
        load = self.view.loads.get(target.target_id)
        if load is None or load.incarnation != target.incarnation:
            load = TargetLoad(target.target_id, target.incarnation, 0)
        if load.sequence != record.report_sequence:
            record.report_sequence = load.sequence
            record.report_s = self.get_time_s()
        unreported_since_s = max(
            record.report_s - REPORT_LAG_S, self.get_time_s() - MAX_REPORT_AGE_S
        )
        unreported = [
            item for item in record.inflight.values() if item[0] > unreported_since_s
        ]
        return EngineCandidate(
            target.target_id,
            target.slots,
            max(load.running, len(record.inflight) - len(unreported)),
            load.queued,
            load.queued_prefill_tokens,
            len(unreported),
            sum(tokens for _, tokens in unreported),
            max(1.0, target.prefill_tokens_per_s),
            target.kv_bytes_per_token,
            record.service_s,
            target.data_centre == data_centre,
        )

    def get_link(self, store: TargetInfo) -> LinkRecord:
        """Return a store's link; a new one starts at its nominal rate."""
        nominal_bytes_per_s = max(1.0, store.link_bytes_per_s)
        link = self.links.get(store.target_id)
        if link is None:
            link = LinkRecord(nominal_bytes_per_s, self.get_time_s())
            self.links[store.target_id] = link
        return link

    def get_link_state(self, store: TargetInfo) -> LinkState:
        """Return a link's state in the form that target selection needs.

        The estimated rate returns to the nominal one as the last sample ages.
        """
        link = self.get_link(store)
        nominal_bytes_per_s = max(1.0, store.link_bytes_per_s)
        age_s = self.get_time_s() - link.last_sample_s
        sample_weight = max(0.0, 1.0 - age_s / LINK_ESTIMATE_DECAY_S)
        estimated_bytes_per_s = (
            sample_weight * link.bytes_per_s
            + (1.0 - sample_weight) * nominal_bytes_per_s
        )
        return LinkState(
            max(estimated_bytes_per_s, nominal_bytes_per_s * MIN_LINK_RATE_SHARE),
            link.queued_bytes,
        )

    def is_link_slow(self, store: TargetInfo) -> bool:
        """Whether a store's link was recently much slower than its nominal rate."""
        estimated_bytes_per_s = self.get_link_state(store).bytes_per_s
        return estimated_bytes_per_s < SLOW_LINK_RATE_SHARE * store.link_bytes_per_s

    def update_queued_reads(self, imports: tuple[BlockRef, ...], sign: int) -> None:
        """Add planned reads to their links' queues (1) or remove them (-1)."""
        for ref in imports:
            link = self.links.get(ref.store_id)
            if link is not None:
                link.queued_bytes = max(0, link.queued_bytes + sign * ref.length)

    def record_link_samples(self, samples: list[LinkSample]) -> None:
        """Update the links' moving averages with the rates of reads."""
        for sample in samples:
            store = self.view.targets.items.get(sample.store_id)
            if store is None or sample.duration_s <= 0:
                continue
            link = self.get_link(store)
            measured_bytes_per_s = sample.sent_bytes / sample.duration_s
            nominal_bytes_per_s = max(1.0, store.link_bytes_per_s)
            measured_bytes_per_s = min(
                max(measured_bytes_per_s, nominal_bytes_per_s * MIN_LINK_RATE_SHARE),
                nominal_bytes_per_s,
            )
            weight = (
                SMOOTHING_FACTOR
                if measured_bytes_per_s > link.bytes_per_s / 2
                else FAST_SMOOTHING_FACTOR
            )
            link.bytes_per_s += weight * (measured_bytes_per_s - link.bytes_per_s)
            link.last_sample_s = self.get_time_s()
