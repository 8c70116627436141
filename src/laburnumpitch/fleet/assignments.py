"""Which node keeps which store."""

from __future__ import annotations

from collections.abc import Iterable

from ..policy.placement import rank_by_hash


def assign_hosts(
    names: Iterable[str], live_hosts: list[str], previous: dict[str, str]
) -> dict[str, str]:
    """Return the host that keeps each store; a live keeper stays.

    Args:
        addresses: Addresses of the stores.
        live_hosts: Hosts that may keep a store.
        before: Keepers until now.
    """
    assignments = {}
    for name in names:
        host = previous.get(name, "")
        if host in live_hosts:
            assignments[name] = host
        elif live_hosts:
            assignments[name] = rank_by_hash(name, live_hosts)[0]
    return assignments
