"""Allocation table of one store: parts that are complete, being written or being read.

A part is one piece of kept context under a salt. The store frees nothing by itself and
does not know its readers, so its owner grants every read and every write, and frees
only parts that no granted read can still use. Each grant is a lease: a reader discards
a read that has not finished when its lease expires.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from ..policy.target_selection import PREFILL_TOKENS_PER_S

READ_LEASE_S = 1.5
"""Time within which a granted read must finish."""

READ_LEASE_MARGIN_S = 0.5
"""Time after a read lease's expiry before the part may be freed."""

WRITE_LEASE_S = 4.0
"""Time within which a granted write must finish."""

MAX_FILL_RATIO = 0.92
"""Share of a store's capacity up to which writes are granted."""

EVICT_TO_RATIO = 0.88
"""Share of a store's capacity down to which parts are evicted, so that writes find
space; below `MAX_FILL_RATIO`."""

MIN_BACKLOG_LIMIT_S = 0.06
"""Transfer time queued at the store's link up to which each request may wait."""

BACKLOG_PER_PREFILL = 2.0
"""Transfer time queued at the link for which a request waits, relative to the time to
compute its shared context again, which would also delay the engine's other requests."""

SAVE_BACKLOG_S = 0.25
"""Transfer time queued at the link up to which parts are saved; no request waits for
that."""

HOT_READ_S = 0.5
"""Time after a part's last granted read within which engines still have the part in
their own memory, so that another read needs no transfer."""

MAX_EVICTED_PARTS = 64
"""Maximum number of parts that one call to the store frees."""

BLOCK_TOKENS = 16
"""Tokens of one block, the unit in which a store allocates its memory."""

PartName = tuple[str, str]
"""Salt and identifier of a part."""


@dataclass
class PartAllocation:
    """A part that occupies space in the store."""

    tokens: int
    is_complete: bool
    """Whether the store has reported that the part is written."""
    write_expires_s: float = 0.0
    """Expiry of the write lease."""
    read_expires_s: float = 0.0
    """Expiry of the last read lease."""


class GrantReason(StrEnum):
    """Why a request may or may not read or save a part."""

    READ = "read"
    HOT_READ = "hot_read"
    """Read lately, so that engines still have it."""
    SAVE = "save"
    LINK_BUSY = "link_busy"
    BEING_WRITTEN = "being_written"
    NO_SPACE = "no_space"
    OTHER_SIZE = "other_size"
    """The store has the part with another number of tokens."""


@dataclass(frozen=True)
class PartGrant:
    """Whether a request may read or save one part."""

    reason: GrantReason

    @property
    def may_read(self) -> bool:
        """Whether the request may read the part."""
        return self.reason in (GrantReason.READ, GrantReason.HOT_READ)

    @property
    def may_save(self) -> bool:
        """Whether the request may save the part."""
        return self.reason is GrantReason.SAVE


