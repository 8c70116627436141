"""What stores tell of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .store_allocations import PartName


@dataclass(frozen=True)
class StoreEvent:
    """A part that a store got or lost."""

    is_added: bool
    name: PartName
    tokens: int


@dataclass(frozen=True)
class StoreEvents:
    """What has happened at a store."""

    epoch: int
    """Changes at each restart."""
    next_number: int
    """Number to ask from the next time."""
    has_gap: bool
    """Whether events were lost."""
    events: tuple[StoreEvent, ...]
    clock_ms: int | None
    """The store's clock."""


@dataclass(frozen=True)
class StoreListing:
    """All that a store has."""

    epoch: int
    next_number: int
    held: tuple[tuple[PartName, int], ...]
    partial: tuple[PartName, ...]
    """Parts that are being written, or that broke off."""


class StoreClient(Protocol):
    """Calls to stores."""

    async def read_events(self, address: str, since: int) -> StoreEvents:
        """Return what has happened, waiting up to a second.

        Raises:
            TargetError: If the store does not answer.
        """

    async def read_listing(self, address: str) -> StoreListing:
        """Return all that a store has.

        Raises:
            TargetError: If the store does not answer.
        """

    async def free(
        self, address: str, names: list[PartName], epoch: int, until_ms: int | None
    ) -> None:
        """Free parts at once, unless the store restarted or it is too late.

        Raises:
            TargetError: If the store does not answer or refuses.
        """
