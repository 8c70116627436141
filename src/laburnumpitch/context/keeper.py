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
from .collector import MAX_REPORT_PIECES, EpochSource, group_by_owner
from .directory import PieceBlock, TargetReport
from .pieces import get_shard
from .shards import Shards
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

MAX_WRITES = 2
"""Blocks written to one store at once; reads have the rest of its link."""

RESERVATION_TTL_S = 60.0
"""Time after which a block that was not finished is freed."""

FILL_SHARE = 0.95
"""Part of a tier that is filled."""

FREE_GRACE_S = 0.2
"""Time between the directory's forgetting of a block and its freeing."""

CHECK_INTERVAL_S = 0.5
"""Interval of looking whether a listing or a freeing is due."""


@dataclass(frozen=True)
class Reservation:
    """A block that is being written."""

    piece: str
    generation: int
    length: int
    since_s: float


class StoreKeeper:
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
        shards: Shards,
        epochs: EpochSource,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.target = target
        self.store = store
        self.shards = shards
        self.epochs = epochs
        self.get_time_s = get_time_s
        self.blocks: OrderedDict[str, StoredBlock] = OrderedDict()
        """Committed blocks by piece, least recently used first."""
        self.writes: dict[str, Reservation] = {}
        self.used = {MEMORY: 0, DISK: 0}
        self.capacity = {MEMORY: 0, DISK: 0}
        self.incarnation = -1
        self.epoch = 0
        self.generation = 0
        self.needs_listing = True
        self.room = asyncio.Lock()
        self.log = get_logger()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self.check_store()
            except LaburnumpitchError as error:
                self.log.info(
                    "store_failed", target=self.target.target_id, code=error.code
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def request_listing(self) -> None:
        """Report everything again, since shards have other owners now."""
        self.needs_listing = True

    async def check_store(self) -> None:
        """List the store if that is due, and free what was never finished."""
        if self.needs_listing or self.incarnation < 0:
            self.needs_listing = False
            await self.take_listing(await self.store.get_listing())
        horizon_s = self.get_time_s() - RESERVATION_TTL_S
        for write in list(self.writes.values()):
            if write.since_s < horizon_s:
                await self.abandon(write.piece, write.generation)

    async def take_listing(self, listing: StoreListing) -> None:
        """Take a store's own account of its committed blocks."""
        known = self.blocks
        self.incarnation = listing.incarnation
        self.capacity = {
            MEMORY: listing.memory_bytes,
            DISK: listing.disk_bytes,
        }
        self.used = {MEMORY: 0, DISK: 0}
        self.blocks = OrderedDict()
        listed = {block.piece: block for block in listing.blocks}
        # Blocks that this keeper knows keep their order of use.
        for piece in [*known, *listed]:
            block = listed.pop(piece, None)
            if block is None:
                continue
            if block.tier == WRITING:
                if piece not in self.writes:
                    await self.store.free(piece, block.generation)
                continue
            self.blocks[piece] = block
            self.used[block.tier] += block.length
        self.report_all()

    def report_all(self) -> None:
        """Report every block under a new epoch."""
        self.epoch = self.epochs.next()
        groups = group_by_owner(self.shards, list(self.blocks))
        for node in self.shards.view.get_active_nodes():
            _, pieces = groups.get(node.node_id, (node, []))
            for start in range(0, max(1, len(pieces)), MAX_REPORT_PIECES):
                part = pieces[start : start + MAX_REPORT_PIECES]
                blocks = {piece: self.describe(self.blocks[piece]) for piece in part}
                self.shards.send_report(
                    node,
                    TargetReport(self.target.target_id, self.epoch, [], [], blocks),
                )

    def describe(self, block: StoredBlock) -> PieceBlock:
        """Return a block as the directory names it."""
        return PieceBlock(
            self.target.target_id,
            self.target.address,
            block.generation,
            block.length,
            block.checksum,
            block.tier == DISK,
        )

    def report(self, piece: str, block: StoredBlock | None) -> None:
        """Report one block, or that it is gone, to its shard's owner."""
        owner = self.shards.find_owner(get_shard(piece))
        if owner is None:
            return
        removed = [piece] if block is None else []
        blocks = {} if block is None else {piece: self.describe(block)}
        self.shards.send_report(
            owner,
            TargetReport(self.target.target_id, self.epoch, [], removed, blocks),
        )

    # Writing.

    async def reserve(self, call: ReserveBlock) -> ReserveAnswer:
        """Make room for a piece and return the generation to write under."""
        if call.piece in self.blocks:
            return ReserveAnswer(STORED)
        is_busy = len(self.writes) >= MAX_WRITES or call.piece in self.writes
        if is_busy or self.incarnation < 0:
            return ReserveAnswer(BUSY)
        # Wall time keeps generations apart from those of earlier keepers.
        self.generation = max(self.generation + 1, time.time_ns() // 1000)
        self.writes[call.piece] = Reservation(
            call.piece, self.generation, call.length, self.get_time_s()
        )
        generation = self.generation
        async with self.room:
            try:
                has_room = await self.make_room(call.length)
            except LaburnumpitchError:
                has_room = False
        if not has_room:
            self.writes.pop(call.piece, None)
            return ReserveAnswer(BUSY)
        return ReserveAnswer(RESERVED, generation)

    async def finish(self, call: FinishBlock) -> bool:
        """Commit a written block and name it to readers."""
        write = self.writes.get(call.piece)
        if write is None or write.generation != call.generation:
            return False
        is_whole = await self.store.commit(
            call.piece, call.generation, call.length, call.checksum
        )
        if not is_whole:
            await self.abandon(call.piece, call.generation)
            return False
        self.writes.pop(call.piece, None)
        block = StoredBlock(
            call.piece, call.generation, call.length, call.checksum, MEMORY
        )
        self.blocks[call.piece] = block
        self.used[MEMORY] += call.length
        self.report(call.piece, block)
        return True

    async def abandon(self, piece: str, generation: int) -> None:
        """Free a block that was not written whole."""
        write = self.writes.get(piece)
        if write is not None and write.generation == generation:
            del self.writes[piece]
            await self.store.free(piece, generation)

    # Room.

    def note_used(self, pieces: list[str]) -> None:
        """Note that pieces were read."""
        for piece in pieces:
            if piece in self.blocks:
                self.blocks.move_to_end(piece)

    def has_room(self, tier: str, length: int) -> bool:
        """Whether a tier takes a number of bytes."""
        reserved = 0
        if tier == MEMORY:
            reserved = sum(write.length for write in self.writes.values()) - length
        needed = self.used[tier] + reserved + length
        return needed <= self.capacity[tier] * FILL_SHARE

    async def make_room(self, length: int) -> bool:
        """Move or free least recently used blocks until a block fits in memory."""
        while not self.has_room(MEMORY, length):
            block = self.find_oldest(MEMORY)
            if block is None:
                return False
            await self.demote(block)
        return True

    async def demote(self, block: StoredBlock) -> None:
        """Move a block to disk, or free it if the disk takes no more."""
        while not self.has_room(DISK, block.length):
            oldest = self.find_oldest(DISK)
            if oldest is None:
                await self.free(block)
                return
            await self.free(oldest)
        if await self.store.move(block.piece, block.generation, DISK):
            moved = replace(block, tier=DISK)
            self.used[MEMORY] -= block.length
            self.used[DISK] += block.length
            self.blocks[block.piece] = moved
            self.report(block.piece, moved)
        else:
            await self.free(block)

    async def free(self, block: StoredBlock) -> None:
        """Let the directory forget a block, then free it."""
        self.blocks.pop(block.piece, None)
        self.report(block.piece, None)
        await asyncio.sleep(FREE_GRACE_S)
        await self.store.free(block.piece, block.generation)
        self.used[block.tier] -= block.length

    def find_oldest(self, tier: str) -> StoredBlock | None:
        """Return the least recently used block of a tier."""
        return next(
            (block for block in self.blocks.values() if block.tier == tier), None
        )
