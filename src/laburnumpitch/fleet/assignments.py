"""Chooses the node for each assignment: stores and services' coordinators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..policy.target_selection import get_rendezvous_digest

LEADER_LOAD = 2
"""Assignments that the leader's own work counts as."""


def assign_hosts(
    names: Iterable[str],
    live_hosts: list[str],
    previous: dict[str, str],
    leader_host: str = "",
) -> dict[str, str]:
    """Return the host of each assignment; a live host keeps its assignments.

    Others go to the host with the fewest, so that the loss of one host leaves few of
    them without a host.

    Args:
        names: Names of the assignments, those with the most work first.
        live_hosts: Hosts that can take assignments.
        previous: Host of each assignment until now.
        leader_host: Host of the leader, which has other work.
    """
    names = list(names)
    assignments = {
        name: previous[name] for name in names if previous.get(name) in live_hosts
    }
    load = Counter(assignments.values())
    load[leader_host] += LEADER_LOAD
    for name in names:
        if name in assignments or not live_hosts:
            continue
        host = min(
            live_hosts, key=lambda host: (load[host], get_rendezvous_digest(name, host))
        )
        assignments[name] = host
        load[host] += 1
    return {name: assignments[name] for name in names if name in assignments}
