"""Chooses the nodes that remember the origins of streams.

The load that it answers: a large fleet in which every node begins streams. If any node
may hold the origin of any stream, each node soon has a connection to every other one,
and the heartbeats of these connections, whose number grows with the square of the
nodes, cost more than the requests. The holders are therefore a group that grows with
the square root of the nodes, so that each node has few connections to it and each
holder few notices.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from .target_selection import rank_by_rendezvous_hash

MIN_GROUP_SIZE = 8
"""Smallest number of holders; two of them are told of a stream, and any may be lost."""

GROUP_KEY = "stream-origins"
"""Key by which every node chooses the same holders."""


def choose_holders(hosts: Collection[str]) -> list[str]:
    """Return the hosts that hold origins, sorted; all of them in a small fleet.

    A host that joins or leaves changes at most one holder.
    """
    size = max(MIN_GROUP_SIZE, math.isqrt(len(hosts)))
    return sorted(rank_by_rendezvous_hash(GROUP_KEY, list(hosts))[:size])
