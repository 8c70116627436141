"""Decides which targets may get requests while some ask for none for a time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

RETURN_SPREAD_SHARE = 0.25
"""Largest share of the time that is added at random, so that the nodes do not return to
a target at the same moment."""

TRIAL_SHARE = 0.5
"""Share of the time after which a target may get one trial, if no other one is left:
the time that it stated may be wrong."""


@dataclass(frozen=True)
class ShedPeriod:
    """A time in which a target asks for no requests."""

    start_s: float
    end_s: float
    has_tried: bool = False
    """Whether the target has got its trial."""

    def may_try(self, now_s: float) -> bool:
        """Whether the target may get a trial."""
        trial_s = self.start_s + (self.end_s - self.start_s) * TRIAL_SHARE
        return not self.has_tried and now_s >= trial_s


def make_period(
    now_s: float, duration_s: float, random_share: float, current: ShedPeriod | None
) -> ShedPeriod:
    """Return the period after an answer that asks for no requests.

    It extends a current one, whose trial is not repeated.

    Args:
        now_s: Time of the answer.
        duration_s: Time that the target stated.
        random_share: Random number from 0 to 1.
        current: The target's period; None without one.
    """
    end_s = now_s + duration_s * (1.0 + RETURN_SPREAD_SHARE * random_share)
    if current is None or current.end_s <= now_s:
        return ShedPeriod(now_s, end_s)
    return ShedPeriod(current.start_s, max(current.end_s, end_s), current.has_tried)


def find_usable(periods: Sequence[ShedPeriod | None], now_s: float) -> list[int]:
    """Return which targets of a service may get a request, by their index.

    Args:
        periods: Current or last period of each target; None without one.
        now_s: Current time.
    """
    open_targets = [
        index
        for index, period in enumerate(periods)
        if period is None or period.end_s <= now_s
    ]
    if open_targets:
        return open_targets
    return [index for index, period in enumerate(periods) if period.may_try(now_s)]
