"""Targets that ask this node for no requests for a time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from ..fleet.messages import TargetRecord
from ..logging import get_logger
from ..policy.shedding_targets import ShedPeriod, find_usable, make_period

TargetKey = tuple[str, int]
"""Identifier and start of a target's incarnation."""


class SheddingTargets:
    """Times in which targets ask this node for no requests, by incarnation.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float]) -> None:
        self.get_time_s = get_time_s
        self.random = random.Random()
        self.periods: dict[TargetKey, ShedPeriod] = {}
        self.log = get_logger()

    def record(self, target: TargetRecord, duration_s: float) -> None:
        """Record that a target asks for no requests for a time."""
        now_s = self.get_time_s()
        key = (target.target_id, target.born_ms)
        period = make_period(
            now_s, duration_s, self.random.random(), self.periods.get(key)
        )
        self.periods[key] = period
        self.log.info(
            "target_shedding",
            target=target.target_id,
            service=target.service,
            until_s=round(period.end_s - now_s, 2),
        )

    def record_start(self, target: TargetRecord) -> None:
        """Record that a request is sent to a target, which may be its trial."""
        key = (target.target_id, target.born_ms)
        period = self.periods.get(key)
        if period is not None:
            self.periods[key] = replace(period, has_tried=True)

    def select_usable(self, targets: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets of a service that may get a request."""
        if not self.periods:
            return targets
        periods = [self.periods.get((t.target_id, t.born_ms)) for t in targets]
        return [targets[i] for i in find_usable(periods, self.get_time_s())]

    def is_shedding(self, target: TargetRecord) -> bool:
        """Whether a target asks for no requests now."""
        period = self.periods.get((target.target_id, target.born_ms))
        return period is not None and period.end_s > self.get_time_s()

    def drop_ended(self) -> None:
        """Drop the periods that have ended."""
        now_s = self.get_time_s()
        self.periods = {
            key: period for key, period in self.periods.items() if period.end_s > now_s
        }
