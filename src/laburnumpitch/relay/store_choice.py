"""Chooses the store that holds the kept context of a session."""

from __future__ import annotations

from ..fleet.store_owners import list_managed_stores
from ..policy.target_selection import choose_by_weighted_hash
from .configuration import RoutingConfiguration, StoreSpec


def find_store(
    configuration: RoutingConfiguration | None, affinity_key: str
) -> StoreSpec | None:
    """Return the store for a session, or None; every node chooses the same one.

    Each store gets sessions in proportion to its capacity.
    """
    stores = {s.address: s for s in list_managed_stores(configuration)}
    if not affinity_key or not stores:
        return None
    weights = {address: store.capacity_tokens for address, store in stores.items()}
    return stores[choose_by_weighted_hash(affinity_key, weights)]
