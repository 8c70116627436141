"""Names of pieces, the directory, cache event collectors and store owners."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import testtools

from laburnumpitch.context.cache_event_collector import (
    CacheEventCollector,
    EpochGenerator,
)
from laburnumpitch.context.local_directory import (
    LocalDirectory,
    PieceBlock,
    TargetReport,
)
from laburnumpitch.context.pieces import ContextNamespace, get_shard, split_prompt
from laburnumpitch.context.sharded_directory import ShardedDirectory
from laburnumpitch.context.store_messages import (
    BUSY,
    RESERVED,
    STORED,
    FinishBlock,
    ReserveBlock,
)
from laburnumpitch.context.store_owner import StoreOwner
from laburnumpitch.membership.cluster_view import ClusterView
from laburnumpitch.membership.messages import (
    NodeInfo,
    TargetInfo,
    ViewCursor,
    ViewDelta,
)
from laburnumpitch.metrics import Metrics
from laburnumpitch.targets.protocols import (
    CacheEvent,
    CacheEvents,
    CacheSnapshot,
    StoredBlock,
    StoreListing,
)

NAMESPACE = ContextNamespace("org", "model", "v1", "")
PROMPT = "x" * 64 * 4 * 12 + "rest"
"""Twelve pieces of 64 tokens, at four characters a token, and an incomplete piece."""

PIECE_NAMES = split_prompt(PROMPT, NAMESPACE, 64).names
BLOCK_BYTES = 100
CHECKSUM = "c0" * 32


class PieceNameTest(testtools.TestCase):
    """Inputs on which a piece's name depends."""

    scenarios = [
        ("organisation", {"other": replace(NAMESPACE, organisation="foreign")}),
        ("model", {"other": replace(NAMESPACE, model="other")}),
        ("weight_version", {"other": replace(NAMESPACE, weight_version="v2")}),
        ("adapter", {"other": replace(NAMESPACE, adapter="a")}),
        ("moved_boundary", {"other": ContextNamespace("orgm", "odel", "v1", "")}),
    ]

    def test_no_name_is_shared(self) -> None:
        """Another namespace gives other names to the same text."""
        names = split_prompt(PROMPT, self.other, 64).names
        self.assertEqual(set(), set(names) & set(PIECE_NAMES))

    def test_history(self) -> None:
        """A name depends on all text up to the piece's end, and on none after it."""
        changed = split_prompt("y" + PROMPT[1:], NAMESPACE, 64).names
        self.assertEqual(set(), set(changed) & set(PIECE_NAMES))
        longer = split_prompt(PROMPT + "z" * 1000, NAMESPACE, 64).names
        self.assertEqual(PIECE_NAMES, longer[: len(PIECE_NAMES)])

    def test_shards(self) -> None:
        """The first piece has a shard of its own, then eight share one."""
        shards = [get_shard(name) for name in PIECE_NAMES]
        self.assertEqual([1, 8, 3], [shards.count(s) for s in dict.fromkeys(shards)])


class DirectoryTest(testtools.TestCase):
    """Entries and epochs of one node's shards."""

    def test_epochs(self) -> None:
        """A new epoch invalidates earlier entries; late reports are ignored."""
        directory = LocalDirectory()
        directory.apply_report(TargetReport("e1", 5, PIECE_NAMES[:2], [], {}))
        directory.apply_report(TargetReport("e2", 1, PIECE_NAMES[:1], [], {}))
        self.assertEqual(["e1", "e2"], directory.look_up(PIECE_NAMES[0]).engines)
        directory.apply_report(TargetReport("e1", 6, PIECE_NAMES[1:2], [], {}))
        self.assertEqual(["e2"], directory.look_up(PIECE_NAMES[0]).engines)
        directory.apply_report(TargetReport("e1", 5, PIECE_NAMES[:1], [], {}))
        self.assertEqual(["e2"], directory.look_up(PIECE_NAMES[0]).engines)
        directory.apply_report(TargetReport("e2", 1, [], PIECE_NAMES[:1], {}))
        self.assertEqual([], directory.look_up(PIECE_NAMES[0]).engines)
        directory.invalidate_target("e1")
        self.assertEqual([], directory.look_up(PIECE_NAMES[1]).engines)

    def test_bound(self) -> None:
        """The directory evicts the oldest entries above its limit."""
        directory = LocalDirectory(max_entries=4)
        directory.apply_report(TargetReport("e1", 1, PIECE_NAMES, [], {}))
        self.assertEqual(4, len(directory))
        self.assertEqual(["e1"], directory.look_up(PIECE_NAMES[-1]).engines)

    def test_blocks(self) -> None:
        """A lookup returns a block until it is removed."""
        directory = LocalDirectory()
        block = PieceBlock("s1", "a", 1, BLOCK_BYTES, CHECKSUM, False)
        directory.apply_report(TargetReport("s1", 1, [], [], {PIECE_NAMES[0]: block}))
        self.assertEqual([block], directory.look_up(PIECE_NAMES[0]).blocks)
        directory.apply_report(TargetReport("s1", 1, [], PIECE_NAMES[:1], {}))
        self.assertEqual([], directory.look_up(PIECE_NAMES[0]).blocks)


