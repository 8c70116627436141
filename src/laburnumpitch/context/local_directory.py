"""One node's shards of the directory: which targets hold which piece.

The directory is soft state, built from engines' events and stores' listings. Each
target has a current epoch. After a gap in its events, reports carry a new epoch:
all entries of earlier epochs become invalid at once. Lookups ignore them, and they
are dropped when their piece is reported again.
"""

from __future__ import annotations

import struct

from ..targets.protocols import BlockRef
from ..transport.codec import Message

MAX_ENTRIES = 400_000
"""Maximum number of entries in one node's shards; beyond it the oldest are evicted."""

BLOCK_RECORD = struct.Struct(">IIQIB32s")
"""Target number, epoch, generation, length in bytes, whether on disk, checksum.

A packed record takes a third of the memory of the same fields as objects.
"""

MAX_ENGINES_PER_PIECE = 16
"""Maximum number of engines in the entry of one piece; the latest reports are kept."""


class PieceBlock(Message):
    """A committed block of a piece."""

    store_id: str
    store_address: str
    generation: int
    length: int
    checksum: str
    is_on_disk: bool


class PieceHolders(Message):
    """The engines and the blocks that hold a piece."""

    engines: list[str]
    blocks: list[PieceBlock]


class TargetReport(Message):
    """Reports changes of the pieces of one target to a shard's owner."""

    target_id: str
    epoch: int
    """Increases with each snapshot or listing; older reports are ignored."""
    added: list[str]
    """Pieces that were added to an engine's memory."""
    removed: list[str]
    """Pieces that the engine or store no longer has."""
    blocks: dict[str, PieceBlock]
    """Committed blocks of a store, by piece."""


class Lookup(Message):
    """Requests the holders of pieces from their shard's owner."""

    pieces: list[str]


class LookupAnswer(Message):
    """The holders of each piece, in the order of the request."""

    holders: list[PieceHolders]


class DirectoryTarget:
    """A target's number and current epoch in this node's shards.

    Args:
        number: Index in `LocalDirectory.targets_by_number`.
        target_id: Identifier of the target.
    """

    __slots__ = ("number", "epoch", "target_id", "address")

    def __init__(self, number: int, target_id: str) -> None:
        self.number = number
        self.target_id = target_id
        self.epoch = 0
        self.address = ""
        """Address of the target if it is a store, from its latest reported block."""


class LocalDirectory:
    """Holders of the pieces whose shards this node owns.

    Args:
        max_entries: Maximum number of entries.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.targets: dict[str, DirectoryTarget] = {}
        self.targets_by_number: list[DirectoryTarget] = []
        self.engine_entries: dict[bytes, tuple[int, ...]] = {}
        """Engines by piece, each as target number << 32 | epoch."""
        self.block_records: dict[bytes, bytes] = {}
        """The block of each piece, as a packed `BLOCK_RECORD`."""

    def __len__(self) -> int:
        return len(self.engine_entries) + len(self.block_records)

    def get_or_add_target(self, target_id: str) -> DirectoryTarget:
        """Return a target's number and epoch; an unknown target gets a new number."""
        target = self.targets.get(target_id)
        if target is None:
            target = DirectoryTarget(len(self.targets_by_number), target_id)
            self.targets[target_id] = target
            self.targets_by_number.append(target)
        return target

    def is_current(self, entry: int) -> bool:
        """Whether an engine entry is of its target's current epoch."""
        return self.targets_by_number[entry >> 32].epoch == entry & 0xFFFFFFFF

    def apply_report(self, report: TargetReport) -> None:
        """Apply a report about a target; one of an older epoch is ignored."""
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
        """Pack a block as a `BLOCK_RECORD`; its store's address goes to the target."""
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
        """Unpack a block; return None if it is of an earlier epoch."""
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
        """Invalidate all entries of a target."""
        if target_id in self.targets:
            self.targets[target_id].epoch += 1

    def add_engine(self, piece: bytes, entry: int) -> None:
        """Add an engine to a piece, and drop the piece's entries of earlier epochs."""
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
        """Remove a target from the holders of a piece."""
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
        """Evict the oldest entries above `max_entries`, from the larger table first."""
        while len(self.engine_entries) + len(self.block_records) > self.max_entries:
            larger = (
                self.engine_entries
                if len(self.engine_entries) > len(self.block_records)
                else self.block_records
            )
            del larger[next(iter(larger))]

    def look_up(self, piece: str) -> PieceHolders:
        """Return the current holders of a piece."""
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
    """Return the reference by which an engine reads a block."""
    return BlockRef(
        piece,
        block.store_id,
        block.store_address,
        block.generation,
        block.length,
        block.checksum,
    )
