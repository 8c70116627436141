"""A node's memory of the pieces of prompts on which targets completed answers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

MEMORY_S = 10.0
"""Time for which a complete answer speaks for its pieces."""

MAX_PIECES = 5000
"""Maximum number of remembered pieces; the oldest ones are dropped."""


class CompletedPieces:
    """Times of the last complete answer on each piece."""

    def __init__(self) -> None:
        self.completed_s: dict[str, float] = {}
        """Time by piece, oldest first."""

    def record(self, pieces: Iterable[str], now_s: float) -> None:
        """Record a complete answer on the pieces of its prompt."""
        for piece in pieces:
            self.completed_s.pop(piece, None)
            self.completed_s[piece] = now_s
        while len(self.completed_s) > MAX_PIECES:
            del self.completed_s[next(iter(self.completed_s))]

    def select_suspects(self, pieces: Sequence[str], now_s: float) -> list[str]:
        """Return the pieces that may have crashed a target.

        These are the ones without a complete answer lately, or all if each has one.
        """
        return self.select_incomplete(pieces, now_s) or list(pieces)

    def select_incomplete(self, pieces: Iterable[str], now_s: float) -> list[str]:
        """Return the pieces without a complete answer lately."""
        return [
            piece
            for piece in pieces
            if now_s - self.completed_s.get(piece, float("-inf")) > MEMORY_S
        ]