class FakeEngine:
    """An engine whose snapshot the test sets."""

    def __init__(self) -> None:
        self.snapshot = CacheSnapshot(1, 0, [])

    async def get_snapshot(self) -> CacheSnapshot:
        """Return the snapshot."""
        return self.snapshot


class FakeStore:
    """A store whose listing the test sets, and whether its blocks are complete."""

    def __init__(self) -> None:
        self.is_complete = True
        self.calls: list[tuple[str, str]] = []
        self.listing = StoreListing(1, 4 * BLOCK_BYTES, 2 * BLOCK_BYTES, [])

    async def commit(self, piece, generation, length, checksum) -> bool:
        """Record the call, and return whether the block is complete."""
        self.calls.append(("commit", piece))
        return self.is_complete

    async def free(self, piece, generation) -> None:
        """Record the call."""
        self.calls.append(("free", piece))

    async def move(self, piece, generation, tier) -> bool:
        """Record the call, and return that the block was moved."""
        self.calls.append(("move", piece))
        return True

    async def get_listing(self) -> StoreListing:
        """Return all blocks."""
        return self.listing


def make_directory() -> ShardedDirectory:
    """Return a directory of which this node owns every shard."""
    view = ClusterView()
    view.nodes.set("n1", NodeInfo("n1", 1, "", "", ""))
    return ShardedDirectory("n1", LocalDirectory(), view, None, Metrics())


class ShardOwnerTest(testtools.TestCase):
    """Owners of shards when nodes join and leave."""

    def test_owner_follows_nodes(self) -> None:
        """Only a dead owner's shards get other owners."""
        view = ClusterView()
        directory = ShardedDirectory("n1", LocalDirectory(), view, None, Metrics())
        nodes = [NodeInfo(f"n{i}", 1, "", "", "") for i in range(5)]
        view.apply_delta(make_delta(1, nodes, []))
        keys = [f"{number:08x}" for number in range(200)]
        before = {key: directory.find_shard_owner(key).node_id for key in keys}
        view.apply_delta(make_delta(2, [], ["n3"]))
        after = {key: directory.find_shard_owner(key).node_id for key in keys}
        self.assertNotIn("n3", after.values())
        moved = [key for key in keys if before[key] != after[key]]
        self.assertEqual([key for key in keys if before[key] == "n3"], moved)
        self.assertGreater(len(moved), 10)


def make_delta(version: int, nodes: list[NodeInfo], removed: list[str]) -> ViewDelta:
    """Return a delta of the view that changes only the nodes."""
    cursor = ViewCursor(1, version, 0)
    return ViewDelta(cursor, False, True, nodes, [], [], b"", [], removed, [])


class CacheEventCollectorTest(testtools.TestCase):
    """Events of an engine, with gaps and restarts."""

    def test_gap(self) -> None:
        """Events in order are reported; a gap or a restart requests a snapshot."""
        directory = make_directory()
        engine = FakeEngine()
        target = TargetInfo("e1", "engine", "p", "", "", 1)
        added: list[str] = []
        collector = CacheEventCollector(
            target, engine, directory, EpochGenerator(), added.extend
        )
        asyncio.run(collector.report_snapshot())
        events = [
            CacheEvent(1, True, PIECE_NAMES[0]),
            CacheEvent(2, True, PIECE_NAMES[1]),
        ]
        collector.handle_events(CacheEvents(1, 1, events))
        self.assertEqual(
            ["e1"], directory.local_directory.look_up(PIECE_NAMES[1]).engines
        )
        self.assertEqual(PIECE_NAMES[:2], added)
        collector.handle_events(
            CacheEvents(1, 1, [CacheEvent(4, False, PIECE_NAMES[0])])
        )
        self.assertTrue(collector.needs_snapshot)
        engine.snapshot = CacheSnapshot(1, 4, PIECE_NAMES[1:2])
        asyncio.run(collector.report_snapshot())
        self.assertEqual([], directory.local_directory.look_up(PIECE_NAMES[0]).engines)
        self.assertEqual(
            ["e1"], directory.local_directory.look_up(PIECE_NAMES[1]).engines
        )
        collector.handle_events(CacheEvents(2, 1, []))
        self.assertTrue(collector.needs_snapshot)


