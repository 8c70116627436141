"""Timeouts of connections to targets, and after which a request is retried."""

from __future__ import annotations

from .configuration import Route

START_TIMEOUT_OBJECTIVES = 3.0
"""Latency objectives that pass without a first byte or event before a retryable
request goes to another target."""

MIN_TIMEOUT_S = 1.0
"""Shortest timeout, for routes with a very short objective."""

GAP_TIMEOUT_OBJECTIVES = 3.0
"""Gap objectives that pass without an event before a resumable stream goes on at
another target."""

CONNECT_TIMEOUT_S = 0.35
"""Timeout of connecting to a target. A millisecond is usual; a target that is cut off
does not answer at all."""

PROBE_TIMEOUT_S = 0.1
"""Timeout of a probe, which is connecting to a possibly unreachable target."""

MAX_IDLE_NON_RETRYABLE_S = 0.5
"""Longest idle time of a connection that a non-retryable request uses: the target may
close it while the request is written, which leaves open whether the request ran."""

MAX_IDLE_RETRYABLE_S = 10.0
"""Longest idle time of a connection that a retryable request uses."""


def get_start_timeout_s(route: Route) -> float:
    """Return the timeout for an answer's headers, or for a stream's first event."""
    return max(MIN_TIMEOUT_S, route.objective_s * START_TIMEOUT_OBJECTIVES)


def get_gap_timeout_s(route: Route) -> float:
    """Return the timeout between two events of a stream."""
    return max(MIN_TIMEOUT_S, route.gap_objective_s * GAP_TIMEOUT_OBJECTIVES)
