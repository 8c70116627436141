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

USED_SHARE = 2.0
"""What the fleet may have at a target over what it serves at once: clients are spread
unevenly over the nodes, and a target queues a few."""

MIN_SHARE = 4.0
"""Requests of an even share from which on a node goes by its share alone."""

LARGE_PROMPTS = 2
"""Prompts of its size that a request may find at a target whatever the share is."""


class Load(Protocol):
    """What nodes have at a target."""

    running: int
    tokens: int


@dataclass(frozen=True)
class TargetRoom:
    """What a target holds at once."""

    slots: int
    tokens: int | None
    """Prompt tokens; None for a target without kept context."""


def has_room(
    own: Load, others: Load, prompt_tokens: int, room: TargetRoom, node_count: int
) -> bool:
    """Return whether a target has a place for one more request.

    Args:
        own: What this node has there.
        others: What the other nodes reported.
        prompt_tokens: Size of the request's prompt.
        room: What the target holds at once.
        node_count: Nodes that send requests.
    """
    slots = room.slots * USED_SHARE
    tokens = None if room.tokens is None else room.tokens * USED_SHARE
    running, used = own.running, own.tokens
    if slots / node_count >= MIN_SHARE:
        slots = math.ceil(slots / node_count)
        if tokens is not None:
            tokens = max(tokens / node_count, LARGE_PROMPTS * prompt_tokens)
    else:
        running += others.running
        used += others.tokens
    if running >= slots:
        return False
    return tokens is None or not running or used + prompt_tokens <= tokens
