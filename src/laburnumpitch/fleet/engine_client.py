"""Orders to engines, and what engines report."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .messages import TargetRecord

ACCEPTED = "accepted"
ALREADY = "already"
BUSY = "busy"
OUTDATED_HOLDER = "outdated_holder"


@dataclass(frozen=True)
class EngineReport:
    """An engine's state."""

    order_count: int
    """Orders that it has accepted since its start."""
    is_busy: bool
    """Whether an order is in progress."""
    versions: dict[str, int]
    """Weight version by model."""


@dataclass(frozen=True)
class WeightOrder:
    """An order to load weights."""

    model: str
    version: int
    holder: str
    """Node that gives the order."""
    token: int
    """Fencing token; higher ones are newer."""
    after_orders: int
    """Orders that the engine must have accepted; keeps late copies out."""
    before_write: Callable[[], None]
    """Called right before the first byte is written; may raise."""


class EngineClient(Protocol):
    """Reads reports of engines and gives them orders."""

    async def read_report(self, target: TargetRecord) -> EngineReport:
        """Return an engine's state.

        Raises:
            TargetError: If it cannot be read.
        """

    async def order_weights(self, target: TargetRecord, order: WeightOrder) -> str:
        """Order an engine to load weights and return its answer.

        Raises:
            TargetError: If it did not answer; it may carry the order out.
        """