def round_up_to_blocks(tokens: int) -> int:
    """Return the tokens rounded up to complete blocks."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


class StoreAllocationTable:
    """Allocation table of one store, least recently used parts first.

    Args:
        capacity_tokens: Capacity of the store.
        link_bytes_per_s: Bandwidth of the store's link.
        token_bytes: Bytes of kept context for each token.
    """

    def __init__(
        self, capacity_tokens: int, link_bytes_per_s: float, token_bytes: int
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.link_bytes_per_s = link_bytes_per_s
        self.token_bytes = token_bytes
        self.granted_tokens: Counter[GrantReason] = Counter()
        """Tokens of the parts that requests asked for, by outcome."""
        self.clear()

    def clear(self) -> None:
        """Remove all parts, as the store's restart did."""
        self.parts: OrderedDict[PartName, PartAllocation] = OrderedDict()
        self.used_tokens = 0
        self.link_busy_until_s = 0.0

    def put(self, name: PartName, part: PartAllocation) -> None:
        """Add or replace a part as the most recently used one."""
        self.remove(name)
        self.parts[name] = part
        self.used_tokens += round_up_to_blocks(part.tokens)

    def remove(self, name: PartName) -> None:
        """Remove a part, if the table has it."""
        part = self.parts.pop(name, None)
        if part is not None:
            self.used_tokens -= round_up_to_blocks(part.tokens)

    def grant(
        self,
        salt: str,
        pieces: Iterable[tuple[str, int]],
        now_s: float,
        transfer_factor: float,
    ) -> list[PartGrant]:
        """Grant a request the parts that it may read and save.

        Args:
            salt: Separates the context of weight versions and organisations.
            pieces: Identifier and tokens of each piece, in the prompt's sequence.
            now_s: Monotonic time.
            transfer_factor: Factor by which transfers to the request's target take
                longer than the link's bandwidth gives.
        """
        pieces = list(pieces)
        prefill_s = sum(tokens for _, tokens in pieces) / PREFILL_TOKENS_PER_S
        max_backlog_s = max(MIN_BACKLOG_LIMIT_S, prefill_s * BACKLOG_PER_PREFILL)
        is_link_busy = self.link_busy_until_s > now_s + max_backlog_s
        grants = []
        for piece_id, tokens in pieces:
            reason = self.grant_part(
                (salt, piece_id), tokens, now_s, transfer_factor, is_link_busy
            )
            self.granted_tokens[reason] += tokens
            grants.append(PartGrant(reason))
        return grants

    def grant_part(
        self,
        name: PartName,
        tokens: int,
        now_s: float,
        transfer_factor: float,
        is_link_busy: bool,
    ) -> GrantReason:
        """Grant a read of a complete part, or a write of one that the store lacks."""
        part = self.parts.get(name)
        if part is not None and part.is_complete:
            self.parts.move_to_end(name)
            if part.tokens != tokens:
                return GrantReason.OTHER_SIZE
            if is_link_busy:
                return GrantReason.LINK_BUSY
            is_hot = part.read_expires_s > now_s + READ_LEASE_S - HOT_READ_S
            part.read_expires_s = max(part.read_expires_s, now_s + READ_LEASE_S)
            if is_hot:
                return GrantReason.HOT_READ
            self.add_transfer(tokens, now_s, transfer_factor)
            return GrantReason.READ
        if part is not None and part.write_expires_s > now_s:
            return GrantReason.BEING_WRITTEN
        if self.link_busy_until_s > now_s + SAVE_BACKLOG_S:
            return GrantReason.LINK_BUSY
        max_tokens = self.capacity_tokens * MAX_FILL_RATIO
        if self.used_tokens + round_up_to_blocks(tokens) > max_tokens:
            return GrantReason.NO_SPACE
        self.put(name, PartAllocation(tokens, False, now_s + WRITE_LEASE_S))
        self.add_transfer(tokens, now_s, transfer_factor)
        return GrantReason.SAVE

    def cancel_write(self, name: PartName) -> None:
        """Drop the grant of a write that did not begin."""
        part = self.parts.get(name)
        if part is not None and not part.is_complete:
            self.remove(name)

    def add_transfer(self, tokens: int, now_s: float, transfer_factor: float) -> None:
        """Add a transfer to the link's expected busy time."""
        duration_s = tokens * self.token_bytes * transfer_factor / self.link_bytes_per_s
        self.link_busy_until_s = max(self.link_busy_until_s, now_s) + duration_s

    def handle_added(self, name: PartName, tokens: int) -> None:
        """Handle the store's report that it has a complete part."""
        part = self.parts.get(name)
        if part is None:
            self.put(name, PartAllocation(tokens, True))
        elif not part.is_complete:
            part.is_complete = True
            if part.tokens != tokens:
                self.put(name, PartAllocation(tokens, True))

    def handle_removed(self, name: PartName) -> None:
        """Handle the store's report that it no longer has a part."""
        part = self.parts.get(name)
        if part is not None and part.is_complete:
            self.remove(name)

    def apply_listing(
        self,
        complete_parts: Iterable[tuple[PartName, int]],
        incomplete_parts: Iterable[PartName],
        now_s: float,
    ) -> list[PartName]:
        """Match the table to a listing of the store.

        Args:
            complete_parts: Name and tokens of each complete part in the store.
            incomplete_parts: Names of the incomplete parts in the store.
            now_s: Monotonic time.

        Returns:
            Incomplete parts that nobody writes any more, to be freed.
        """
        tokens_by_name = dict(complete_parts)
        for name, tokens in tokens_by_name.items():
            self.handle_added(name, tokens)
        incomplete_names = set(incomplete_parts)
        for name, part in list(self.parts.items()):
            is_being_written = not part.is_complete and part.write_expires_s > now_s
            if name not in tokens_by_name and not is_being_written:
                self.remove(name)
        return [name for name in incomplete_names if name not in self.parts]

    def evict(self, now_s: float) -> list[PartName]:
        """Remove and return the parts to free now, least recently used first.

        No granted read can still use any of them.
        """
        max_tokens = self.capacity_tokens * EVICT_TO_RATIO
        evicted: list[PartName] = []
        while self.used_tokens > max_tokens and len(evicted) < MAX_EVICTED_PARTS:
            name = self.find_evictable(now_s)
            if name is None:
                break
            self.remove(name)
            evicted.append(name)
        return evicted

    def find_evictable(self, now_s: float) -> PartName | None:
        """Return the least recently used complete part without a read lease."""
        for name, part in self.parts.items():
            if part.is_complete and now_s > part.read_expires_s + READ_LEASE_MARGIN_S:
                return name
        return None

    def has_expired_write(self, now_s: float) -> bool:
        """Whether a write lease has expired without a report that the write ended."""
        return any(
            not part.is_complete and part.write_expires_s <= now_s
            for part in self.parts.values()
        )
