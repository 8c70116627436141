"""Decides whether a node may have one more request at a target.

Answers two fleets. Where an even share of a target is several requests, a node holds
to its share, which it knows exactly. Where many nodes share few slots, it goes by what
the others report, although that is late: a report is older than most requests are
long, so on a small fleet an engine would look full after it has drained.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

OVERCOMMIT_FACTOR = 2.0
"""What the fleet may have at a target over what it serves at once: clients are spread
unevenly over the nodes, and a target queues a few."""

MIN_SHARE_SLOTS = 4.0
"""Requests of an even share from which on a node goes by its share alone."""

MIN_SHARE_PROMPTS = 2
"""Prompts of its size that a request may find at a target whatever the share is."""


class Load(Protocol):
    """What nodes have at a target."""

    running: int
    tokens: int


@dataclass(frozen=True)
class TargetCapacity:
    """What a target holds at once."""

    slots: int
    context_tokens: int | None
    """Prompt tokens; None for a target without kept context."""


def has_capacity(
    own_load: Load,
    other_nodes_load: Load,
    prompt_tokens: int,
    capacity: TargetCapacity,
    node_count: int,
) -> bool:
    """Return whether a target has a place for one more request.

    Args:
        own: What this node has there.
        others: What the other nodes reported.
        prompt_tokens: Size of the request's prompt.
        room: What the target holds at once.
        node_count: Nodes that send requests.
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
