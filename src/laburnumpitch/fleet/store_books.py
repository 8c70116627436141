"""The books of one store: which parts are whole, being written, or being read.

The store frees nothing by itself and does not know its readers, so one keeper
grants every read and every save, and frees only what no granted read can still
touch. A read that is not finished by its bound is thrown away by its reader.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

READ_S = 1.5
"""Time for which a granted read may last."""

READ_SLACK_S = 0.5
"""Time beyond a read's bound before its part may be freed."""

WRITE_S = 4.0
"""Time for which a granted save may last."""

FILL_SHARE = 0.92
"""Part of a store that is filled."""

KEPT_SHARE = 0.88
"""Part of a store up to which it is freed, so that saves find room."""

MAX_BACKLOG_S = 0.06
"""Transfers ahead of a read, in time, above which reading the prompt is faster."""

HOT_S = 0.5
"""Time since a part's last read within which engines still have it themselves."""

FREE_BATCH = 64
"""Parts freed by one call."""

BLOCK_TOKENS = 16
"""Granularity of a store's memory."""

PartName = tuple[str, str]
"""Salt and identifier of a part."""


@dataclass
class BookedPart:
    """A part as the keeper knows it."""

    tokens: int
    is_whole: bool
    write_until_s: float = 0.0
    read_until_s: float = 0.0


@dataclass(frozen=True)
class PartGrant:
    """What a request may do with one part."""

    may_read: bool
    may_save: bool


def round_up(tokens: int) -> int:
    """Return the room that tokens take."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


class StoreBooks:
    """The books of one store.

    Args:
        capacity_tokens: Room of the store.
        bytes_per_s: Speed of the store's link.
        token_bytes: Size of a token's context.
    """

    def __init__(
        self, capacity_tokens: int, bytes_per_s: float, token_bytes: int
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.bytes_per_s = bytes_per_s
        self.token_bytes = token_bytes
        self.clear()

    def clear(self) -> None:
        """Forget everything, as the store did at its restart."""
        self.parts: OrderedDict[PartName, BookedPart] = OrderedDict()
        self.used_tokens = 0
        self.busy_until_s = 0.0

    def put(self, name: PartName, part: BookedPart) -> None:
        """Book a part as the one used last."""
        self.remove(name)
        self.parts[name] = part
        self.used_tokens += round_up(part.tokens)

    def remove(self, name: PartName) -> None:
        """Strike a part."""
        part = self.parts.pop(name, None)
        if part is not None:
            self.used_tokens -= round_up(part.tokens)

    def grant(
        self, salt: str, pieces: Iterable[tuple[str, int]], now_s: float, cost: float
    ) -> list[PartGrant]:
        """Grant a request what it may read and save.

        Args:
            salt: Keeps context of other versions and organisations apart.
            pieces: Identifier and tokens of each part, in order.
            now_s: Steady time.
            cost: Times that a transfer takes longer for the request's target.
        """
        is_busy = self.busy_until_s > now_s + MAX_BACKLOG_S
        return [
            self.grant_part((salt, piece_id), tokens, now_s, cost, is_busy)
            for piece_id, tokens in pieces
        ]

    def grant_part(
        self, name: PartName, tokens: int, now_s: float, cost: float, is_busy: bool
    ) -> PartGrant:
        """Grant what a request may do with one part."""
        part = self.parts.get(name)
        if part is not None and part.is_whole:
            self.parts.move_to_end(name)
            if is_busy or part.tokens != tokens:
                return PartGrant(False, False)
            is_hot = part.read_until_s > now_s + READ_S - HOT_S
            part.read_until_s = max(part.read_until_s, now_s + READ_S)
            if not is_hot:
                self.add_transfer(tokens, now_s, cost)
            return PartGrant(True, False)
        is_written = part is not None and part.write_until_s > now_s
        room = self.capacity_tokens * FILL_SHARE
        if is_written or is_busy or self.used_tokens + round_up(tokens) > room:
            return PartGrant(False, False)
        self.put(name, BookedPart(tokens, False, now_s + WRITE_S))
        self.add_transfer(tokens, now_s, cost)
        return PartGrant(False, True)

    def add_transfer(self, tokens: int, now_s: float, cost: float) -> None:
        """Count a transfer that the link will carry."""
        duration_s = tokens * self.token_bytes * cost / self.bytes_per_s
        self.busy_until_s = max(self.busy_until_s, now_s) + duration_s

    def note_added(self, name: PartName, tokens: int) -> None:
        """Note that the store has a part whole."""
        part = self.parts.get(name)
        if part is None:
            self.put(name, BookedPart(tokens, True))
        elif not part.is_whole:
            part.is_whole = True
            if part.tokens != tokens:
                self.put(name, BookedPart(tokens, True))

    def note_removed(self, name: PartName) -> None:
        """Note that the store no longer has a part."""
        part = self.parts.get(name)
        if part is not None and part.is_whole:
            self.remove(name)

    def take_listing(
        self,
        held: Iterable[tuple[PartName, int]],
        partial: Iterable[PartName],
        now_s: float,
    ) -> list[PartName]:
        """Take the store's own account.

        Returns:
            Parts that broke off while they were written, to be freed.
        """
        found = dict(held)
        for name, tokens in found.items():
            self.note_added(name, tokens)
        unfinished = set(partial)
        for name, part in list(self.parts.items()):
            is_written = not part.is_whole and part.write_until_s > now_s
            if name not in found and not is_written:
                self.remove(name)
        return [name for name in unfinished if name not in self.parts]

    def choose_freed(self, now_s: float) -> list[PartName]:
        """Strike parts to free now, least recently used first, and return them.

        None of them can still be touched by a granted read.
        """
        room = self.capacity_tokens * KEPT_SHARE
        chosen: list[PartName] = []
        while self.used_tokens > room and len(chosen) < FREE_BATCH:
            oldest = self.find_oldest(now_s)
            if oldest is None:
                break
            self.remove(oldest)
            chosen.append(oldest)
        return chosen

    def find_oldest(self, now_s: float) -> PartName | None:
        """Return the least recently used part that nobody reads."""
        for name, part in self.parts.items():
            if part.is_whole and now_s > part.read_until_s + READ_SLACK_S:
                return name
        return None

    def has_unfinished(self, now_s: float) -> bool:
        """Whether a granted save was never heard to end."""
        return any(
            not part.is_whole and part.write_until_s <= now_s
            for part in self.parts.values()
        )
