"""Orders the requests that wait for a place at a node.

Answers bursts and lost targets: when not all can be served in time, those that still
can go first. Serving the oldest first would make every request late by as much as
the queue is long, also those that came last.
"""

from __future__ import annotations

from dataclasses import dataclass

ANSWER_LATENCY_S = 0.1
"""Time from a place to the answer, or to a stream's first event."""


@dataclass(frozen=True)
class QueuePriority:
    """A request's claim to the next place."""

    rank: int
    """Urgency; 0 goes first."""
    due_s: float
    """Time at which its objective passes."""


def can_meet_objective(priority: QueuePriority, now_s: float) -> bool:
    """Whether a request that got a place now would meet its objective."""
    return now_s + ANSWER_LATENCY_S <= priority.due_s


def get_sort_key(priority: QueuePriority, now_s: float) -> tuple[bool, int, float]:
    """Return a sorting key: in time before late, then by rank, then by age."""
    return (not can_meet_objective(priority, now_s), priority.rank, priority.due_s)
