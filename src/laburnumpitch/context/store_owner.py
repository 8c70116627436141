"""Keeps one store: room, generations, commits, and moves between its tiers.

A block is writing, committed or freed. It is named to readers only once it is
committed under its generation, length and checksum, and the directory forgets
it before the store frees it.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..targets.protocols import Store, StoredBlock, StoreListing
from .cache_event_collector import (
    MAX_PIECES_PER_REPORT,
    EpochGenerator,
    group_by_shard_owner,
)
from .local_directory import PieceBlock, TargetReport
from .pieces import get_shard
from .sharded_directory import ShardedDirectory
from .store_messages import (
    BUSY,
    RESERVED,
    STORED,
    FinishBlock,
    ReserveAnswer,
    ReserveBlock,
)

MEMORY = "memory"
DISK = "disk"
WRITING = "writing"

MAX_CONCURRENT_WRITES = 2
"""Blocks written to one store at once; reads have the rest of its link."""

RESERVATION_TTL_S = 60.0
"""Time after which a block that was not finished is freed."""

MAX_FILL_SHARE = 0.95
"""Part of a tier that is filled."""

FREE_GRACE_S = 0.2
"""Time between the directory's forgetting of a block and its freeing."""

MAINTENANCE_INTERVAL_S = 0.5
"""Interval of looking whether a listing or a freeing is due."""


@dataclass(frozen=True)
class Reservation:
    """A block that is being written."""

    piece: str
    generation: int
    length: int
    reserved_at_s: float


