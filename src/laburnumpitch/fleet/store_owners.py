"""Runs the store owners that the leader assigns to this node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .._tasks import cancel_and_wait, start_loop
from ..errors import NotStoreOwnerError
from ..logging import get_logger
from ..relay.configuration import RoutingConfiguration, StoreSpec
from .fleet_view import FleetView
from .messages import CancelSaves, ContextGrant, GrantContext
from .store_client import StoreClient
from .store_owner import StoreOwner


def list_managed_stores(configuration: RoutingConfiguration | None) -> list[StoreSpec]:
    """Return the stores that free parts only on request; each needs an owner.

    Those without capacity or a link are left out, as no request can use them.
    """
    if configuration is None:
        return []
    stores = [service.store for service in configuration.stores]
    return [
        store
        for store in stores
        if store is not None
        and store.is_managed
        and store.capacity_tokens > 0
        and store.link_bytes_per_s > 0
    ]


class StoreOwners:
    """Starts and stops store owners as this node's assignments change.

    Args:
        fleet_view: This node's view of the fleet.
        store_client: Calls stores.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        store_client: StoreClient,
        get_time_s: Callable[[], float],
    ) -> None:
        self.fleet_view = fleet_view
        self.store_client = store_client
        self.get_time_s = get_time_s
        self.running_owners: dict[str, tuple[StoreOwner, asyncio.Task[None]]] = {}
        self.log = get_logger()
        fleet_view.on_change.append(self.on_change)

    async def close(self) -> None:
        """Stop every store owner."""
        await cancel_and_wait(*(task for _, task in self.running_owners.values()))

    def on_change(self) -> None:
        """Start and stop store owners to match the assignments."""
        fleet_view = self.fleet_view
        stores = {
            store.address: store
            for store in list_managed_stores(fleet_view.configuration)
        }
        own_host = fleet_view.node.host
        assigned = {a for a, host in fleet_view.assignments.items() if host == own_host}
        for address in set(self.running_owners) - (assigned & set(stores)):
            _, task = self.running_owners.pop(address)
            task.cancel()
            self.log.info("keeper_stopped", address=address)
        for address in (assigned & set(stores)) - set(self.running_owners):
            self.start(stores[address])

    def start(self, store: StoreSpec) -> None:
        """Start the owner of a store."""
        configuration = self.fleet_view.configuration
        token_bytes = max(
            (s.engine.bytes_per_token for s in configuration.services if s.engine),
            default=1,
        )
        store_owner = StoreOwner(
            store,
            token_bytes,
            self.store_client,
            lambda contact_s: self.is_current_owner(store.address, contact_s),
            self.get_time_s,
        )
        task = start_loop("store_owner", store_owner.run)
        self.running_owners[store.address] = (store_owner, task)
        self.log.info(
            "keeper_started", address=store.address, term=self.fleet_view.term
        )

    def is_current_owner(self, address: str, contact_s: float) -> bool:
        """Whether a store is assigned to this node by a leader in contact lately."""
        fleet_view = self.fleet_view
        is_assigned = fleet_view.assignments.get(address) == fleet_view.node.host
        return is_assigned and fleet_view.get_contact_age_s() < contact_s

    async def on_grant(self, call: GrantContext) -> ContextGrant:
        """Grant a request the parts that it may read and save.

        Raises:
            NotStoreOwnerError: If this node is not the store's owner.
        """
        owner_and_task = self.running_owners.get(call.address)
        if owner_and_task is None:
            raise NotStoreOwnerError(call.address)
        return owner_and_task[0].grant(call)

    async def on_cancel_saves(self, notice: CancelSaves) -> None:
        """Let other requests save the pieces that a request does not save."""
        self.cancel_saves(notice)

    def cancel_saves(self, notice: CancelSaves) -> None:
        """Drop grants of saves, if this node manages the store."""
        owner_and_task = self.running_owners.get(notice.address)
        if owner_and_task is not None:
            for piece in notice.pieces:
                owner_and_task[0].allocations.cancel_write((notice.salt, piece))
