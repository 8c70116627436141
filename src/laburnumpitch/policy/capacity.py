"""Decides whether a node may send a target one more request.

If a node's even share of a target is several requests, the node keeps to its share,
which it can count exactly. If many nodes share few slots, it uses the load that the
other nodes report. Reports are older than most requests are long, so in a small fleet
an engine would still look full after it has drained.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

OVERCOMMIT_FACTOR = 2.0
"""Load that the fleet may have at a target, as a multiple of its capacity. Clients are
spread unevenly over the nodes, and a target queues some requests."""

MIN_SHARE_SLOTS = 4.0
"""Smallest even share of a target's slots, after overcommitting, at which a node keeps
to its share and ignores the load of other nodes."""

MIN_SHARE_PROMPTS = 2
"""Smallest token share of a node, in prompts of the size of the request, so that
another prompt of that size at the target does not block the request."""


class Load(Protocol):
    """Requests of one or more nodes at a target."""

    running: int
    tokens: int
    """Prompt tokens of those requests."""


@dataclass(frozen=True)
class TargetCapacity:
    """What a target can serve at once."""

    slots: int
    context_tokens: int | None
    """Prompt tokens that fit in its memory; None for a target without kept context."""


def has_capacity(
    own_load: Load,
    other_nodes_load: Load,
    prompt_tokens: int,
    capacity: TargetCapacity,
    node_count: int,
) -> bool:
    """Return whether a target has capacity for one more request of this node.

    Args:
        own_load: Requests of this node at the target.
        other_nodes_load: Requests of the other nodes there, as last reported.
        prompt_tokens: Size of the request's prompt.
        capacity: Capacity of the target.
        node_count: Number of nodes that send requests.
    """
    slot_limit = capacity.slots * OVERCOMMIT_FACTOR
    token_limit = (
        None
        if capacity.context_tokens is None
        else capacity.context_tokens * OVERCOMMIT_FACTOR
    )
    running, used_tokens = own_load.running, own_load.tokens
    if slot_limit / node_count >= MIN_SHARE_SLOTS:
        slot_limit = math.ceil(slot_limit / node_count)
        if token_limit is not None:
            token_limit = max(
                token_limit / node_count, MIN_SHARE_PROMPTS * prompt_tokens
            )
    else:
        running += other_nodes_load.running
        used_tokens += other_nodes_load.tokens
    if running >= slot_limit:
        return False
    return (
        token_limit is None or not running or used_tokens + prompt_tokens <= token_limit
    )
