"""How long a target may be silent before a request goes to another one."""

from __future__ import annotations

from .configuration import Route

SILENCE_OBJECTIVES = 3.0
"""Objectives without a sign of life from a target, after which a request that may
be repeated goes to another one."""

MIN_SILENCE_S = 1.0
"""Least such time."""

SILENCE_GAPS = 3.0
"""Pauses between events, in those that are on time, after which a stream that can
go on elsewhere does."""


def get_first_silence_s(route: Route) -> float:
    """Return the time to an answer's beginning, or a stream's first event."""
    return max(MIN_SILENCE_S, route.objective_s * SILENCE_OBJECTIVES)


def get_later_silence_s(route: Route) -> float:
    """Return the time between two events of a stream."""
    return max(MIN_SILENCE_S, route.gap_s * SILENCE_GAPS)