class StoreOwner:
    """Keeps one store.

    Args:
        target: The store as announced.
        store: Client of the store.
        shards: The directory over all nodes.
        epochs: Source of epochs.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        target: TargetInfo,
        store: Store,
        directory: ShardedDirectory,
        epochs: EpochGenerator,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.target = target
        self.store = store
        self.directory = directory
        self.epochs = epochs
        self.get_time_s = get_time_s
        self.blocks: OrderedDict[str, StoredBlock] = OrderedDict()
        """Committed blocks by piece, least recently used first."""
        self.reservations: dict[str, Reservation] = {}
        self.used_bytes = {MEMORY: 0, DISK: 0}
        self.capacity_bytes = {MEMORY: 0, DISK: 0}
        self.incarnation = -1
        self.epoch = 0
        self.generation = 0
        self.needs_listing = True
        self.space_lock = asyncio.Lock()
        self.log = get_logger()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self.maintain_store()
            except LaburnumpitchError as error:
                self.log.info(
                    "store_failed", target=self.target.target_id, code=error.code
                )
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def request_listing(self) -> None:
        """Report everything again, since shards have other owners now."""
        self.needs_listing = True

    async def maintain_store(self) -> None:
        """List the store if that is due, and free what was never finished."""
        if self.needs_listing or self.incarnation < 0:
            self.needs_listing = False
            await self.apply_listing(await self.store.get_listing())
        cutoff_s = self.get_time_s() - RESERVATION_TTL_S
        for reservation in list(self.reservations.values()):
            if reservation.reserved_at_s < cutoff_s:
                await self.abandon(reservation.piece, reservation.generation)

    async def apply_listing(self, listing: StoreListing) -> None:
        """Take a store's own account of its committed blocks."""
        previous_blocks = self.blocks
        self.incarnation = listing.incarnation
        self.capacity_bytes = {
            MEMORY: listing.memory_bytes,
            DISK: listing.disk_bytes,
        }
        self.used_bytes = {MEMORY: 0, DISK: 0}
        self.blocks = OrderedDict()
        listed = {block.piece: block for block in listing.blocks}
        # Blocks that this keeper knows keep their order of use.
        for piece in [*previous_blocks, *listed]:
            block = listed.pop(piece, None)
            if block is None:
                continue
            if block.tier == WRITING:
                if piece not in self.reservations:
                    await self.store.free(piece, block.generation)
                continue
            self.blocks[piece] = block
            self.used_bytes[block.tier] += block.length
        self.report_all()

    def report_all(self) -> None:
        """Report every block under a new epoch."""
        self.epoch = self.epochs.next_epoch()
        groups = group_by_shard_owner(self.directory, list(self.blocks))
        for node in self.directory.view.get_live_nodes():
            _, pieces = groups.get(node.node_id, (node, []))
            for start in range(0, max(1, len(pieces)), MAX_PIECES_PER_REPORT):
                batch = pieces[start : start + MAX_PIECES_PER_REPORT]
                blocks = {
                    piece: self.make_piece_block(self.blocks[piece]) for piece in batch
                }
                self.directory.send_report(
                    node,
                    TargetReport(self.target.target_id, self.epoch, [], [], blocks),
                )

    def make_piece_block(self, block: StoredBlock) -> PieceBlock:
        """Return a block as the directory names it."""
        return PieceBlock(
            self.target.target_id,
            self.target.address,
            block.generation,
            block.length,
            block.checksum,
            block.tier == DISK,
        )

    def report_block(self, piece: str, block: StoredBlock | None) -> None:
        """Report one block, or that it is gone, to its shard's owner."""
        owner = self.directory.find_shard_owner(get_shard(piece))
        if owner is None:
            return
        removed = [piece] if block is None else []
        blocks = {} if block is None else {piece: self.make_piece_block(block)}
        self.directory.send_report(
            owner,
            TargetReport(self.target.target_id, self.epoch, [], removed, blocks),
        )

    # Writing.

    async def reserve(self, call: ReserveBlock) -> ReserveAnswer:
        """Make room for a piece and return the generation to write under."""
        if call.piece in self.blocks:
            return ReserveAnswer(STORED)
        is_busy = (
            len(self.reservations) >= MAX_CONCURRENT_WRITES
            or call.piece in self.reservations
        )
        if is_busy or self.incarnation < 0:
            return ReserveAnswer(BUSY)
        # Wall time keeps generations apart from those of earlier keepers.
        self.generation = max(self.generation + 1, time.time_ns() // 1000)
        self.reservations[call.piece] = Reservation(
            call.piece, self.generation, call.length, self.get_time_s()
        )
        generation = self.generation
        async with self.space_lock:
            try:
                has_space = await self.make_space(call.length)
            except LaburnumpitchError:
                has_space = False
        if not has_space:
            self.reservations.pop(call.piece, None)
            return ReserveAnswer(BUSY)
        return ReserveAnswer(RESERVED, generation)

    async def finish(self, call: FinishBlock) -> bool:
        """Commit a written block and name it to readers."""
        reservation = self.reservations.get(call.piece)
        if reservation is None or reservation.generation != call.generation:
            return False
        is_committed = await self.store.commit(
            call.piece, call.generation, call.length, call.checksum
        )
        if not is_committed:
            await self.abandon(call.piece, call.generation)
            return False
        self.reservations.pop(call.piece, None)
        block = StoredBlock(
            call.piece, call.generation, call.length, call.checksum, MEMORY
        )
        self.blocks[call.piece] = block
        self.used_bytes[MEMORY] += call.length
        self.report_block(call.piece, block)
        return True

    async def abandon(self, piece: str, generation: int) -> None:
        """Free a block that was not written whole."""
        reservation = self.reservations.get(piece)
        if reservation is not None and reservation.generation == generation:
            del self.reservations[piece]
            await self.store.free(piece, generation)

    # Room.

    def record_reads(self, pieces: list[str]) -> None:
        """Note that pieces were read."""
        for piece in pieces:
            if piece in self.blocks:
                self.blocks.move_to_end(piece)

    def has_space(self, tier: str, length: int) -> bool:
        """Whether a tier takes a number of bytes."""
        reserved = 0
        if tier == MEMORY:
            reserved = (
                sum(reservation.length for reservation in self.reservations.values())
                - length
            )
        needed = self.used_bytes[tier] + reserved + length
        return needed <= self.capacity_bytes[tier] * MAX_FILL_SHARE

    async def make_space(self, length: int) -> bool:
        """Move or free least recently used blocks until a block fits in memory."""
        while not self.has_space(MEMORY, length):
            block = self.find_least_recently_used(MEMORY)
            if block is None:
                return False
            await self.demote(block)
        return True

    async def demote(self, block: StoredBlock) -> None:
        """Move a block to disk, or free it if the disk takes no more."""
        while not self.has_space(DISK, block.length):
            lru_block = self.find_least_recently_used(DISK)
            if lru_block is None:
                await self.free(block)
                return
            await self.free(lru_block)
        if await self.store.move(block.piece, block.generation, DISK):
            moved = replace(block, tier=DISK)
            self.used_bytes[MEMORY] -= block.length
            self.used_bytes[DISK] += block.length
            self.blocks[block.piece] = moved
            self.report_block(block.piece, moved)
        else:
            await self.free(block)

    async def free(self, block: StoredBlock) -> None:
        """Let the directory forget a block, then free it."""
        self.blocks.pop(block.piece, None)
        self.report_block(block.piece, None)
        await asyncio.sleep(FREE_GRACE_S)
        await self.store.free(block.piece, block.generation)
        self.used_bytes[block.tier] -= block.length

    def find_least_recently_used(self, tier: str) -> StoredBlock | None:
        """Return the least recently used block of a tier."""
        return next(
            (block for block in self.blocks.values() if block.tier == tier), None
        )
