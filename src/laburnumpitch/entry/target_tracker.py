"""What this node knows of each target from its own requests."""

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
"""Time for which a target gets no requests after its first failure."""

MAX_BACKOFF_S = 10.0
"""Longest time for which a failing target gets no requests."""

SLOW_START_S = 5.0
"""Time over which a target that returned gets its full share of requests."""

REPORT_LAG_S = 0.3
"""Age of a load report when it arrives."""

MAX_REPORT_AGE_S = 1.0
"""Requests sent longer ago are in the report."""

SMOOTHING = 0.2
"""Weight of a new sample in a moving average."""

FAST_SMOOTHING = 0.4
"""Weight of a sample that is below half of the average."""

DEFAULT_SERVICE_S = 0.2
"""Time that a request holds a slot before there are samples."""

MIN_LINK_SHARE = 0.01
"""Smallest rate that a link is thought to have, as a share of its own report."""

SLOW_LINK_SHARE = 0.35
"""Part of the nominal rate below which a link counts as slow."""

LINK_RECOVERY_S = 12.0
"""Time in which the belief in a slow link fades, so that it is tried again."""


@dataclass
class TargetRecord:
    """This node's own account of one target."""

    machine: StateMachine
    incarnation: int
    inflight: dict[str, tuple[float, int]] = field(default_factory=dict)
    """Time of sending and context to compute, by attempt."""
    service_s: float = DEFAULT_SERVICE_S
    backoff_s: float = FIRST_BACKOFF_S
    closed_until_s: float = 0.0
    returned_s: float = float("-inf")
    report_s: float = float("-inf")
    report_sequence: int = -1


@dataclass
class LinkRecord:
    """This node's own account of one store's link."""

    bytes_per_s: float
    sampled_s: float
    queued_bytes: int = 0