class StoreOwnerTest(testtools.TestCase):
    """Blocks from reservation to freeing."""

    def setUp(self) -> None:
        """Prepare the owner of an empty store."""
        super().setUp()
        self.directory = make_directory()
        self.store = FakeStore()
        target = TargetInfo("s1", "store", "p", "addr", "", 1)
        self.store_owner = StoreOwner(
            target, self.store, self.directory, EpochGenerator()
        )
        asyncio.run(self.store_owner.maintain_store())

    async def write(self, piece: str) -> bool:
        """Reserve and finish a block."""
        answer = await self.store_owner.reserve(ReserveBlock("s1", piece, BLOCK_BYTES))
        self.assertEqual(RESERVED, answer.status)
        self.assertEqual([], self.look_up_blocks(piece))
        finish = FinishBlock("s1", piece, answer.generation, BLOCK_BYTES, CHECKSUM)
        return await self.store_owner.finish(finish)

    def look_up_blocks(self, piece: str) -> list[PieceBlock]:
        """Look a piece up in the directory, and return its blocks."""
        return self.directory.local_directory.look_up(piece).blocks

    def test_listed_only_when_committed(self) -> None:
        """A block that the store does not commit is freed and never listed."""
        self.assertTrue(asyncio.run(self.write(PIECE_NAMES[0])))
        self.assertEqual(1, len(self.look_up_blocks(PIECE_NAMES[0])))
        self.store.is_complete = False
        self.assertFalse(asyncio.run(self.write(PIECE_NAMES[1])))
        self.assertEqual([], self.look_up_blocks(PIECE_NAMES[1]))
        self.assertIn(("free", PIECE_NAMES[1]), self.store.calls)

    def test_unlisted_before_freed(self) -> None:
        """A block is removed from the directory before the store frees it."""
        asyncio.run(self.write(PIECE_NAMES[0]))
        listed_at_free = []

        async def free(piece, generation) -> None:
            listed_at_free.append(len(self.look_up_blocks(piece)))

        self.store.free = free
        asyncio.run(self.store_owner.free(self.store_owner.blocks[PIECE_NAMES[0]]))
        self.assertEqual([0], listed_at_free)

    def test_tiers(self) -> None:
        """Least recently used blocks move from full memory to disk, then are freed."""

        async def fill() -> None:
            for piece in PIECE_NAMES[:3]:
                await self.write(piece)
            self.store_owner.record_reads(PIECE_NAMES[:1])
            for piece in PIECE_NAMES[3:5]:
                await self.write(piece)

        asyncio.run(fill())
        tiers = {piece: block.tier for piece, block in self.store_owner.blocks.items()}
        self.assertEqual("memory", tiers[PIECE_NAMES[0]])
        self.assertEqual("disk", tiers[PIECE_NAMES[2]])
        self.assertNotIn(PIECE_NAMES[1], tiers)
        self.assertEqual([], self.look_up_blocks(PIECE_NAMES[1]))
        self.assertLessEqual(self.store_owner.used_bytes["memory"], 4 * BLOCK_BYTES)
        self.assertLessEqual(self.store_owner.used_bytes["disk"], 2 * BLOCK_BYTES)

    def test_busy_and_stored(self) -> None:
        """Concurrent writes are limited; a stored piece is not written again."""

        async def reserve(piece: str) -> str:
            return (await self.store_owner.reserve(ReserveBlock("s1", piece, 1))).status

        async def scenario() -> list[str]:
            await self.write(PIECE_NAMES[0])
            return [await reserve(piece) for piece in PIECE_NAMES[:4]]

        self.assertEqual([STORED, RESERVED, RESERVED, BUSY], asyncio.run(scenario()))

    def test_restart(self) -> None:
        """A listing replaces the known blocks; blocks never committed are freed."""
        asyncio.run(self.write(PIECE_NAMES[0]))
        listed = StoredBlock(PIECE_NAMES[1], 7, BLOCK_BYTES, CHECKSUM, "disk")
        writing = StoredBlock(PIECE_NAMES[2], 8, BLOCK_BYTES, "", "writing")
        self.store.listing = StoreListing(2, 400, 400, [listed, writing])
        self.store_owner.request_listing()
        asyncio.run(self.store_owner.maintain_store())
        self.assertEqual([], self.look_up_blocks(PIECE_NAMES[0]))
        self.assertTrue(self.look_up_blocks(PIECE_NAMES[1])[0].is_on_disk)
        self.assertEqual([], self.look_up_blocks(PIECE_NAMES[2]))
        self.assertIn(("free", PIECE_NAMES[2]), self.store.calls)
