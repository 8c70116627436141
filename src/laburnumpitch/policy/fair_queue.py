"""Start-time fair queueing over organisations.

Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")


@dataclass(order=True)
class QueuedItem(Generic[ItemT]):
    """A queued item with its position in the queue."""

    start_tag: float
    """Virtual time at which its service may start."""
    sequence: int
    """Breaks ties between equal start tags in favour of the earlier item."""
    organisation: str = field(compare=False)
    item: ItemT = field(compare=False)


class FairQueue(Generic[ItemT]):
    """Shares the service between organisations in proportion to their weights.

    An organisation that was idle starts at the current virtual time, so it neither
    accumulates credit nor waits behind another organisation's backlog.
    """

    def __init__(self) -> None:
        self.heap: list[QueuedItem[ItemT]] = []
        self.sequence_numbers = itertools.count()
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        """Virtual time at which each organisation's last item ends."""
        self.lengths: dict[str, int] = {}
        """Number of queued items by organisation."""

    def __len__(self) -> int:
        return len(self.heap)

    def get_length(self, organisation: str) -> int:
        """Return the number of an organisation's queued items."""
        return self.lengths.get(organisation, 0)

    def push(
        self, organisation: str, weight: float, cost: float, item: ItemT
    ) -> QueuedItem[ItemT]:
        """Add an item and return its queue entry.

        Args:
            organisation: The organisation that the item belongs to.
            weight: Share of the service for the organisation, relative to the others'.
            cost: Service that the item needs, in any fixed unit.
            item: The item.
        """
        start_tag = max(self.virtual_time, self.finish_tags.get(organisation, 0.0))
        self.finish_tags[organisation] = start_tag + cost / weight
        queued = QueuedItem(start_tag, next(self.sequence_numbers), organisation, item)
        heapq.heappush(self.heap, queued)
        self.lengths[organisation] = self.get_length(organisation) + 1
        return queued

    def pop(self) -> ItemT:
        """Remove and return the item with the lowest start tag."""
        queued = heapq.heappop(self.heap)
        self.virtual_time = max(self.virtual_time, queued.start_tag)
        self.update_after_removal(queued.organisation)
        return queued.item

    def remove(self, queued: QueuedItem[ItemT]) -> None:
        """Remove an item if it is still in the queue."""
        try:
            self.heap.remove(queued)
        except ValueError:
            return
        heapq.heapify(self.heap)
        self.update_after_removal(queued.organisation)

    def update_after_removal(self, organisation: str) -> None:
        """Update the length of an organisation's queue.

        When the queue is empty, finish tags that virtual time has passed are dropped.
        """
        remaining = self.lengths[organisation] - 1
        if remaining:
            self.lengths[organisation] = remaining
        else:
            del self.lengths[organisation]
        if not self.heap:
            self.finish_tags = {
                name: tag
                for name, tag in self.finish_tags.items()
                if tag > self.virtual_time
            }
