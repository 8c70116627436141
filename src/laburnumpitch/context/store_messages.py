"""Messages to the owners of stores: reservations, commits and reads."""

from __future__ import annotations

from ..transport.codec import Message

RESERVED = "reserved"
"""Space is reserved; the block may be written."""

STORED = "stored"
"""The store already has the piece."""

BUSY = "busy"
"""The store accepts no block now; the sender may retry."""


class ReserveBlock(Message):
    """Requests space for a piece from a store's owner."""

    store_id: str
    piece: str
    length: int
    """Upper bound of the block's length in bytes."""


class ReserveAnswer(Message):
    """Whether space is reserved, and the generation under which to write."""

    status: str
    """`RESERVED`, `STORED` or `BUSY`."""
    generation: int = 0


class FinishBlock(Message):
    """Reports to a store's owner that a block is written and can be committed."""

    store_id: str
    piece: str
    generation: int
    length: int
    checksum: str


class AbandonBlock(Message):
    """Reports to a store's owner that a block was not written completely."""

    store_id: str
    piece: str
    generation: int


class UsedBlocks(Message):
    """Reports to a store's owner which pieces were read."""

    store_id: str
    pieces: list[str]
