"""The books of one store: which parts are whole, being written, or being read.

The store frees nothing by itself and does not know its readers, so one keeper
grants every read and every save, and frees only what no granted read can still
touch. A read that is not finished by its bound is thrown away by its reader.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

READ_LEASE_S = 1.5
"""Time for which a granted read may last."""

READ_LEASE_MARGIN_S = 0.5
"""Time beyond a read's bound before its part may be freed."""

WRITE_LEASE_S = 4.0
"""Time for which a granted save may last."""

MAX_FILL_RATIO = 0.92
"""Part of a store that is filled."""

EVICT_TO_RATIO = 0.88
"""Part of a store up to which it is freed, so that saves find room."""

MAX_BACKLOG_S = 0.06
"""Transfers ahead of a read, in time, above which reading the prompt is faster."""

HOT_READ_S = 0.5
"""Time since a part's last read within which engines still have it themselves."""

MAX_EVICTED_PARTS = 64
"""Parts freed by one call."""

BLOCK_TOKENS = 16
"""Granularity of a store's memory."""

PartName = tuple[str, str]
"""Salt and identifier of a part."""


@dataclass
class PartAllocation:
    """A part as the keeper knows it."""

    tokens: int
    is_complete: bool
    write_expires_s: float = 0.0
    read_expires_s: float = 0.0


@dataclass(frozen=True)
class PartGrant:
    """What a request may do with one part."""

    may_read: bool
    may_save: bool


def round_up_to_blocks(tokens: int) -> int:
    """Return the room that tokens take."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


class StoreAllocationTable:
    """The books of one store.

    Args:
        capacity_tokens: Room of the store.
        bytes_per_s: Speed of the store's link.
        token_bytes: Size of a token's context.
    """

    def __init__(
        self, capacity_tokens: int, link_bytes_per_s: float, token_bytes: int
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.link_bytes_per_s = link_bytes_per_s
        self.token_bytes = token_bytes
        self.clear()

    def clear(self) -> None:
        """Forget everything, as the store did at its restart."""
        self.parts: OrderedDict[PartName, PartAllocation] = OrderedDict()
        self.used_tokens = 0
        self.link_busy_until_s = 0.0

    def put(self, name: PartName, part: PartAllocation) -> None:
        """Book a part as the one used last."""
        self.remove(name)
        self.parts[name] = part
        self.used_tokens += round_up_to_blocks(part.tokens)

    def remove(self, name: PartName) -> None:
        """Strike a part."""
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
        """Grant a request what it may read and save.

        Args:
            salt: Keeps context of other versions and organisations apart.
            pieces: Identifier and tokens of each part, in order.
            now_s: Steady time.
            cost: Times that a transfer takes longer for the request's target.
        """
        is_link_busy = self.link_busy_until_s > now_s + MAX_BACKLOG_S
        return [
            self.grant_part(
                (salt, piece_id), tokens, now_s, transfer_factor, is_link_busy
            )
            for piece_id, tokens in pieces
        ]

    def grant_part(
        self,
        name: PartName,
        tokens: int,
        now_s: float,
        transfer_factor: float,
        is_link_busy: bool,
    ) -> PartGrant:
        """Grant what a request may do with one part."""
        part = self.parts.get(name)
        if part is not None and part.is_complete:
            self.parts.move_to_end(name)
            if is_link_busy or part.tokens != tokens:
                return PartGrant(False, False)
            is_hot = part.read_expires_s > now_s + READ_LEASE_S - HOT_READ_S
            part.read_expires_s = max(part.read_expires_s, now_s + READ_LEASE_S)
            if not is_hot:
                self.add_transfer(tokens, now_s, transfer_factor)
            return PartGrant(True, False)
        is_being_written = part is not None and part.write_expires_s > now_s
        max_tokens = self.capacity_tokens * MAX_FILL_RATIO
        if (
            is_being_written
            or is_link_busy
            or self.used_tokens + round_up_to_blocks(tokens) > max_tokens
        ):
            return PartGrant(False, False)
        self.put(name, PartAllocation(tokens, False, now_s + WRITE_LEASE_S))
        self.add_transfer(tokens, now_s, transfer_factor)
        return PartGrant(False, True)

    def add_transfer(self, tokens: int, now_s: float, transfer_factor: float) -> None:
        """Count a transfer that the link will carry."""
        duration_s = tokens * self.token_bytes * transfer_factor / self.link_bytes_per_s
        self.link_busy_until_s = max(self.link_busy_until_s, now_s) + duration_s

    def handle_added(self, name: PartName, tokens: int) -> None:
        """Note that the store has a part whole."""
        part = self.parts.get(name)
        if part is None:
            self.put(name, PartAllocation(tokens, True))
        elif not part.is_complete:
            part.is_complete = True
            if part.tokens != tokens:
                self.put(name, PartAllocation(tokens, True))

    def handle_removed(self, name: PartName) -> None:
        """Note that the store no longer has a part."""
        part = self.parts.get(name)
        if part is not None and part.is_complete:
            self.remove(name)

    def apply_listing(
        self,
        held: Iterable[tuple[PartName, int]],
        partial: Iterable[PartName],
        now_s: float,
    ) -> list[PartName]:
        """Take the store's own account.

        Returns:
            Parts that broke off while they were written, to be freed.
        """
        held_tokens = dict(held)
        for name, tokens in held_tokens.items():
            self.handle_added(name, tokens)
        partial_names = set(partial)
        for name, part in list(self.parts.items()):
            is_being_written = not part.is_complete and part.write_expires_s > now_s
            if name not in held_tokens and not is_being_written:
                self.remove(name)
        return [name for name in partial_names if name not in self.parts]

    def evict(self, now_s: float) -> list[PartName]:
        """Strike parts to free now, least recently used first, and return them.

        None of them can still be touched by a granted read.
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
        """Return the least recently used part that nobody reads."""
        for name, part in self.parts.items():
            if part.is_complete and now_s > part.read_expires_s + READ_LEASE_MARGIN_S:
                return name
        return None

    def has_expired_write(self, now_s: float) -> bool:
        """Whether a granted save was never heard to end."""
        return any(
            not part.is_complete and part.write_expires_s <= now_s
            for part in self.parts.values()
        )
