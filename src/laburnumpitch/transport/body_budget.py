"""Bounds the memory for answers that a process reads completely before using them."""

from __future__ import annotations

from ..errors import MalformedAnswerError

MAX_TOTAL_BYTES = 32 * 1024 * 1024
"""Bytes of all bodies that a process reads into memory at once."""

SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body is always read, whatever the others take."""


class BodyBudget:
    """Counts the bytes of the bodies that are being read."""

    def __init__(self) -> None:
        self.used_bytes = 0

    def open_reservation(self) -> BodyReservation:
        """Return an empty reservation for a body; the caller closes it."""
        return BodyReservation(self)


class BodyReservation:
    """The bytes that one body takes from a budget.

    Args:
        budget: The budget of the process.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.size = 0

    def grow(self, size: int) -> None:
        """Reserve further bytes.

        Raises:
            MalformedAnswerError: If the body is not small and the budget is exhausted.
        """
        self.size += size
        self.budget.used_bytes += size
        if self.size > SMALL_BODY_BYTES and self.budget.used_bytes > MAX_TOTAL_BYTES:
            raise MalformedAnswerError("answers take too much memory")

    def close(self) -> None:
        """Return the bytes to the budget."""
        self.budget.used_bytes -= self.size
        self.size = 0
