"""What a whole fleet has at each target, kept by the one that hands out places.

Answers a fleet of many small nodes: each sees a few requests a second, and reports of
the others' load are older than most requests are long, so that placing by them is no
better than placing at random. One ledger that every place goes through is exact.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

PLACEMENT_TTL_S = 15.0
"""Time after which a place counts as free though nobody gave it back: its node has
died, since longer requests are given up."""

INITIAL_PREFILL_TOKENS_PER_S = 120_000.0
"""Prompt tokens that an engine reads in a second before any was seen to."""

RATE_AVERAGING_S = 2.0
"""Reading time over which the rate of a service is averaged."""

MIN_PREFILL_TOKENS_PER_S = 10_000.0
"""Least rate that is believed; stuck engines must not stop the others."""


@dataclass
class TargetUsage:
    """What the fleet has at one target."""

    running: int = 0
    tokens: int = 0
    """Prompt tokens of the requests that run or wait there."""
    pending_prefill_tokens: int = 0
    busy_since_s: float = 0.0
    prefilled_tokens: int = 0
    """Tokens read since then."""


@dataclass
class PlacementEntry:
    """A place that was handed out."""

    target_id: str
    tokens: int
    assigned_s: float
    is_prefilled: bool = False


NO_USAGE = TargetUsage()


@dataclass
class PlacementLedger:
    """Places of one service."""

    usage_by_target: dict[str, TargetUsage] = field(default_factory=dict)
    entries: dict[int, PlacementEntry] = field(default_factory=dict)
    """Places by number, oldest first."""
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    """Prompt tokens that an engine reads in a second, kept ones among them."""
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def get_usage(self, target_id: str) -> TargetUsage:
        """Return what is at a target; not to be changed."""
        return self.usage_by_target.get(target_id, NO_USAGE)

    def assign(self, target_id: str, tokens: int, now_s: float) -> int:
        """Hand out a place and return its number."""
        usage = self.usage_by_target.setdefault(target_id, TargetUsage())
        if not usage.pending_prefill_tokens:
            usage.busy_since_s = now_s
            usage.prefilled_tokens = 0
        usage.running += 1
        usage.tokens += tokens
        usage.pending_prefill_tokens += tokens
        number = next(self.numbers)
        self.entries[number] = PlacementEntry(target_id, tokens, now_s)
        return number

    def record_prefill(self, number: int, now_s: float) -> None:
        """Note that the prompt at a place has been read."""
        entry = self.entries.get(number)
        if entry is None or entry.is_prefilled:
            return
        self.mark_prefilled(entry)
        usage = self.usage_by_target[entry.target_id]
        usage.prefilled_tokens += entry.tokens
        if not usage.pending_prefill_tokens:
            self.update_prefill_rate(usage, now_s)

    def update_prefill_rate(self, usage: TargetUsage, now_s: float) -> None:
        """Learn from a span in which a target read without a pause."""
        busy_s = now_s - usage.busy_since_s
        if busy_s <= 0:
            return
        weight = busy_s / (busy_s + RATE_AVERAGING_S)
        rate = max(MIN_PREFILL_TOKENS_PER_S, usage.prefilled_tokens / busy_s)
        self.prefill_tokens_per_s += (rate - self.prefill_tokens_per_s) * weight

    def mark_prefilled(self, entry: PlacementEntry) -> None:
        """Take a prompt out of the unread ones."""
        if not entry.is_prefilled:
            entry.is_prefilled = True
            self.usage_by_target[entry.target_id].pending_prefill_tokens -= entry.tokens

    def release(self, number: int) -> None:
        """Take a place back."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return
        self.mark_prefilled(entry)
        usage = self.usage_by_target[entry.target_id]
        usage.running -= 1
        usage.tokens -= entry.tokens
        if not usage.running:
            del self.usage_by_target[entry.target_id]

    def expire(self, now_s: float) -> int:
        """Take back places whose nodes have died, and return how many."""
        count = 0
        while self.entries:
            number, entry = next(iter(self.entries.items()))
            if now_s - entry.assigned_s <= PLACEMENT_TTL_S:
                break
            self.release(number)
            count += 1
        return count

    def get_backlog_s(self, target_id: str) -> float:
        """Return how long a target reads what it has."""
        return (
            self.get_usage(target_id).pending_prefill_tokens / self.prefill_tokens_per_s
        )
