"""Orders the requests that wait for a place at a node.

Answers bursts and lost targets: when not all can be served in time, those that still
can go first. Serving the oldest first would make every request late by as much as
the queue is long, also those that came last.
"""

from __future__ import annotations

from dataclasses import dataclass

ANSWER_S = 0.1
"""Time from a place to the answer, or to a stream's first event."""


@dataclass(frozen=True)
class Claim:
    """A request's claim to the next place."""

    rank: int
    """Urgency; 0 goes first."""
    due_s: float
    """Time at which its objective passes."""


def can_be_on_time(claim: Claim, now_s: float) -> bool:
    """Whether a request that got a place now would meet its objective."""
    return now_s + ANSWER_S <= claim.due_s


def get_order(claim: Claim, now_s: float) -> tuple[bool, int, float]:
    """Return a sorting key: in time before late, then by rank, then by age."""
    return (not can_be_on_time(claim, now_s), claim.rank, claim.due_s)
