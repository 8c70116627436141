"""Chooses the store that holds the kept context of a session."""

from __future__ import annotations

from ..fleet.store_owners import list_managed_stores
from ..policy.target_selection import choose_by_rendezvous_hash
from .configuration import RoutingConfiguration, StoreSpec

MIN_CAPACITY_SHARE = 0.5
"""Capacity that a store needs to hold sessions, as a share of the largest store's."""


def find_store(
    configuration: RoutingConfiguration | None, affinity_key: str
) -> StoreSpec | None:
    """Return the store for a session, or None; every node chooses the same one."""
    stores = list_managed_stores(configuration)
    if not affinity_key or not stores:
        return None
    min_tokens = max(store.capacity_tokens for store in stores) * MIN_CAPACITY_SHARE
    by_address = {s.address: s for s in stores if s.capacity_tokens >= min_tokens}
    return by_address[choose_by_rendezvous_hash(affinity_key, list(by_address))]
