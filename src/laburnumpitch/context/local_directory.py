"""One node's shards of the directory: who holds which piece.

It is soft state, built from engines' events and stores' listings. Each target
has an epoch here; when its events have a gap the epoch moves on, so that all
earlier entries stop counting at once and are dropped when they are met.
"""

from __future__ import annotations

import struct

from ..targets.protocols import BlockRef
from ..transport.codec import message

MAX_ENTRIES = 400_000
"""Pieces that one node remembers; the oldest entries go first."""

BLOCK_RECORD = struct.Struct(">IIQIB32s")
"""Target number, epoch, generation, length in bytes, whether on disk, checksum.

One packed record takes a third of the memory of the same fields as objects.
"""

MAX_ENGINES_PER_PIECE = 16
"""Engines remembered for one piece."""


@message
class PieceBlock:
    """A committed block of a piece."""

    store_id: str
    store_address: str
    generation: int
    length: int
    checksum: str
    is_on_disk: bool


@message
class PieceHolders:
    """Who holds a piece."""

    engines: list[str]
    blocks: list[PieceBlock]


@message
class TargetReport:
    """What a collector tells a shard's owner of one target."""

    target_id: str
    epoch: int
    """Grows with each snapshot of the target."""
    added: list[str]
    """Pieces that came into an engine's memory."""
    removed: list[str]
    blocks: dict[str, PieceBlock]
    """Committed blocks of a store, by piece."""


@message
class Lookup:
    """Asks a shard's owner for the holders of pieces."""

    pieces: list[str]


@message
class LookupAnswer:
    """Holders by piece, in the order asked."""

    holders: list[PieceHolders]


class DirectoryTarget:
    """One target's number and current epoch in this directory."""

    __slots__ = ("number", "epoch", "target_id", "address")

    def __init__(self, number: int, target_id: str) -> None:
        self.number = number
        self.target_id = target_id
        self.epoch = 0
        self.address = ""


class LocalDirectory:
    """Holders of the pieces whose shards this node owns.

    Args:
        max_entries: Pieces to remember.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.targets: dict[str, DirectoryTarget] = {}
        self.targets_by_number: list[DirectoryTarget] = []
        self.engine_entries: dict[bytes, tuple[int, ...]] = {}
        """By piece, target number << 32 | epoch for each engine."""
        self.block_records: dict[bytes, bytes] = {}
        """By piece, a `BLOCK_RECORD`; one block for each piece."""

    def __len__(self) -> int:
        return len(self.engine_entries) + len(self.block_records)

    def get_or_add_target(self, target_id: str) -> DirectoryTarget:
        """Return a target's number and epoch, a new one for a new target."""
        target = self.targets.get(target_id)
        if target is None:
            target = DirectoryTarget(len(self.targets_by_number), target_id)
            self.targets[target_id] = target
            self.targets_by_number.append(target)
        return target

    def is_current(self, entry: int) -> bool:
        """Whether an entry is of its target's current epoch."""
        return self.targets_by_number[entry >> 32].epoch == entry & 0xFFFFFFFF

    def apply_report(self, report: TargetReport) -> None:
        """Merge a collector's report; one of an older epoch is ignored."""
        target = self.get_or_add_target(report.target_id)
        if report.epoch < target.epoch:
            return
        target.epoch = report.epoch
        entry = target.number << 32 | target.epoch
        for piece in report.removed:
            self.remove_holder(bytes.fromhex(piece), target.number)
        for piece in report.added:
            self.add_engine(bytes.fromhex(piece), entry)
        for piece, block in report.blocks.items():
            self.block_records[bytes.fromhex(piece)] = self.pack_block(target, block)
        self.evict_oldest()

    def pack_block(self, target: DirectoryTarget, block: PieceBlock) -> bytes:
        """Return a block's packed record."""
        target.address = block.store_address
        return BLOCK_RECORD.pack(
            target.number,
            target.epoch,
            block.generation,
            block.length,
            block.is_on_disk,
            bytes.fromhex(block.checksum),
        )

    def unpack_block(self, record: bytes) -> PieceBlock | None:
        """Return a block, or None if it is of an earlier epoch."""
        target_number, epoch, generation, length, is_on_disk, checksum = (
            BLOCK_RECORD.unpack(record)
        )
        target = self.targets_by_number[target_number]
        if epoch != target.epoch:
            return None
        return PieceBlock(
            target.target_id,
            target.address,
            generation,
            length,
            checksum.hex(),
            bool(is_on_disk),
        )

    def invalidate_target(self, target_id: str) -> None:
        """Stop counting all entries of a target."""
        if target_id in self.targets:
            self.targets[target_id].epoch += 1

    def add_engine(self, piece: bytes, entry: int) -> None:
        """Note that an engine has a piece."""
        kept_entries = [
            existing
            for existing in self.engine_entries.pop(piece, ())
            if existing >> 32 != entry >> 32 and self.is_current(existing)
        ]
        self.engine_entries[piece] = (
            *kept_entries[-MAX_ENGINES_PER_PIECE + 1 :],
            entry,
        )

    def remove_holder(self, piece: bytes, target_number: int) -> None:
        """Note that a target no longer has a piece."""
        kept_entries = tuple(
            existing
            for existing in self.engine_entries.get(piece, ())
            if existing >> 32 != target_number
        )
        if kept_entries:
            self.engine_entries[piece] = kept_entries
        else:
            self.engine_entries.pop(piece, None)
        record = self.block_records.get(piece)
        if record is not None and BLOCK_RECORD.unpack(record)[0] == target_number:
            del self.block_records[piece]

    def evict_oldest(self) -> None:
        """Forget the oldest entries over the bound."""
        while len(self.engine_entries) + len(self.block_records) > self.max_entries:
            larger = (
                self.engine_entries
                if len(self.engine_entries) > len(self.block_records)
                else self.block_records
            )
            del larger[next(iter(larger))]

    def look_up(self, piece: str) -> PieceHolders:
        """Return who holds a piece."""
        key = bytes.fromhex(piece)
        engines = [
            self.targets_by_number[entry >> 32].target_id
            for entry in self.engine_entries.get(key, ())
            if self.is_current(entry)
        ]
        record = self.block_records.get(key)
        block = self.unpack_block(record) if record is not None else None
        return PieceHolders(engines, [block] if block is not None else [])


def make_block_ref(piece: str, block: PieceBlock) -> BlockRef:
    """Return the reference that a read of a block names."""
    return BlockRef(
        piece,
        block.store_id,
        block.store_address,
        block.generation,
        block.length,
        block.checksum,
    )
