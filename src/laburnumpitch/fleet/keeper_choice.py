"""Which node keeps which store."""

from __future__ import annotations

from collections.abc import Iterable

from ..policy.target_selection import rank_by_rendezvous_hash


def assign_keepers(
    addresses: Iterable[str], live_hosts: list[str], before: dict[str, str]
) -> dict[str, str]:
    """Return the host that keeps each store; a live keeper stays.

    Args:
        addresses: Addresses of the stores.
        live_hosts: Hosts that may keep a store.
        before: Keepers until now.
    """
    found = {}
    for address in addresses:
        host = before.get(address, "")
        if host in live_hosts:
            found[address] = host
        elif live_hosts:
            found[address] = rank_by_rendezvous_hash(address, live_hosts)[0]
    return found
