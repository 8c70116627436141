"""The store keepers that run on this node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .._tasks import cancel_and_wait
from ..errors import StoreNotKeptError
from ..logging import get_logger
from ..relay.configuration import RoutingConfiguration, StoreSpec
from .follower import Follower
from .messages import ContextGrant, GrantContext
from .store_keeper import StoreKeeper
from .stores import Stores


def list_managed(configuration: RoutingConfiguration | None) -> list[StoreSpec]:
    """Return the stores that free only what they are told to free."""
    if configuration is None:
        return []
    stores = [service.store for service in configuration.stores]
    return [store for store in stores if store is not None and store.is_managed]


class Keepers:
    """The keepers that run on this node.

    Args:
        follower: This node's view of the fleet.
        stores: Calls to stores.
        get_time_s: Steady time.
    """

    def __init__(
        self, follower: Follower, stores: Stores, get_time_s: Callable[[], float]
    ) -> None:
        self.follower = follower
        self.stores = stores
        self.get_time_s = get_time_s
        self.running: dict[str, tuple[StoreKeeper, asyncio.Task[None]]] = {}
        self.log = get_logger()
        follower.on_change.append(self.on_change)

    async def close(self) -> None:
        """Stop every keeper."""
        await cancel_and_wait(*(task for _, task in self.running.values()))

    def on_change(self) -> None:
        """Start and stop keepers as the leader names them."""
        follower = self.follower
        sizes = {size.address: size for size in list_managed(follower.configuration)}
        own = follower.node.host
        wanted = {a for a, host in follower.keepers.items() if host == own}
        for address in set(self.running) - (wanted & set(sizes)):
            _, task = self.running.pop(address)
            task.cancel()
            self.log.info("keeper_stopped", address=address)
        for address in (wanted & set(sizes)) - set(self.running):
            self.start(sizes[address])

    def start(self, size: StoreSpec) -> None:
        """Start to keep a store."""
        configuration = self.follower.configuration
        token_bytes = max(
            (s.engine.bytes_per_token for s in configuration.services if s.engine),
            default=1,
        )
        keeper = StoreKeeper(
            size,
            token_bytes,
            self.stores,
            lambda: self.may_keep(size.address),
            self.get_time_s,
        )
        task = asyncio.create_task(keeper.run())
        self.running[size.address] = (keeper, task)
        self.log.info("keeper_started", address=size.address, term=self.follower.term)

    def may_keep(self, address: str) -> bool:
        """Whether the leader, heard lately, names this node."""
        follower = self.follower
        is_named = follower.keepers.get(address) == follower.node.host
        return is_named and follower.is_in_touch

    async def on_grant(self, call: GrantContext) -> ContextGrant:
        """Grant a request what it may read and save.

        Raises:
            StoreNotKeptError: If this node does not keep the store.
        """
        running = self.running.get(call.address)
        if running is None:
            raise StoreNotKeptError(call.address)
        return running[0].grant(call)
