"""Manages the space of one store: reservations, commits, tiers and eviction.

A block is being written, committed or freed. It is entered in the directory only
after it is committed under its generation, length and checksum, and it is removed
from the directory before the store frees it.
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
"""`StoredBlock.tier` of a block that is still being written."""

MAX_CONCURRENT_WRITES = 2
"""Blocks written to one store at once; the rest of its link is left to reads."""

RESERVATION_TTL_S = 60.0
"""Time after which a reserved block that is not committed is freed."""

MAX_FILL_SHARE = 0.95
"""Largest share of a tier's capacity that is used."""

FREE_GRACE_S = 0.2
"""Time between a block's removal from the directory and its freeing, for reads that
were planned before the removal."""

MAINTENANCE_INTERVAL_S = 0.5
"""Interval of checks for a requested listing and for expired reservations."""


@dataclass(frozen=True)
class Reservation:
    """Space reserved for a block that is being written."""

    piece: str
    generation: int
    length: int
    """Reserved bytes."""
    reserved_at_s: float


class StoreOwner:
    """Manages the space of one store.

    Args:
        target: The store as announced.
        store: Client of the store.
        directory: The directory of piece locations over all nodes.
        epoch_generator: Generates the epochs of reports.
        get_time_s: Returns the monotonic time.
    """

    def __init__(
        self,
        target: TargetInfo,
        store: Store,
        directory: ShardedDirectory,
        epoch_generator: EpochGenerator,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.target = target
        self.store = store
        self.directory = directory
        self.epoch_generator = epoch_generator
        self.get_time_s = get_time_s
        self.blocks: OrderedDict[str, StoredBlock] = OrderedDict()
        """Committed blocks by piece, least recently used first."""
        self.reservations: dict[str, Reservation] = {}
        """Blocks being written, by piece."""
        self.used_bytes = {MEMORY: 0, DISK: 0}
        """Bytes by tier of committed blocks, also of those about to be freed."""
        self.capacity_bytes = {MEMORY: 0, DISK: 0}
        """Capacity by tier, from the latest listing."""
        self.incarnation = -1
        """The store's incarnation in the latest listing; -1 before the first one."""
        self.epoch = 0
        """Epoch of the latest full report."""
        self.last_generation = 0
        self.needs_listing = True
        self.space_lock = asyncio.Lock()
        self.log = get_logger()

    async def run(self) -> None:
        """Maintain the store until cancelled."""
        while True:
            try:
                await self.maintain_store()
            except LaburnumpitchError as error:
                self.log.info(
                    "store_failed", target=self.target.target_id, code=error.code
                )
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def request_listing(self) -> None:
        """Request a listing and a full report, because shards may have new owners."""
        self.needs_listing = True

    async def maintain_store(self) -> None:
        """List the store if requested, and free blocks whose reservations expired."""
        if self.needs_listing or self.incarnation < 0:
            self.needs_listing = False
            await self.apply_listing(await self.store.get_listing())
        cutoff_s = self.get_time_s() - RESERVATION_TTL_S
        for reservation in list(self.reservations.values()):
            if reservation.reserved_at_s < cutoff_s:
                await self.abandon(reservation.piece, reservation.generation)

    async def apply_listing(self, listing: StoreListing) -> None:
        """Replace the known blocks by the store's own listing and report them all."""
        previous_blocks = self.blocks
        self.incarnation = listing.incarnation
        self.capacity_bytes = {
            MEMORY: listing.memory_bytes,
            DISK: listing.disk_bytes,
        }
        self.used_bytes = {MEMORY: 0, DISK: 0}
        self.blocks = OrderedDict()
        listed_blocks = {block.piece: block for block in listing.blocks}
        # Blocks that were known before keep their least-recently-used order.
        for piece in [*previous_blocks, *listed_blocks]:
            block = listed_blocks.pop(piece, None)
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
        """Report every block under a new epoch, which invalidates earlier reports."""
        self.epoch = self.epoch_generator.next_epoch()
        groups = group_by_shard_owner(self.directory, list(self.blocks))
        for node in self.directory.view.get_active_nodes():
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
        """Return the directory's entry for a block."""
        return PieceBlock(
            self.target.target_id,
            self.target.address,
            block.generation,
            block.length,
            block.checksum,
            block.tier == DISK,
        )

    def report_block(self, piece: str, block: StoredBlock | None) -> None:
        """Report a block to its shard's owner, or its removal if `block` is None."""
        owner = self.directory.find_shard_owner(get_shard(piece))
        if owner is None:
            return
        removed = [piece] if block is None else []
        blocks = {} if block is None else {piece: self.make_piece_block(block)}
        self.directory.send_report(
            owner,
            TargetReport(self.target.target_id, self.epoch, [], removed, blocks),
        )

    async def reserve(self, call: ReserveBlock) -> ReserveAnswer:
        """Reserve space for a piece; return the generation under which to write it."""
        if call.piece in self.blocks:
            return ReserveAnswer(STORED)
        is_busy = (
            len(self.reservations) >= MAX_CONCURRENT_WRITES
            or call.piece in self.reservations
        )
        if is_busy or self.incarnation < 0:
            return ReserveAnswer(BUSY)
        # Wall time makes generations larger than those of earlier owners of the store.
        self.last_generation = max(self.last_generation + 1, time.time_ns() // 1000)
        self.reservations[call.piece] = Reservation(
            call.piece, self.last_generation, call.length, self.get_time_s()
        )
        generation = self.last_generation
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
        """Commit a written block and enter it in the directory.

        Returns:
            Whether the block is committed; if not, it is freed.
        """
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
        """Release the reservation of an incomplete block and free the block."""
        reservation = self.reservations.get(piece)
        if reservation is not None and reservation.generation == generation:
            del self.reservations[piece]
            await self.store.free(piece, generation)

    def record_reads(self, pieces: list[str]) -> None:
        """Mark the blocks of pieces as most recently used."""
        for piece in pieces:
            if piece in self.blocks:
                self.blocks.move_to_end(piece)

    def has_space(self, tier: str, length: int) -> bool:
        """Whether a tier has space for a number of bytes.

        In memory, the reservations must already include these bytes.
        """
        reserved = 0
        if tier == MEMORY:
            reserved = (
                sum(reservation.length for reservation in self.reservations.values())
                - length
            )
        needed = self.used_bytes[tier] + reserved + length
        return needed <= self.capacity_bytes[tier] * MAX_FILL_SHARE

    async def make_space(self, length: int) -> bool:
        """Move or free least recently used blocks until a block fits in memory.

        Returns:
            Whether the block fits.
        """
        while not self.has_space(MEMORY, length):
            block = self.find_least_recently_used(MEMORY)
            if block is None:
                return False
            await self.demote(block)
        return True

    async def demote(self, block: StoredBlock) -> None:
        """Move a block from memory to disk, or free it if it cannot be moved.

        The disk's least recently used blocks are freed to make space.
        """
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
        """Remove a block from the directory, then free it after `FREE_GRACE_S`."""
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
