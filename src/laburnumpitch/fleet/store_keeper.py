"""Keeps the books of one store on the node that the leader names for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..errors import StoreNotKeptError, TargetError
from ..logging import get_logger
from ..relay.configuration import StoreSpec
from .messages import ContextGrant, GrantContext
from .store_books import READ_S, WRITE_S, StoreBooks
from .stores import StoreEvents, Stores

RETRY_S = 0.2
"""Pause after a store did not answer."""

TAKEOVER_S = READ_S + 2.0
"""Time for which a new keeper frees nothing: reads and calls of the one before it
have ended by then."""

FREE_BOUND_MS = 1000
"""Time for which the store takes a call to free; a later one is refused."""

LISTING_INTERVAL_S = 10.0
"""Least time between listings for saves that were never heard to end; a listing
stalls the store."""

REMOTE_COST = 2.0
"""Times that a transfer between data centres takes longer."""


class StoreKeeper:
    """Keeps the books of one store.

    Args:
        size: The store.
        token_bytes: Size of a token's context.
        stores: Calls to stores.
        may_keep: Whether this node is still the store's keeper.
        get_time_s: Steady time.
    """

    def __init__(
        self,
        size: StoreSpec,
        token_bytes: int,
        stores: Stores,
        may_keep: Callable[[], bool],
        get_time_s: Callable[[], float],
    ) -> None:
        self.size = size
        self.stores = stores
        self.may_keep = may_keep
        self.get_time_s = get_time_s
        self.books = StoreBooks(
            size.capacity_tokens, size.link_bytes_per_s, token_bytes
        )
        self.started_s = get_time_s()
        self.listed_s = 0.0
        self.epoch: int | None = None
        self.since = 0
        self.clock_offset_ms: float | None = None
        """The store's clock less this node's steady time."""
        self.is_open = False
        """Whether the books are known to be right."""
        self.log = get_logger()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if not self.is_open:
                    await self.list_all()
                await self.follow()
                await self.free_due()
            except TargetError as error:
                if self.is_open:
                    self.log.warning(
                        "store_lost", address=self.size.address, code=error.code
                    )
                self.is_open = False
                await asyncio.sleep(RETRY_S)

    async def list_all(self) -> None:
        """Take the store's own account, and free what broke off."""
        listing = await self.stores.read_listing(self.size.address)
        now_s = self.get_time_s()
        if listing.epoch != self.epoch:
            self.books.clear()
            self.started_s = now_s
        broken = self.books.take_listing(listing.held, listing.partial, now_s)
        self.listed_s = now_s
        self.epoch = listing.epoch
        self.since = listing.next_number
        self.is_open = True
        self.log.info(
            "store_listed",
            address=self.size.address,
            epoch=listing.epoch,
            parts=len(self.books.parts),
            used_tokens=self.books.used_tokens,
            broken=len(broken),
        )
        if broken and now_s - self.started_s > TAKEOVER_S + WRITE_S:
            await self.free(broken)

    async def follow(self) -> None:
        """Take what has happened since the last call."""
        events = await self.stores.read_events(self.size.address, self.since)
        if events.epoch != self.epoch or events.has_gap:
            self.is_open = False
            return
        self.take(events)
        now_s = self.get_time_s()
        is_due = now_s - self.listed_s > LISTING_INTERVAL_S
        if is_due and self.books.has_unfinished(now_s):
            self.is_open = False

    def take(self, events: StoreEvents) -> None:
        """Book events."""
        self.since = events.next_number
        if events.clock_ms is not None:
            self.clock_offset_ms = events.clock_ms - self.get_time_s() * 1000
        for event in events.events:
            if event.is_added:
                self.books.note_added(event.name, event.tokens)
            else:
                self.books.note_removed(event.name)

    async def free_due(self) -> None:
        """Free what is least worth keeping, if room is short."""
        now_s = self.get_time_s()
        if not self.may_keep() or now_s - self.started_s < TAKEOVER_S:
            return
        names = self.books.choose_freed(now_s)
        if names:
            await self.free(names)

    async def free(self, names: list[tuple[str, str]]) -> None:
        """Free parts that the books no longer have."""
        until_ms = None
        if self.clock_offset_ms is not None:
            until_ms = int(self.get_clock_ms() + FREE_BOUND_MS)
        await self.stores.free(self.size.address, names, self.epoch, until_ms)
        self.log.info(
            "parts_freed",
            address=self.size.address,
            parts=len(names),
            used_tokens=self.books.used_tokens,
        )

    def get_clock_ms(self) -> float:
        """Return the store's clock."""
        return self.get_time_s() * 1000 + (self.clock_offset_ms or 0.0)

    def grant(self, call: GrantContext) -> ContextGrant:
        """Grant a request what it may read and save.

        Raises:
            StoreNotKeptError: If this node does not keep the store now.
        """
        if not self.is_open or self.clock_offset_ms is None or not self.may_keep():
            raise StoreNotKeptError(self.size.address)
        is_remote = call.data_centre != self.size.data_centre
        grants = self.books.grant(
            call.salt,
            zip(call.pieces, call.tokens, strict=True),
            self.get_time_s(),
            REMOTE_COST if is_remote else 1.0,
        )
        return ContextGrant(
            [grant.may_read for grant in grants],
            [grant.may_save for grant in grants],
            int(self.get_clock_ms() + READ_S * 1000),
        )
