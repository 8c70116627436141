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

INITIAL_BACKOFF_S = 0.5
"""Backoff after a target's first failure, in which it gets no requests."""

MAX_BACKOFF_S = 10.0
"""Maximum backoff of a failing target."""

SLOW_START_S = 5.0
"""Time over which the request limit of a recovered target rises to its number of
slots."""

REPORT_LAG_S = 0.3
"""Assumed age of a load report when it arrives."""

MAX_UNREPORTED_AGE_S = 1.0
"""Age from which a request in flight counts as part of its target's reported load, even
without a new load report."""

SMOOTHING_FACTOR = 0.2
"""Weight of a new sample in an exponential moving average."""

FAST_SMOOTHING_FACTOR = 0.4
"""Weight of a link sample below half of the average, so that a link that has become
slow is detected sooner."""

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
class TrackedTarget:
    """One target's state, as seen by this node."""

    machine: StateMachine
    incarnation: int
    inflight: dict[str, tuple[float, int]] = field(default_factory=dict)
    """Start time and prefill tokens of each request in flight, by attempt."""
    service_s: float = DEFAULT_SERVICE_S
    """Moving average of the time for which a request occupies a slot."""
    backoff_s: float = INITIAL_BACKOFF_S
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
class TrackedLink:
    """The state of the link to one store, as seen by this node."""

    bytes_per_s: float
    """Moving average of the rates of reads."""
    last_sample_s: float
    """Monotonic time of the last sample."""
    queued_bytes: int = 0
    """Bytes of planned reads that have not completed."""


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
        self.tracked_targets: dict[str, TrackedTarget] = {}
        self.links: dict[str, TrackedLink] = {}
        view.listeners.append(self.remove_departed)

    def remove_departed(self) -> None:
        """Remove targets that left the view and have no requests in flight."""
        for target_id in set(self.tracked_targets) - set(self.view.targets.items):
            if not self.tracked_targets[target_id].inflight:
                del self.tracked_targets[target_id]

    def get_tracked_target(self, target: TargetInfo) -> TrackedTarget:
        """Return a target's state; a new incarnation gets a new one."""
        tracked = self.tracked_targets.get(target.target_id)
        if tracked is None:
            tracked = TrackedTarget(StateMachine(self.chart), target.incarnation)
            self.tracked_targets[target.target_id] = tracked
        elif tracked.incarnation != target.incarnation:
            replacement = TrackedTarget(StateMachine(self.chart), target.incarnation)
            replacement.returned_s = self.get_time_s()
            self.tracked_targets[target.target_id] = tracked = replacement
        return tracked

    def record_sent(
        self, target: TargetInfo, attempt: str, prefill_tokens: int
    ) -> None:
        """Add a request in flight; a failing target is probed with it."""
        tracked = self.get_tracked_target(target)
        tracked.inflight[attempt] = (self.get_time_s(), prefill_tokens)
        if tracked.machine.state == "failing":
            tracked.machine.fire("probe")

    def record_ended(self, target: TargetInfo, attempt: str) -> None:
        """Remove a request in flight, whatever its outcome."""
        tracked = self.tracked_targets.get(target.target_id)
        if tracked is not None:
            tracked.inflight.pop(attempt, None)

    def record_success(self, target: TargetInfo, duration_s: float) -> None:
        """Update the average service time, and reset the backoff."""
        tracked = self.get_tracked_target(target)
        tracked.service_s += SMOOTHING_FACTOR * (duration_s - tracked.service_s)
        if tracked.machine.state == "probing":
            tracked.machine.fire("succeed")
            tracked.returned_s = self.get_time_s()
        elif tracked.machine.state == "announced":
            tracked.machine.fire("report")
        tracked.backoff_s = INITIAL_BACKOFF_S

    def record_failure(self, target: TargetInfo) -> None:
        """Start a backoff, and double the next one up to `MAX_BACKOFF_S`."""
        tracked = self.get_tracked_target(target)
        if tracked.machine.state not in ("leaving", "gone"):
            tracked.machine.fire("fail")
        tracked.closed_until_s = self.get_time_s() + tracked.backoff_s
        tracked.backoff_s = min(MAX_BACKOFF_S, tracked.backoff_s * 2)

    def accepts_requests(self, target: TargetInfo) -> bool:
        """Whether a target may get a request now.

        After its backoff, a target gets one probe. Once that succeeds, the limit
        of its requests rises over `SLOW_START_S`.
        """
        tracked = self.get_tracked_target(target)
        if tracked.machine.state == "failing":
            return self.get_time_s() >= tracked.closed_until_s
        if tracked.machine.state == "probing":
            return not tracked.inflight
        if self.get_time_s() - tracked.returned_s < SLOW_START_S:
            return len(tracked.inflight) < self.get_slow_start_limit(target, tracked)
        return True

    def get_slow_start_limit(self, target: TargetInfo, tracked: TrackedTarget) -> int:
        """Return how many requests a recovered target may have in flight."""
        share = (self.get_time_s() - tracked.returned_s) / SLOW_START_S
        return 1 + int(share * target.slots)

    def get_candidate(self, target: TargetInfo, data_centre: str) -> EngineCandidate:
        """Return a target's state in the form that target selection needs."""
        tracked = self.get_tracked_target(target)
        load = self.view.loads.get(target.target_id)
        if load is None or load.incarnation != target.incarnation:
            load = TargetLoad(target.target_id, target.incarnation, 0)
        if load.sequence != tracked.report_sequence:
            tracked.report_sequence = load.sequence
            tracked.report_s = self.get_time_s()
        unreported_since_s = max(
            tracked.report_s - REPORT_LAG_S,
            self.get_time_s() - MAX_UNREPORTED_AGE_S,
        )
        unreported = [
            item for item in tracked.inflight.values() if item[0] > unreported_since_s
        ]
        return EngineCandidate(
            target.target_id,
            target.slots,
            max(load.running, len(tracked.inflight) - len(unreported)),
            load.queued,
            load.queued_prefill_tokens,
            len(unreported),
            sum(tokens for _, tokens in unreported),
            max(1.0, target.prefill_tokens_per_s),
            target.kv_bytes_per_token,
            tracked.service_s,
            target.data_centre == data_centre,
        )

    def get_link(self, store: TargetInfo) -> TrackedLink:
        """Return a store's link; a new one starts at its nominal rate."""
        nominal_bytes_per_s = max(1.0, store.link_bytes_per_s)
        link = self.links.get(store.target_id)
        if link is None:
            link = TrackedLink(nominal_bytes_per_s, self.get_time_s())
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
