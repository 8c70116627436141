"""Chooses the store that holds the kept context of a session."""

from __future__ import annotations

from ..fleet.store_owners import list_managed_stores
from ..policy.regions import AllowedRegions
from ..policy.target_selection import choose_by_weighted_hash
from .configuration import RoutingConfiguration, StoreSpec
from .region_rules import RegionRules


def find_store(
    configuration: RoutingConfiguration | None,
    affinity_key: str,
    region_rules: RegionRules,
    allowed_regions: AllowedRegions,
) -> StoreSpec | None:
    """Return the store for a session, or None; every node chooses the same one.

    Each store gets sessions in proportion to its capacity.

    Args:
        configuration: The configuration in force.
        affinity_key: Identifier of the session's context; empty without one.
        region_rules: Knows the regions of the stores.
        allowed_regions: Where the request's context may be kept.
    """
    stores = {
        store.address: store
        for store in list_managed_stores(configuration)
        if region_rules.allows(store.data_centre, allowed_regions)
    }
    if not affinity_key or not stores:
        return None
    weights = {address: store.capacity_tokens for address, store in stores.items()}
    return stores[choose_by_weighted_hash(affinity_key, weights)]
