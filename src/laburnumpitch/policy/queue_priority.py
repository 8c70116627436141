"""Priority of requests that wait at a node for capacity at a target.

When a burst or a lost target makes it impossible to serve all requests in time, those
that can still meet their objective go first. First come, first served would delay
every request by the length of the queue, including those that arrive last.
"""

from __future__ import annotations

from dataclasses import dataclass

ANSWER_LATENCY_S = 0.1
"""Expected time from dispatch to the answer, or to the first event of a stream."""


@dataclass(frozen=True)
class QueuePriority:
    """The properties of a waiting request that decide its position in the queue."""

    priority_class: int
    """Priority class; 0 goes first."""
    due_s: float
    """Time by which its latency objective requires an answer."""


def can_meet_objective(priority: QueuePriority, now_s: float) -> bool:
    """Whether a request that is dispatched now would meet its objective."""
    return now_s + ANSWER_LATENCY_S <= priority.due_s


def get_sort_key(priority: QueuePriority, now_s: float) -> tuple[bool, int, float]:
    """Return a sort key: requests that can meet their objective go first.

    Among equals, the priority class decides, then the due time.
    """
    return (
        not can_meet_objective(priority, now_s),
        priority.priority_class,
        priority.due_s,
    )
