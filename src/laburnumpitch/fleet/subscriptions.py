"""The nodes that subscribe to a leader, and the changes that they have confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..logging import get_logger
from .messages import NodeRecord

MIN_HOLD_S = 0.3
"""Shortest time for which a `Follow` call waits for a change; limits the rate of calls
when nothing changes."""

CONTACT_MARGIN_S = 0.7
"""Time since the end of a held call after which a node counts as unreachable, so that
no change waits for it."""

CONFIRM_TIMEOUT_S = 0.55
"""Time for the nodes to confirm a change; a target waits one second for the
acknowledgement of its announcement, which includes this wait."""

KNOWN_NODES_TIMEOUT_S = 1.5
"""Time after an election in which a change of the configuration waits for the nodes
that followed the former leader; a node tries all hosts within it."""


@dataclass
class SubscriberState:
    """A node that subscribes to this leader."""

    node: NodeRecord
    last_contact_s: float
    confirmed_sequence: int
    """Sequence of the newest change that the node is known to have."""
    hold_s: float = MIN_HOLD_S
    """Longest time until the node calls again."""

    def is_live(self, now_s: float) -> bool:
        """Whether the node has called lately enough to count as reachable."""
        return now_s - self.last_contact_s <= self.hold_s + CONTACT_MARGIN_S


class Subscriptions:
    """The subscribers of one term.

    Args:
        awaited_hosts: Nodes that followed the former leader.
        get_time_s: Monotonic time.
    """

    def __init__(
        self, awaited_hosts: Iterable[str], get_time_s: Callable[[], float]
    ) -> None:
        self.awaited_hosts = set(awaited_hosts)
        """Nodes that followed the former leader and have not called this one yet."""
        self.get_time_s = get_time_s
        self.started_s = get_time_s()
        self.by_host: dict[str, SubscriberState] = {}
        self.is_closed = False
        self.contact_event = asyncio.Event()
        """Set when a node calls."""
        self.log = get_logger()

    def close(self) -> None:
        """End the term: nothing waits for the nodes any more."""
        self.is_closed = True
        self.notify()

    def notify(self) -> None:
        """Wake everything that waits for calls of nodes."""
        self.contact_event.set()
        self.contact_event = asyncio.Event()

    def record(self, subscriber: SubscriberState) -> None:
        """Record a call of a node."""
        self.by_host[subscriber.node.host] = subscriber
        self.awaited_hosts.discard(subscriber.node.host)
        self.notify()

    def list_live_hosts(self) -> list[str]:
        """Return the hosts of the nodes that count as reachable."""
        now_s = self.get_time_s()
        return sorted(h for h, s in self.by_host.items() if s.is_live(now_s))

    def list_expected_hosts(self) -> list[str]:
        """Return the reachable nodes, and those that may be about to call.

        After an election, the nodes that followed the former leader count for a while.
        """
        hosts = set(self.list_live_hosts())
        if self.get_time_s() - self.started_s < KNOWN_NODES_TIMEOUT_S:
            hosts |= self.awaited_hosts
        return sorted(hosts)

    async def wait_for_call(self, deadline_s: float) -> bool:
        """Wait until a node calls; return whether the deadline has not passed."""
        remaining_s = deadline_s - self.get_time_s()
        if remaining_s <= 0:
            return False
        try:
            async with asyncio.timeout(remaining_s):
                await self.contact_event.wait()
        except asyncio.TimeoutError:
            # The caller looks once more.
            pass
        return True

    async def wait_known_nodes(self) -> None:
        """Wait until the nodes that followed the former leader follow this one.

        A new leader has no subscribers yet, so no change would wait for any. Nodes that
        do not call within `KNOWN_NODES_TIMEOUT_S` after the election count as lost.
        """
        deadline_s = self.started_s + KNOWN_NODES_TIMEOUT_S
        while self.awaited_hosts and not self.is_closed:
            if not await self.wait_for_call(deadline_s):
                self.log.info("nodes_missing", hosts=sorted(self.awaited_hosts)[:5])
                self.awaited_hosts.clear()

    def list_pending_hosts(self, sequence: int) -> list[str]:
        """Return the reachable nodes that have not confirmed a change."""
        return [
            host
            for host in self.list_live_hosts()
            if self.by_host[host].confirmed_sequence < sequence
        ]

    def has_confirmed(self, sequence: int) -> bool:
        """Whether every reachable node has confirmed a change."""
        return not self.list_pending_hosts(sequence)

    async def wait_confirmed(self, sequence: int) -> bool:
        """Wait until every reachable node has confirmed a change.

        Returns:
            Whether all have confirmed it within `CONFIRM_TIMEOUT_S`.
        """
        deadline_s = self.get_time_s() + CONFIRM_TIMEOUT_S
        while not self.is_closed:
            pending_hosts = self.list_pending_hosts(sequence)
            if not pending_hosts:
                return True
            if not await self.wait_for_call(deadline_s):
                self.log.info(
                    "change_unconfirmed", sequence=sequence, late=pending_hosts[:5]
                )
                return False
        return False
