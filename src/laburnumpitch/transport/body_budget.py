"""Bounds the memory for answers that a process reads completely before using them."""

from __future__ import annotations

from ..errors import MalformedAnswerError
from ..policy.client_budget import MAX_WINDOW_BYTES, Holding
from .client_gate import ClientGate

MAX_TOTAL_BYTES = 32 * 1024 * 1024
"""Bytes of all bodies that a process without a gate reads into memory at once."""

SMALL_BODY_BYTES = 64 * 1024
"""Size up to which such a process always reads a body, whatever the others take."""


class BodyBudget:
    """Counts the bytes of the bodies that are being read."""

    def __init__(self) -> None:
        self.used_bytes = 0
        self.gate: ClientGate | None = None
        """Budget that the bodies share with clients' requests; None for their own."""

    def open_reservation(self) -> BodyReservation:
        """Return an empty reservation for a body; the caller closes it."""
        return BodyReservation(self)

    def get_window_bytes(self) -> int:
        """Return the number of bytes that a connection receives ahead."""
        if self.gate is None:
            return MAX_WINDOW_BYTES
        return self.gate.budget.get_window_bytes()


class BodyReservation:
    """The bytes that one body takes from a budget.

    Args:
        budget: The budget of the process.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.gate = budget.gate
        self.holding: Holding | None = None
        self.size = 0
        self.ahead_bytes = 0
        """Bytes of `size` that have not arrived."""

    async def grow(self, size: int) -> None:
        """Reserve further bytes; with a gate, wait until there is room for them.

        Raises:
            MalformedAnswerError: If the body is not small and the budget is exhausted,
                or too small for the body alone.
            TargetTimeoutError: If there is no room in time.
        """
        size = self.add(size)
        if size == 0:
            return
        if self.gate is not None:
            await self.wait_for_room(self.gate, size)
        elif self.size > SMALL_BODY_BYTES and self.budget.used_bytes > MAX_TOTAL_BYTES:
            raise MalformedAnswerError("answers take too much memory")

    def add(self, size: int) -> int:
        """Count bytes; return how many of them were not reserved ahead."""
        ahead = min(self.ahead_bytes, size)
        self.ahead_bytes -= ahead
        self.size += size - ahead
        self.budget.used_bytes += size - ahead
        return size - ahead

    async def grow_ahead(self, size: int) -> bool:
        """Reserve bytes before they arrive, if the process has a gate.

        Several bodies that each have a part of the room would wait for each other.

        Returns:
            Whether there was no room at first.

        Raises:
            MalformedAnswerError: If they are more than the budget.
            TargetTimeoutError: If there is no room in time.
        """
        if self.gate is None or size <= SMALL_BODY_BYTES:
            return False
        if self.holding is None:
            self.holding = self.gate.budget.open_answer()
        has_room = self.gate.budget.may_grow(self.holding, size)
        await self.grow(size)
        self.ahead_bytes = size
        return not has_room

    def shrink_to(self, size: int) -> None:
        """Return what exceeds a size to the budget."""
        excess = self.size - size
        if excess > 0:
            self.size = size
            self.budget.used_bytes -= excess
            if self.gate is not None and self.holding is not None:
                self.gate.resize(self.holding, size)

    async def wait_for_room(self, gate: ClientGate, size: int) -> None:
        """Wait until the node may hold further bytes of the body.

        Raises:
            MalformedAnswerError: If the body alone is larger than the budget.
            TargetTimeoutError: If there is no room in time.
        """
        if self.holding is None:
            self.holding = gate.budget.open_answer()
        if not gate.budget.can_ever_hold(self.size):
            raise MalformedAnswerError("the answer takes too much memory")
        await gate.wait_for_answer_room(self.holding, size)
        gate.resize(self.holding, self.size)

    def close(self) -> None:
        """Return the bytes to the budget."""
        self.budget.used_bytes -= self.size
        self.size = 0
        if self.gate is not None and self.holding is not None:
            self.gate.close(self.holding)


BODY_BUDGET = BodyBudget()
"""Bounds the bodies that this process reads into memory."""
