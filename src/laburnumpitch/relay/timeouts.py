"""How long a target may be silent before a request goes to another one."""

from __future__ import annotations

from .configuration import Route

FIRST_EVENT_TIMEOUT_OBJECTIVES = 3.0
"""Objectives without a sign of life from a target, after which a request that may
be repeated goes to another one."""

MIN_TIMEOUT_S = 1.0
"""Least such time."""

EVENT_GAP_TIMEOUT_GAPS = 3.0
"""Pauses between events, in those that are on time, after which a stream that can
go on elsewhere does."""


def get_first_event_timeout_s(route: Route) -> float:
    """Return the time to an answer's beginning, or a stream's first event."""
    return max(MIN_TIMEOUT_S, route.objective_s * FIRST_EVENT_TIMEOUT_OBJECTIVES)


def get_event_gap_timeout_s(route: Route) -> float:
    """Return the time between two events of a stream."""
    return max(MIN_TIMEOUT_S, route.gap_objective_s * EVENT_GAP_TIMEOUT_GAPS)
