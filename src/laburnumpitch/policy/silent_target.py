"""Decides whether a request leaves a silent target for another one.

A sound target may be silent for a moment and go on. A request that leaves it and finds
no other target has lost an answer that would have come.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RetryOutlook:
    """What another run of a request depends on."""

    runs_left: int
    """Further targets that the route allows after what the client has received."""
    has_budget: bool
    """Whether the node may send one more retry to the service."""
    is_suspect: bool
    """Whether the request may crash another target."""
    has_other_target: bool
    """Whether a target may go on that has not failed, rejected or got the request."""
    remaining_s: float
    """Time left until the request has to be answered."""
    objective_s: float
    """Latency objective of an answer, which another target needs too."""


def can_run_elsewhere(outlook: RetryOutlook) -> bool:
    """Whether another target may run a request, if it has capacity."""
    return (
        outlook.runs_left > 0
        and outlook.has_budget
        and not outlook.is_suspect
        and outlook.has_other_target
        and outlook.remaining_s > outlook.objective_s
    )
