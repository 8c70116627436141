"""A stand-in engine's prefix cache, whose cache events are late and sometimes lost."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict, deque

from laburnumpitch.targets.protocols import CacheEvent, CacheEvents, CacheSnapshot

MAX_BUFFERED_EVENTS = 2000
"""Most recent events that a subscriber can still read."""


class EngineCache:
    """An LRU cache of pieces, and the stream of its changes.

    Args:
        capacity: Maximum number of pieces.
        incarnation: The engine's incarnation.
        publish_delay_s: Time from a change to the publication of its event.
        loss_share: Share of the events that are lost.
        random_source: Selects the events that are lost.
    """

    def __init__(
        self,
        capacity: int,
        incarnation: int,
        publish_delay_s: float,
        loss_share: float,
        random_source: random.Random,
    ) -> None:
        self.capacity = capacity
        self.incarnation = incarnation
        self.publish_delay_s = publish_delay_s
        self.loss_share = loss_share
        self.random = random_source
        self.prefix_digests: OrderedDict[str, bytes] = OrderedDict()
        self.sequence = 0
        self.published_sequence = 0
        self.events: deque[CacheEvent] = deque(maxlen=MAX_BUFFERED_EVENTS)
        self.event_published = asyncio.Event()

    def get(self, piece: str) -> bytes | None:
        """Return a piece's digest and mark it as recently used; None if not cached."""
        if piece in self.prefix_digests:
            self.prefix_digests.move_to_end(piece)
        return self.prefix_digests.get(piece)

    def put(self, piece: str, prefix_digest: bytes) -> None:
        """Cache a piece, evicting the least recently used ones beyond the capacity."""
        is_new = piece not in self.prefix_digests
        self.prefix_digests[piece] = prefix_digest
        self.prefix_digests.move_to_end(piece)
        if is_new:
            self.schedule_event(True, piece)
        while len(self.prefix_digests) > self.capacity:
            evicted, _ = self.prefix_digests.popitem(last=False)
            self.schedule_event(False, evicted)

    def clear(self) -> None:
        """Remove all pieces."""
        for piece in list(self.prefix_digests):
            del self.prefix_digests[piece]
            self.schedule_event(False, piece)

    def schedule_event(self, is_added: bool, piece: str) -> None:
        """Schedule the publication of a change after the delay."""
        self.sequence += 1
        event = CacheEvent(self.sequence, is_added, piece)
        asyncio.get_running_loop().call_later(self.publish_delay_s, self.publish, event)

    def publish(self, event: CacheEvent) -> None:
        """Let subscribers read an event, or drop it with probability `loss_share`."""
        self.published_sequence = max(self.published_sequence, event.sequence)
        if self.random.random() >= self.loss_share:
            self.events.append(event)
        self.event_published.set()

    async def get_events(self, after: int, wait_s: float) -> CacheEvents:
        """Return the events after a sequence number.

        If there are none, wait up to `wait_s` for one.
        """
        new_events = [event for event in self.events if event.sequence > after]
        if not new_events:
            self.event_published.clear()
            try:
                await asyncio.wait_for(self.event_published.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
            new_events = [event for event in self.events if event.sequence > after]
        first_kept = self.events[0].sequence if self.events else self.sequence + 1
        return CacheEvents(self.incarnation, first_kept, new_events)

    def get_snapshot(self) -> CacheSnapshot:
        """Return all cached pieces with the sequence number that they correspond to."""
        return CacheSnapshot(self.incarnation, self.sequence, list(self.prefix_digests))
