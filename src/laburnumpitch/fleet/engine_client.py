"""Interface for orders to engines, and the engines' reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .messages import TargetRecord

ACCEPTED = "accepted"
"""Result of an order: the engine carries it out."""

ALREADY_DONE = "already"
"""Result of an order: the engine has nothing left to do for it."""

BUSY = "busy"
"""Result of an order: another order is in progress, or the engine has accepted other
orders than `WeightOrder.after_orders` counts."""

OUTDATED_HOLDER = "outdated_holder"
"""Result of an order: its fencing token is outdated."""


@dataclass(frozen=True)
class EngineReport:
    """State of an engine."""

    order_count: int
    """Orders that the engine has accepted since its start."""
    is_busy: bool
    """Whether an order is in progress."""
    versions: dict[str, int]
    """Weight version by model."""
    born_ms: int | None = None
    """Wall time of the engine's start; None if it does not say."""


@dataclass(frozen=True)
class WeightOrder:
    """An order to load weights."""

    model: str
    version: int
    holder: str
    """Host of the node that gives the order."""
    token: int
    """Fencing token, which is the leader's term; a higher one is newer."""
    after_orders: int
    """Orders that the engine must have accepted before; a delayed copy of the order is
    rejected because the number has grown."""
    before_write: Callable[[], None]
    """Called right before the first byte is sent; raises if the order is void."""


class EngineClient(Protocol):
    """Reads the reports of engines and sends them orders."""

    async def read_report(self, target: TargetRecord) -> EngineReport:
        """Return the state of an engine.

        Raises:
            TargetError: If it cannot be read.
        """

    async def order_weights(self, target: TargetRecord, order: WeightOrder) -> str:
        """Order an engine to load weights and return its result, such as `ACCEPTED`.

        Raises:
            TargetError: If it did not answer; it may still carry out the order.
        """
