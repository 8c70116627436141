"""Decides whether a request that is late at its target is sent to a second one.

The load it answers: one engine of many is slow or stalls for a moment, so that a few
answers are late while other engines have room. A second send costs them work. It is
worth that only while the others are fast, have room, and the first one stays late for
longer than they take. When everything is slow at once, a second send of each request
doubles the load at its peak; so nothing is sent then.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .usual_latency import RequestKind, UsualDuration, UsualLatency

MEDIAN_FACTOR = 2.0
"""Usual medians for which a target may take before it counts as slow. A second target
needs one, so that less would send requests whose first answer is as good as there."""

MIN_THRESHOLD_S = 0.02
"""Shortest time before a second send: a call to the coordinator takes as long."""

WINDOW_S = 10.0
"""Length of the sliding window in which requests and second sends are counted."""

RECENT_S = 0.5
"""Age up to which an answer tells whether other targets are slow now."""

MAX_LATE_SHARE = 0.25
"""Share of late requests at other targets above which the targets count as slow all
together."""

MIN_LATE = 2
"""Late requests at other targets from which that share counts."""

RECHECK_FACTOR = 2.0
"""Growth of a request's age between two decisions on it, so that the slowest requests
get what is left of the share."""

LOST_FACTOR = 1.15
"""Growth of the threshold after a second send that did not win."""

WON_FACTOR = 0.8
"""Decrease of a raised threshold after a second send that won. One that wins makes up
for one and a half that lose."""

MAX_PATIENCE = 4.0
"""Largest factor of the threshold that lost sends lead to."""

ATTEMPTS = "attempts"
DEADLINE = "deadline"
SUSPECT = "suspect"
NO_TARGET = "no_target"
LOADED = "loaded"
BUDGET = "budget"
ALL_SLOW = "all_slow"
SHARE = "share"

REASONS = (ATTEMPTS, DEADLINE, SUSPECT, NO_TARGET, LOADED, BUDGET, ALL_SLOW, SHARE)
"""Reasons against a second send, in the order in which they are looked for."""


@dataclass(frozen=True)
class HedgeOutlook:
    """What a second send depends on besides the latencies."""

    runs_left: int
    """Further targets that the route allows besides the one that has the request."""
    remaining_s: float
    """Time left until the request has to be answered."""
    is_suspect: bool
    """Whether the request, or a piece of its prompt, may crash targets."""
    has_other_target: bool
    """Whether a sound target is left that has not got the request."""
    is_loaded: bool
    """Whether requests wait at this node for a target of the service."""
    has_budget: bool
    """Whether the node may send one more retry to the service."""


@dataclass(frozen=True)
class RunningRequest:
    """A request at its first target."""

    kind: RequestKind
    target_id: str
    sent_s: float


@dataclass
class Patience:
    """Factor of a kind's threshold, which sends that do not win raise."""

    factor: float = 1.0

    def record(self, has_won: bool) -> None:
        """Record the outcome of a second send."""
        factor = self.factor * (WON_FACTOR if has_won else LOST_FACTOR)
        self.factor = min(MAX_PATIENCE, max(1.0, factor))


@dataclass
class HedgePolicy:
    """The decisions of one node, and what it has learnt for them.

    Args:
        share: Second sends allowed for each request in a window.
    """

    share: float
    usual: UsualLatency = field(default_factory=UsualLatency)
    requests: deque[float] = field(default_factory=deque)
    """Times of the requests in the window."""
    sends: deque[float] = field(default_factory=deque)
    """Times of the second sends in the window."""
    running: dict[int, RunningRequest] = field(default_factory=dict)
    """Requests at their first target, by a number of the caller."""
    patience: dict[RequestKind, Patience] = field(default_factory=dict)

    def record_request(self, now_s: float) -> None:
        """Count a request that may be sent to a second target."""
        self.requests.append(now_s)
        self.expire(now_s)

    def start(
        self, number: int, kind: RequestKind, target_id: str, now_s: float
    ) -> None:
        """Record that a request is sent to a target, from which it may be sent on."""
        self.running[number] = RunningRequest(kind, target_id, now_s)

    def end(self, number: int) -> None:
        """Record that a request waits for its first answer no more."""
        self.running.pop(number, None)

    def expire(self, now_s: float) -> None:
        """Drop the times that have left the window."""
        for times in (self.requests, self.sends):
            while times and times[0] < now_s - WINDOW_S:
                times.popleft()

    def find_usual(
        self, kind: RequestKind, target_id: str, now_s: float
    ) -> UsualDuration | None:
        """Return what other targets usually take, or None if it is not known."""
        return self.usual.find(kind, target_id, now_s)

    def get_threshold_s(self, kind: RequestKind, usual: UsualDuration) -> float:
        """Return the age from which a request counts as late."""
        patience = self.patience.get(kind, Patience())
        base_s = max(usual.quantile_s, MEDIAN_FACTOR * usual.median_s, MIN_THRESHOLD_S)
        return base_s * patience.factor

    def are_all_slow(
        self, kind: RequestKind, target_id: str, threshold_s: float, now_s: float
    ) -> bool:
        """Whether other targets are late too, by their last answers and by requests
        that they have not answered."""
        recent = self.usual.list_others(kind, target_id, now_s - RECENT_S)
        late = sum(sample.duration_s > threshold_s for sample in recent)
        waiting = sum(
            request.kind == kind
            and request.target_id != target_id
            and now_s - request.sent_s > threshold_s
            for request in self.running.values()
        )
        late += waiting
        return late >= MIN_LATE and late > MAX_LATE_SHARE * (len(recent) + waiting)

    def has_share(self, now_s: float) -> bool:
        """Whether one more second send is within the operator's share."""
        self.expire(now_s)
        return len(self.sends) + 1 <= self.share * len(self.requests)

    def find_objection(
        self,
        outlook: HedgeOutlook,
        kind: RequestKind,
        target_id: str,
        usual: UsualDuration,
        now_s: float,
    ) -> str:
        """Return the reason against a second send of a late request; empty if none.

        Args:
            outlook: What it depends on besides the latencies.
            kind: The kind of the request.
            target_id: The target that has it.
            usual: What other targets usually take.
            now_s: Monotonic time.
        """
        threshold_s = self.get_threshold_s(kind, usual)
        objections = {
            ATTEMPTS: outlook.runs_left <= 0,
            DEADLINE: outlook.remaining_s <= usual.median_s,
            SUSPECT: outlook.is_suspect,
            NO_TARGET: not outlook.has_other_target,
            LOADED: outlook.is_loaded,
            BUDGET: not outlook.has_budget,
            ALL_SLOW: self.are_all_slow(kind, target_id, threshold_s, now_s),
            SHARE: not self.has_share(now_s),
        }
        return next((reason for reason in REASONS if objections[reason]), "")

    def record_send(self, now_s: float) -> None:
        """Count a second send."""
        self.sends.append(now_s)

    def record_outcome(self, kind: RequestKind, has_won: bool) -> None:
        """Record whether a second send answered before the first one."""
        patience = self.patience.setdefault(kind, Patience())
        patience.record(has_won)
        if patience.factor == 1.0:
            # Kinds are unlimited; only raised thresholds are kept.
            del self.patience[kind]
