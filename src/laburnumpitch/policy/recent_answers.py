"""A node's memory of the requests, and pieces of prompts, that targets answered.

Load: many copies of one sound request are under way at several engines, which crash
together for another reason.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

MEMORY_S = 10.0
"""Time for which a complete answer speaks for its request and pieces."""

MAX_ENTRIES = 5000
"""Maximum number of remembered requests, or pieces; the oldest ones are dropped."""


class RecentAnswers:
    """Times of the last complete answer, by a request's fingerprint or by piece."""

    def __init__(self) -> None:
        self.completed_s: dict[str, float] = {}
        """Time by fingerprint or piece, oldest first."""

    def record(self, names: Iterable[str], now_s: float) -> None:
        """Record a complete answer."""
        for name in names:
            self.completed_s.pop(name, None)
            self.completed_s[name] = now_s
        while len(self.completed_s) > MAX_ENTRIES:
            del self.completed_s[next(iter(self.completed_s))]

    def select_suspects(self, names: Sequence[str], now_s: float) -> list[str]:
        """Return what may have crashed a target.

        These are the ones without a complete answer lately, or all if each has one.
        """
        return self.select_incomplete(names, now_s) or list(names)

    def select_incomplete(self, names: Iterable[str], now_s: float) -> list[str]:
        """Return the ones without a complete answer lately."""
        return [
            name
            for name in names
            if now_s - self.completed_s.get(name, float("-inf")) > MEMORY_S
        ]
