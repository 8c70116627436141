"""Load of the whole fleet at each target, kept by the coordinator of a service.

In a fleet of many small nodes, each node sees only a few requests a second, and load
reports of other nodes are older than most requests are long, so choosing targets by
those reports is no better than choosing at random. A single ledger that records every
placement has the exact load.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from .prefill_rate import PrefillRate

PLACEMENT_TTL_S = 15.0
"""Time after which a placement that was not released expires. Its node has died,
since requests are aborted before they take that long."""


@dataclass
class TargetUsage:
    """Requests and prompt tokens of the fleet at one target."""

    running: int = 0
    tokens: int = 0
    """Prompt tokens of the requests that run or wait there."""
    pending_prefill_tokens: int = 0
    """Prompt tokens whose prefill has not ended."""
    busy_since_s: float = 0.0
    """Start of the busy period, in which there is always a pending prefill."""
    prefilled_tokens: int = 0
    """Prompt tokens prefilled in the current busy period."""
    is_measurable: bool = True
    """Whether no prompt of the current busy period has ended without a prefill."""


@dataclass
class PlacementEntry:
    """A placement that has not been released."""

    target_id: str
    tokens: int
    assigned_s: float
    is_prefilled: bool = False
    """Whether its prompt no longer counts as a pending prefill."""


NO_USAGE = TargetUsage()


@dataclass
class PlacementLedger:
    """The placements of one service."""

    usage_by_target: dict[str, TargetUsage] = field(default_factory=dict)
    entries: dict[int, PlacementEntry] = field(default_factory=dict)
    """Placements by number, oldest first."""
    prefill_rate: PrefillRate = field(default_factory=PrefillRate)
    """Prefill rate of the service's engines."""
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def get_usage(self, target_id: str) -> TargetUsage:
        """Return the usage of a target; callers must not modify it."""
        return self.usage_by_target.get(target_id, NO_USAGE)

    def assign(self, target_id: str, tokens: int, now_s: float) -> int:
        """Assign a placement at a target and return its number."""
        usage = self.usage_by_target.setdefault(target_id, TargetUsage())
        if not usage.pending_prefill_tokens:
            usage.busy_since_s = now_s
            usage.prefilled_tokens = 0
            usage.is_measurable = True
        usage.running += 1
        usage.tokens += tokens
        usage.pending_prefill_tokens += tokens
        number = next(self.numbers)
        self.entries[number] = PlacementEntry(target_id, tokens, now_s)
        return number

    def record_prefill(self, number: int, now_s: float) -> None:
        """Record that the prompt of a placement has been prefilled."""
        entry = self.entries.get(number)
        if entry is None or entry.is_prefilled:
            return
        self.remove_pending_prefill(entry)
        usage = self.usage_by_target[entry.target_id]
        usage.prefilled_tokens += entry.tokens
        if not usage.pending_prefill_tokens and usage.is_measurable:
            self.prefill_rate.record(usage.prefilled_tokens, now_s - usage.busy_since_s)

    def remove_pending_prefill(self, entry: PlacementEntry) -> None:
        """Subtract a placement's prompt from the pending prefills, but only once."""
        if not entry.is_prefilled:
            entry.is_prefilled = True
            self.usage_by_target[entry.target_id].pending_prefill_tokens -= entry.tokens

    def release(self, number: int) -> None:
        """Release a placement; unknown numbers are ignored."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return
        usage = self.usage_by_target[entry.target_id]
        if not entry.is_prefilled:
            usage.is_measurable = False
        self.remove_pending_prefill(entry)
        usage.running -= 1
        usage.tokens -= entry.tokens
        if not usage.running:
            del self.usage_by_target[entry.target_id]

    def expire(self, now_s: float) -> int:
        """Release the expired placements, and return their count."""
        count = 0
        while self.has_expired(now_s):
            self.release(next(iter(self.entries)))
            count += 1
        return count

    def has_expired(self, now_s: float) -> bool:
        """Whether the oldest placement has expired."""
        oldest = next(iter(self.entries.values()), None)
        return oldest is not None and now_s - oldest.assigned_s > PLACEMENT_TTL_S

    def get_backlog_s(self, target_id: str) -> float:
        """Return the time that a target needs for its pending prefills."""
        pending_tokens = self.get_usage(target_id).pending_prefill_tokens
        return pending_tokens / self.prefill_rate.tokens_per_s