class TargetTracker:
    """Health, load and links of targets as one node sees them.

    Args:
        view: The node's view.
        get_time_s: Monotonic time.
    """

    def __init__(
        self, view: ClusterView, get_time_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.view = view
        self.get_time_s = get_time_s
        self.chart: StateChart = load_chart("target")
        self.records: dict[str, TargetRecord] = {}
        self.links: dict[str, LinkRecord] = {}
        view.listeners.append(self.drop_gone)

    def drop_gone(self) -> None:
        """Forget targets that left the view and hold no request."""
        for target_id in set(self.records) - set(self.view.targets.items):
            if not self.records[target_id].inflight:
                del self.records[target_id]

    def get_record(self, target: TargetInfo) -> TargetRecord:
        """Return a target's record, a new one for a new incarnation."""
        record = self.records.get(target.target_id)
        if record is None:
            record = TargetRecord(StateMachine(self.chart), target.incarnation)
            self.records[target.target_id] = record
        elif record.incarnation != target.incarnation:
            fresh = TargetRecord(StateMachine(self.chart), target.incarnation)
            fresh.returned_s = self.get_time_s()
            self.records[target.target_id] = record = fresh
        return record

    # Requests.

    def note_sent(self, target: TargetInfo, attempt: str, tokens: int) -> None:
        """Count a request as sent."""
        record = self.get_record(target)
        record.inflight[attempt] = (self.get_time_s(), tokens)
        if record.machine.state == "failing":
            record.machine.fire("probe")

    def note_done(self, target: TargetInfo, attempt: str) -> None:
        """Count a request as ended, whatever its outcome."""
        record = self.records.get(target.target_id)
        if record is not None:
            record.inflight.pop(attempt, None)

    def note_success(self, target: TargetInfo, duration_s: float) -> None:
        """Learn from a whole answer."""
        record = self.get_record(target)
        record.service_s += SMOOTHING * (duration_s - record.service_s)
        if record.machine.state == "probing":
            record.machine.fire("succeed")
            record.returned_s = self.get_time_s()
        elif record.machine.state == "announced":
            record.machine.fire("report")
        record.backoff_s = FIRST_BACKOFF_S

    def note_failure(self, target: TargetInfo) -> None:
        """Give a target that failed no requests for a while."""
        record = self.get_record(target)
        if record.machine.state not in ("leaving", "gone"):
            record.machine.fire("fail")
        record.closed_until_s = self.get_time_s() + record.backoff_s
        record.backoff_s = min(MAX_BACKOFF_S, record.backoff_s * 2)

    def is_open(self, target: TargetInfo) -> bool:
        """Whether a target may get a request now."""
        record = self.get_record(target)
        if record.machine.state == "failing":
            return self.get_time_s() >= record.closed_until_s
        if record.machine.state == "probing":
            return not record.inflight
        if self.get_time_s() - record.returned_s < SLOW_START_S:
            return len(record.inflight) < self.get_slow_start_limit(target, record)
        return True

    def get_slow_start_limit(self, target: TargetInfo, record: TargetRecord) -> int:
        """Return how many requests a target that returned may hold."""
        share = (self.get_time_s() - record.returned_s) / SLOW_START_S
        return 1 + int(share * target.slots)

    def get_candidate(self, target: TargetInfo, data_centre: str) -> EngineCandidate:
        """Return a target as the choice sees it."""
        record = self.get_record(target)
        load = self.view.loads.get(target.target_id)
        if load is None or load.incarnation != target.incarnation:
            load = TargetLoad(target.target_id, target.incarnation, 0)
        if load.sequence != record.report_sequence:
            record.report_sequence = load.sequence
            record.report_s = self.get_time_s()
        since_s = max(
            record.report_s - REPORT_LAG_S, self.get_time_s() - MAX_REPORT_AGE_S
        )
        unreported = [item for item in record.inflight.values() if item[0] > since_s]
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

    # Links.

    def get_link(self, store: TargetInfo) -> LinkRecord:
        """Return a store's link; belief in a slow one fades with time."""
        nominal = max(1.0, store.link_bytes_per_s)
        link = self.links.get(store.target_id)
        if link is None:
            link = LinkRecord(nominal, self.get_time_s())
            self.links[store.target_id] = link
        return link

    def get_link_state(self, store: TargetInfo) -> LinkState:
        """Return a store's link as the choice sees it."""
        link = self.get_link(store)
        nominal = max(1.0, store.link_bytes_per_s)
        age_s = self.get_time_s() - link.sampled_s
        trust = max(0.0, 1.0 - age_s / LINK_RECOVERY_S)
        rate = trust * link.bytes_per_s + (1.0 - trust) * nominal
        return LinkState(max(rate, nominal * MIN_LINK_SHARE), link.queued_bytes)

    def is_link_slow(self, store: TargetInfo) -> bool:
        """Whether a store's link lately carried much less than it reports."""
        rate = self.get_link_state(store).bytes_per_s
        return rate < SLOW_LINK_SHARE * store.link_bytes_per_s

    def note_reads(self, imports: tuple[BlockRef, ...], sign: int) -> None:
        """Count planned reads into (1) or out of (-1) their links' queues."""
        for ref in imports:
            link = self.links.get(ref.store_id)
            if link is not None:
                link.queued_bytes = max(0, link.queued_bytes + sign * ref.length)

    def note_link_samples(self, samples: list[LinkSample]) -> None:
        """Learn the rates that reads had."""
        for sample in samples:
            store = self.view.targets.items.get(sample.store_id)
            if store is None or sample.duration_s <= 0:
                continue
            link = self.get_link(store)
            rate = sample.sent_bytes / sample.duration_s
            nominal = max(1.0, store.link_bytes_per_s)
            rate = min(max(rate, nominal * MIN_LINK_SHARE), nominal)
            weight = SMOOTHING if rate > link.bytes_per_s / 2 else FAST_SMOOTHING
            link.bytes_per_s += weight * (rate - link.bytes_per_s)
            link.sampled_s = self.get_time_s()
