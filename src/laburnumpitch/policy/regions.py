"""Decides in which regions a request may be served.

The load that it answers: a fleet of several regions in which the prompts of some routes
and organisations, and the context kept of them, have to stay in certain regions while
targets of other regions have more free capacity.
"""

from __future__ import annotations

from collections.abc import Iterable

AllowedRegions = tuple[str, ...] | None
"""Regions in which a request may be served, sorted. None if there is no restriction;
empty if no region is allowed."""


def combine_restrictions(*restrictions: Iterable[str]) -> AllowedRegions:
    """Return the regions that all restrictions allow; an empty one restricts nothing.

    Args:
        restrictions: The allowed regions of the request's route, its organisation.
    """
    binding = [regions for regions in map(frozenset, restrictions) if regions]
    if not binding:
        return None
    return tuple(sorted(frozenset.intersection(*binding)))


def is_region_allowed(region: str, allowed_regions: AllowedRegions) -> bool:
    """Whether a request may be served in a region.

    Args:
        region: The region; empty if it is unknown.
        allowed_regions: Where the request may be served.
    """
    if allowed_regions is None:
        return True
    # A data centre without a known region may be anywhere.
    return bool(region) and region in allowed_regions
