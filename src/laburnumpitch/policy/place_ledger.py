"""What a whole fleet has at each target, kept by the one that hands out places.

Answers a fleet of many small nodes: each sees a few requests a second, and reports of
the others' load are older than most requests are long, so that placing by them is no
better than placing at random. One ledger that every place goes through is exact.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

EXPIRE_S = 15.0
"""Time after which a place counts as free though nobody gave it back: its node has
died, since longer requests are given up."""

FIRST_READ_RATE = 120_000.0
"""Prompt tokens that an engine reads in a second before any was seen to."""

RATE_S = 2.0
"""Reading time over which the rate of a service is averaged."""

MIN_RATE = 10_000.0
"""Least rate that is believed; stuck engines must not stop the others."""


@dataclass
class TargetLoad:
    """What the fleet has at one target."""

    running: int = 0
    tokens: int = 0
    """Prompt tokens of the requests that run or wait there."""
    unread_tokens: int = 0
    reading_since_s: float = 0.0
    read_tokens: int = 0
    """Tokens read since then."""


@dataclass
class PlaceEntry:
    """A place that was handed out."""

    target_id: str
    tokens: int
    given_s: float
    is_read: bool = False


NO_LOAD = TargetLoad()


@dataclass
class PlaceLedger:
    """Places of one service."""

    loads: dict[str, TargetLoad] = field(default_factory=dict)
    entries: dict[int, PlaceEntry] = field(default_factory=dict)
    """Places by number, oldest first."""
    read_rate: float = FIRST_READ_RATE
    """Prompt tokens that an engine reads in a second, kept ones among them."""
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def get(self, target_id: str) -> TargetLoad:
        """Return what is at a target; not to be changed."""
        return self.loads.get(target_id, NO_LOAD)

    def begin(self, target_id: str, tokens: int, now_s: float) -> int:
        """Hand out a place and return its number."""
        load = self.loads.setdefault(target_id, TargetLoad())
        if not load.unread_tokens:
            load.reading_since_s = now_s
            load.read_tokens = 0
        load.running += 1
        load.tokens += tokens
        load.unread_tokens += tokens
        number = next(self.numbers)
        self.entries[number] = PlaceEntry(target_id, tokens, now_s)
        return number

    def note_read(self, number: int, now_s: float) -> None:
        """Note that the prompt at a place has been read."""
        entry = self.entries.get(number)
        if entry is None or entry.is_read:
            return
        self.end_reading(entry)
        load = self.loads[entry.target_id]
        load.read_tokens += entry.tokens
        if not load.unread_tokens:
            self.learn_rate(load, now_s)

    def learn_rate(self, load: TargetLoad, now_s: float) -> None:
        """Learn from a span in which a target read without a pause."""
        span_s = now_s - load.reading_since_s
        if span_s <= 0:
            return
        weight = span_s / (span_s + RATE_S)
        rate = max(MIN_RATE, load.read_tokens / span_s)
        self.read_rate += (rate - self.read_rate) * weight

    def end_reading(self, entry: PlaceEntry) -> None:
        """Take a prompt out of the unread ones."""
        if not entry.is_read:
            entry.is_read = True
            self.loads[entry.target_id].unread_tokens -= entry.tokens

    def end(self, number: int) -> None:
        """Take a place back."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return
        self.end_reading(entry)
        load = self.loads[entry.target_id]
        load.running -= 1
        load.tokens -= entry.tokens
        if not load.running:
            del self.loads[entry.target_id]

    def expire(self, now_s: float) -> int:
        """Take back places whose nodes have died, and return how many."""
        count = 0
        while self.entries:
            number, entry = next(iter(self.entries.items()))
            if now_s - entry.given_s <= EXPIRE_S:
                break
            self.end(number)
            count += 1
        return count

    def get_backlog_s(self, target_id: str) -> float:
        """Return how long a target reads what it has."""
        return self.get(target_id).unread_tokens / self.read_rate
