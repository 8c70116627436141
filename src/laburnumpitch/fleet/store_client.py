"""Interface for calls to stores, and the stores' answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .store_allocations import PartName


@dataclass(frozen=True)
class StoreEvent:
    """A part that was added to a store or removed from it."""

    is_added: bool
    name: PartName
    tokens: int


@dataclass(frozen=True)
class StoreEvents:
    """Events of a store from a given number on."""

    epoch: int
    """Changes at each restart of the store."""
    next_number: int
    """Number of the next event, from which the next call continues."""
    has_gap: bool
    """Whether events before these were lost."""
    events: tuple[StoreEvent, ...]
    clock_ms: int | None
    """Time of the store's clock; None if the store does not send it."""


@dataclass(frozen=True)
class StoreListing:
    """Contents of a store."""

    epoch: int
    next_number: int
    complete_parts: tuple[tuple[PartName, int], ...]
    """Name and tokens of each complete part."""
    incomplete_parts: tuple[PartName, ...]
    """Parts that are being written, or whose writes were aborted."""


class StoreClient(Protocol):
    """Calls stores."""

    async def read_events(self, address: str, since: int) -> StoreEvents:
        """Return the events from a number on, waiting up to one second for one.

        Raises:
            TargetError: If the store does not answer.
        """

    async def read_listing(self, address: str) -> StoreListing:
        """Return the contents of a store.

        Raises:
            TargetError: If the store does not answer.
        """

    async def free(
        self, address: str, names: list[PartName], epoch: int, until_ms: int | None
    ) -> None:
        """Free parts at once.

        The store refuses if its epoch is another, or after `until_ms` by its clock.

        Raises:
            TargetError: If the store does not answer or refuses.
        """
