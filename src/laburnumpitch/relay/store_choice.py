"""Which store holds the kept context of a session."""

from __future__ import annotations

from ..fleet.store_owners import list_managed_stores
from ..policy.placement import find_home
from .configuration import RoutingConfiguration, StoreSize

TIER_SHARE = 0.5
"""Part of the largest store's room that a store must have to hold sessions."""


def find_store(
    configuration: RoutingConfiguration | None, affinity_key: str
) -> StoreSize | None:
    """Return the store that holds a session, the same on every node."""
    stores = list_managed_stores(configuration)
    if not affinity_key or not stores:
        return None
    least = max(store.capacity_tokens for store in stores) * TIER_SHARE
    by_address = {s.address: s for s in stores if s.capacity_tokens >= least}
    return by_address[find_home(affinity_key, list(by_address))]
