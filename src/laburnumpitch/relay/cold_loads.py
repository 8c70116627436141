"""Counts the requests that cold targets get, for the log and the metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..logging import get_logger
from ..metrics import Metrics

LOG_INTERVAL_S = 5.0
"""Interval of the log lines with the load of the cold targets."""


@dataclass
class ColdLoad:
    """Requests to one cold target since the last log line."""

    granted: int = 0
    """Sends that this node granted as coordinator."""
    used: int = 0
    """Requests that this node sent."""
    local: int = 0
    """Requests among them that were sent without a grant."""
    expired: int = 0
    """Requests that this node did not send, since they had no valid grant."""


class ColdLoads:
    """Requests to the cold targets, by target.

    Args:
        get_time_s: Monotonic time.
        metrics: Records measurements.
    """

    def __init__(self, get_time_s: Callable[[], float], metrics: Metrics) -> None:
        self.get_time_s = get_time_s
        self.metrics = metrics
        self.by_target: dict[str, ColdLoad] = {}
        self.started_s = 0.0
        """When the first request since the last log lines was counted."""
        self.log = get_logger()

    def get(self, target_id: str) -> ColdLoad:
        """Return the load of a target, after lines that are due are logged."""
        self.write_due()
        if not self.by_target:
            self.started_s = self.get_time_s()
        return self.by_target.setdefault(target_id, ColdLoad())

    def write_due(self) -> None:
        """Log the load of each target at intervals, and start anew."""
        duration_s = self.get_time_s() - self.started_s
        if not self.by_target or duration_s < LOG_INTERVAL_S:
            return
        for target_id in list(self.by_target):
            self.write(target_id)

    def write(self, target_id: str) -> None:
        """Log the load of a target, if it has any, and forget it."""
        load = self.by_target.pop(target_id, None)
        if load is not None:
            self.log.info(
                "cold_load",
                target=target_id,
                granted=load.granted,
                used=load.used,
                local=load.local,
                expired=load.expired,
                seconds=round(self.get_time_s() - self.started_s, 1),
            )

    def record_granted(self, target_id: str) -> None:
        """Count a grant."""
        self.get(target_id).granted += 1
        self.metrics.count("cold.granted")

    def record_sent(self, target_id: str, is_local: bool) -> None:
        """Count a request that is sent."""
        load = self.get(target_id)
        load.used += 1
        if is_local:
            load.local += 1
            self.metrics.count("cold.local")

    def record_expired(self, target_id: str) -> None:
        """Count a request that is not sent."""
        self.get(target_id).expired += 1
        self.metrics.count("cold.expired")
