"""Chooses the node for each assignment: stores and services' coordinators."""

from __future__ import annotations

from collections.abc import Iterable

from ..policy.target_selection import rank_by_rendezvous_hash


def assign_hosts(
    names: Iterable[str], live_hosts: list[str], previous: dict[str, str]
) -> dict[str, str]:
    """Return the host of each assignment; a live host keeps its assignments.

    Args:
        names: Names of the assignments.
        live_hosts: Hosts that can take assignments.
        previous: Host of each assignment until now.
    """
    assignments = {}
    for name in names:
        host = previous.get(name, "")
        if host in live_hosts:
            assignments[name] = host
        elif live_hosts:
            assignments[name] = rank_by_rendezvous_hash(name, live_hosts)[0]
    return assignments
