"""Manages the space of one store, on the node to which the store is assigned."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..errors import NotStoreOwnerError, TargetError
from ..logging import get_logger
from ..relay.configuration import StoreSpec
from .fleet_view import LEADER_TIMEOUT_S
from .messages import ContextGrant, GrantContext
from .store_allocations import READ_LEASE_S, WRITE_LEASE_S, StoreAllocationTable
from .store_client import StoreClient, StoreEvents

RETRY_DELAY_S = 0.2
"""Pause after a call that the store did not answer."""

TAKEOVER_DELAY_S = READ_LEASE_S + 2.0
"""Time for which a new owner frees nothing; reads that its predecessor granted, and
the predecessor's calls, have ended by then."""

FREE_CONTACT_S = 1.0
"""Time since the last contact with the leader in which an owner frees parts."""

FREE_VALIDITY_MS = 400
"""Time for which the store accepts a call to free parts; it refuses a later one."""

MIN_LISTING_INTERVAL_S = 10.0
"""Minimum interval of the listings that are made because a write lease has expired
without a report; a listing stalls the store."""

GRANT_LOG_INTERVAL_S = 5.0
"""Interval of the log lines with the outcomes of grants."""

REMOTE_TRANSFER_FACTOR = 2.0
"""Factor by which a transfer between data centres takes longer than within one."""


class StoreOwner:
    """Grants reads and writes of one store, and frees its least recently used parts.

    Args:
        store: Address, capacity and link of the store.
        token_bytes: Bytes of kept context for each token.
        store_client: Calls stores.
        is_current_owner: Returns whether the store is still assigned to this node, by
            a leader that was in contact within a given time in seconds.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        store: StoreSpec,
        token_bytes: int,
        store_client: StoreClient,
        is_current_owner: Callable[[float], bool],
        get_time_s: Callable[[], float],
    ) -> None:
        self.store = store
        self.store_client = store_client
        self.is_current_owner = is_current_owner
        self.get_time_s = get_time_s
        self.allocations = StoreAllocationTable(
            store.capacity_tokens, store.link_bytes_per_s, token_bytes
        )
        self.started_s = get_time_s()
        """Time of this owner's start, or of the store's restart if that was later."""
        self.last_listing_s = 0.0
        self.last_grant_log_s = 0.0
        self.epoch: int | None = None
        """Epoch of the store; it changes at each restart of the store."""
        self.next_event = 0
        self.clock_offset_ms: float | None = None
        """Difference of the store's clock and this node's monotonic time."""
        self.is_synchronized = False
        """Whether the allocation table matches the store."""
        self.log = get_logger()

    async def run(self) -> None:
        """Keep the allocation table up to date and free parts, until cancelled.

        It may start again after an error, in the middle of a change of the table.
        """
        self.is_synchronized = False
        while True:
            try:
                if not self.is_synchronized:
                    await self.synchronize()
                await self.poll_events()
                await self.free_excess()
                self.log_grants()
            except TargetError as error:
                if self.is_synchronized:
                    self.log.warning(
                        "store_lost", address=self.store.address, code=error.code
                    )
                self.is_synchronized = False
                await asyncio.sleep(RETRY_DELAY_S)

    async def synchronize(self) -> None:
        """Match the allocation table to a listing; free writes that were aborted."""
        listing = await self.store_client.read_listing(self.store.address)
        now_s = self.get_time_s()
        if listing.epoch != self.epoch:
            self.allocations.clear()
            self.started_s = now_s
        unfinished = self.allocations.apply_listing(
            listing.complete_parts, listing.incomplete_parts, now_s
        )
        self.last_listing_s = now_s
        self.epoch = listing.epoch
        self.next_event = listing.next_number
        self.is_synchronized = True
        self.log.info(
            "store_listed",
            address=self.store.address,
            epoch=listing.epoch,
            parts=len(self.allocations.parts),
            used_tokens=self.allocations.used_tokens,
            broken=len(unfinished),
        )
        takeover_age_s = now_s - self.started_s
        if (
            unfinished
            and takeover_age_s > TAKEOVER_DELAY_S + WRITE_LEASE_S
            and self.is_current_owner(FREE_CONTACT_S)
        ):
            await self.free(unfinished)

    async def poll_events(self) -> None:
        """Apply the events since the last call; note when a listing is needed."""
        events = await self.store_client.read_events(
            self.store.address, self.next_event
        )
        if events.epoch != self.epoch or events.has_gap:
            self.is_synchronized = False
            return
        self.apply_events(events)
        now_s = self.get_time_s()
        is_due = now_s - self.last_listing_s > MIN_LISTING_INTERVAL_S
        if is_due and self.allocations.has_expired_write(now_s):
            self.is_synchronized = False

    def apply_events(self, events: StoreEvents) -> None:
        """Apply events to the allocation table."""
        self.next_event = events.next_number
        if events.clock_ms is not None:
            self.clock_offset_ms = events.clock_ms - self.get_time_s() * 1000
        for event in events.events:
            if event.is_added:
                self.allocations.handle_added(event.name, event.tokens)
            else:
                self.allocations.handle_removed(event.name)

    async def free_excess(self) -> None:
        """Free the least recently used parts if the store is too full."""
        now_s = self.get_time_s()
        is_current_owner = self.is_current_owner(FREE_CONTACT_S)
        if not is_current_owner or now_s - self.started_s < TAKEOVER_DELAY_S:
            return
        names = self.allocations.evict(now_s)
        if names:
            await self.free(names)

    def log_grants(self) -> None:
        """Log the tokens asked for by outcome, at intervals."""
        now_s = self.get_time_s()
        if now_s - self.last_grant_log_s < GRANT_LOG_INTERVAL_S:
            return
        self.last_grant_log_s = now_s
        self.log.info(
            "store_grants",
            address=self.store.address,
            used_tokens=self.allocations.used_tokens,
            capacity_tokens=self.store.capacity_tokens,
            **{f"{r}_tokens": n for r, n in self.allocations.granted_tokens.items()},
        )

    async def free(self, names: list[tuple[str, str]]) -> None:
        """Free parts that the allocation table no longer has."""
        until_ms = None
        if self.clock_offset_ms is not None:
            until_ms = int(self.get_store_clock_ms() + FREE_VALIDITY_MS)
        await self.store_client.free(self.store.address, names, self.epoch, until_ms)
        self.log.info(
            "parts_freed",
            address=self.store.address,
            parts=len(names),
            used_tokens=self.allocations.used_tokens,
        )

    def get_store_clock_ms(self) -> float:
        """Return the time of the store's clock."""
        return self.get_time_s() * 1000 + (self.clock_offset_ms or 0.0)

    def grant(self, call: GrantContext) -> ContextGrant:
        """Grant a request the parts that it may read and save.

        Raises:
            NotStoreOwnerError: If this node is not the store's owner now, or does not
                know the store's state.
        """
        if (
            not self.is_synchronized
            or self.clock_offset_ms is None
            or not self.is_current_owner(LEADER_TIMEOUT_S)
        ):
            raise NotStoreOwnerError(self.store.address)
        is_remote = call.data_centre != self.store.data_centre
        grants = self.allocations.grant(
            call.salt,
            zip(call.pieces, call.tokens, strict=True),
            self.get_time_s(),
            REMOTE_TRANSFER_FACTOR if is_remote else 1.0,
        )
        return ContextGrant(
            [grant.may_read for grant in grants],
            [grant.may_save for grant in grants],
            int(self.get_store_clock_ms() + READ_LEASE_S * 1000),
        )
