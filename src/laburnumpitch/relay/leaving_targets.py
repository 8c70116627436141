"""Targets that stated in an answer that they are leaving."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..fleet.messages import TargetRecord
from ..logging import get_logger
from ..policy.leaving_targets import find_usable

KEEP_S = 60.0
"""Time for which a target's statement is kept after the target has left the fleet's
state, which a late announcement may bring back; as long as a gone target's entry."""

NOTICE_INTERVAL_S = 0.7
"""Least time between two notices to the leader about the same target."""


@dataclass
class LeavingStatement:
    """A statement of one incarnation of a target that it is leaving."""

    born_ms: int
    first_s: float
    """When this node first knew of it."""
    listed_s: float
    """When the fleet's state last had the target."""
    notified_s: float = float("-inf")
    """When the leader was last notified."""


class LeavingTargets:
    """Statements of targets that they are leaving, as this node knows them.

    They hold for an incarnation, whatever it announces later.

    Args:
        get_time_s: Monotonic time.
        drain_s: Time for which a leaving target still serves.
    """

    def __init__(self, get_time_s: Callable[[], float], drain_s: float) -> None:
        self.get_time_s = get_time_s
        self.drain_s = drain_s
        self.by_target: dict[str, LeavingStatement] = {}
        self.log = get_logger()

    def record(self, target: TargetRecord) -> None:
        """Record that a target is leaving."""
        known = self.by_target.get(target.target_id)
        if known is not None and known.born_ms >= target.born_ms:
            return
        now_s = self.get_time_s()
        self.by_target[target.target_id] = LeavingStatement(
            target.born_ms, now_s, now_s
        )
        self.log.info("target_leaving", target=target.target_id, service=target.service)

    def try_notify(self, target: TargetRecord) -> bool:
        """Whether the leader is due to be notified of a target; counts as done then."""
        known = self.by_target[target.target_id]
        now_s = self.get_time_s()
        if now_s < known.notified_s + NOTICE_INTERVAL_S:
            return False
        known.notified_s = now_s
        return True

    def get_age_s(self, target: TargetRecord) -> float | None:
        """Return the time since a target said that it is leaving; None if it has not.

        Earlier incarnations of a target that has left leave, too.
        """
        known = self.by_target.get(target.target_id)
        if known is None or known.born_ms < target.born_ms:
            return None
        return self.get_time_s() - known.first_s

    def select_usable(self, targets: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets of a service that may get new requests."""
        if not self.by_target:
            return targets
        ages_s = [self.get_age_s(target) for target in targets]
        return [targets[index] for index in find_usable(ages_s, self.drain_s)]

    def retain(self, records: Iterable[TargetRecord]) -> None:
        """Drop statements of targets that have been out of the fleet's state long."""
        now_s = self.get_time_s()
        for record in records:
            known = self.by_target.get(record.target_id)
            if known is not None:
                known.listed_s = now_s
        for target_id, known in list(self.by_target.items()):
            if now_s - known.listed_s > KEEP_S:
                del self.by_target[target_id]
