"""Names of pieces, the directory, its collectors and the keepers of stores."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import testtools

from laburnumpitch.context.collector import EngineCollector, EpochSource
from laburnumpitch.context.directory import Directory, PieceBlock, TargetReport
from laburnumpitch.context.keeper import StoreKeeper
from laburnumpitch.context.pieces import ContextOwner, cut_prompt, get_shard
from laburnumpitch.context.shards import Shards
from laburnumpitch.context.store_messages import (
    BUSY,
    RESERVED,
    STORED,
    FinishBlock,
    ReserveBlock,
)
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

OWNER = ContextOwner("org", "model", "v1", "")
TEXT = "x" * 64 * 4 * 12 + "rest"
NAMES = cut_prompt(TEXT, OWNER, 64).names
LENGTH = 100
CHECKSUM = "c0" * 32


class PieceNameTest(testtools.TestCase):
    """What a piece's name depends on."""

    scenarios = [
        ("organisation", {"other": replace(OWNER, organisation="foreign")}),
        ("model", {"other": replace(OWNER, model="other")}),
        ("weight_version", {"other": replace(OWNER, weight_version="v2")}),
        ("adapter", {"other": replace(OWNER, adapter="a")}),
        ("moved_boundary", {"other": ContextOwner("orgm", "odel", "v1", "")}),
    ]

    def test_no_name_is_shared(self) -> None:
        """Another owner shares no name."""
        names = cut_prompt(TEXT, self.other, 64).names
        self.assertEqual(set(), set(names) & set(NAMES))

    def test_history(self) -> None:
        """A name depends on all text before the piece, and on none behind it."""
        changed = cut_prompt("y" + TEXT[1:], OWNER, 64).names
        self.assertEqual(set(), set(changed) & set(NAMES))
        longer = cut_prompt(TEXT + "z" * 1000, OWNER, 64).names
        self.assertEqual(NAMES, longer[: len(NAMES)])

    def test_shards(self) -> None:
        """The first piece has a shard of its own, then eight share one."""
        shards = [get_shard(name) for name in NAMES]
        self.assertEqual([1, 8, 3], [shards.count(s) for s in dict.fromkeys(shards)])


class DirectoryTest(testtools.TestCase):
    """Entries and epochs."""

    def test_epochs(self) -> None:
        """A new epoch makes earlier entries count no more; an old one is late."""
        directory = Directory()
        directory.take_report(TargetReport("e1", 5, NAMES[:2], [], {}))
        directory.take_report(TargetReport("e2", 1, NAMES[:1], [], {}))
        self.assertEqual(["e1", "e2"], directory.look_up(NAMES[0]).engines)
        directory.take_report(TargetReport("e1", 6, NAMES[1:2], [], {}))
        self.assertEqual(["e2"], directory.look_up(NAMES[0]).engines)
        directory.take_report(TargetReport("e1", 5, NAMES[:1], [], {}))
        self.assertEqual(["e2"], directory.look_up(NAMES[0]).engines)
        directory.take_report(TargetReport("e2", 1, [], NAMES[:1], {}))
        self.assertEqual([], directory.look_up(NAMES[0]).engines)
        directory.forget_target("e1")
        self.assertEqual([], directory.look_up(NAMES[1]).engines)

    def test_bound(self) -> None:
        """The directory forgets the oldest entries over its bound."""
        directory = Directory(max_entries=4)
        directory.take_report(TargetReport("e1", 1, NAMES, [], {}))
        self.assertEqual(4, len(directory))
        self.assertEqual(["e1"], directory.look_up(NAMES[-1]).engines)

    def test_blocks(self) -> None:
        """A block is offered until it is removed."""
        directory = Directory()
        block = PieceBlock("s1", "a", 1, LENGTH, CHECKSUM, False)
        directory.take_report(TargetReport("s1", 1, [], [], {NAMES[0]: block}))
        self.assertEqual([block], directory.look_up(NAMES[0]).blocks)
        directory.take_report(TargetReport("s1", 1, [], NAMES[:1], {}))
        self.assertEqual([], directory.look_up(NAMES[0]).blocks)


class FakeEngine:
    """An engine whose events and snapshot are set by the test."""

    def __init__(self) -> None:
        self.snapshot = CacheSnapshot(1, 0, [])

    async def get_snapshot(self) -> CacheSnapshot:
        """Return the snapshot."""
        return self.snapshot


class FakeStore:
    """A store that commits only what was written whole."""

    def __init__(self) -> None:
        self.whole = True
        self.calls: list[tuple[str, str]] = []
        self.listing = StoreListing(1, 4 * LENGTH, 2 * LENGTH, [])

    async def commit(self, piece, generation, length, checksum) -> bool:
        """Commit a block if it is whole."""
        self.calls.append(("commit", piece))
        return self.whole

    async def free(self, piece, generation) -> None:
        """Free a block."""
        self.calls.append(("free", piece))

    async def move(self, piece, generation, tier) -> bool:
        """Move a block."""
        self.calls.append(("move", piece))
        return True

    async def get_listing(self) -> StoreListing:
        """Return all blocks."""
        return self.listing


def make_shards() -> Shards:
    """Return a directory whose only node is this one."""
    view = ClusterView()
    view.nodes.set("n1", NodeInfo("n1", 1, "", "", ""))
    return Shards("n1", Directory(), view, None, Metrics())


class ShardOwnerTest(testtools.TestCase):
    """Owners of shards while nodes come and go."""

    def test_owner_follows_nodes(self) -> None:
        """A dead owner's shards go to the next node, and only those."""
        view = ClusterView()
        shards = Shards("n1", Directory(), view, None, Metrics())
        nodes = [NodeInfo(f"n{i}", 1, "", "", "") for i in range(5)]
        view.apply_delta(make_delta(1, nodes, []))
        keys = [f"{number:08x}" for number in range(200)]
        before = {key: shards.find_owner(key).node_id for key in keys}
        view.apply_delta(make_delta(2, [], ["n3"]))
        after = {key: shards.find_owner(key).node_id for key in keys}
        self.assertNotIn("n3", after.values())
        moved = [key for key in keys if before[key] != after[key]]
        self.assertEqual([key for key in keys if before[key] == "n3"], moved)
        self.assertGreater(len(moved), 10)


def make_delta(version: int, nodes: list[NodeInfo], removed: list[str]) -> ViewDelta:
    """Return a change of the nodes alone."""
    cursor = ViewCursor(1, version, 0)
    return ViewDelta(cursor, False, True, nodes, [], [], b"", [], removed, [])


class CollectorTest(testtools.TestCase):
    """Late and gapped events of an engine."""

    def test_gap(self) -> None:
        """Events in order are reported; a gap or a restart asks for a snapshot."""
        shards = make_shards()
        engine = FakeEngine()
        target = TargetInfo("e1", "engine", "p", "", "", 1)
        added: list[str] = []
        collector = EngineCollector(target, engine, shards, EpochSource(), added.extend)
        asyncio.run(collector.take_snapshot())
        events = [CacheEvent(1, True, NAMES[0]), CacheEvent(2, True, NAMES[1])]
        collector.take_events(CacheEvents(1, 1, events))
        self.assertEqual(["e1"], shards.directory.look_up(NAMES[1]).engines)
        self.assertEqual(NAMES[:2], added)
        collector.take_events(CacheEvents(1, 1, [CacheEvent(4, False, NAMES[0])]))
        self.assertTrue(collector.needs_snapshot)
        engine.snapshot = CacheSnapshot(1, 4, NAMES[1:2])
        asyncio.run(collector.take_snapshot())
        self.assertEqual([], shards.directory.look_up(NAMES[0]).engines)
        self.assertEqual(["e1"], shards.directory.look_up(NAMES[1]).engines)
        collector.take_events(CacheEvents(2, 1, []))
        self.assertTrue(collector.needs_snapshot)


class KeeperTest(testtools.TestCase):
    """Blocks from reservation to freeing."""

    def setUp(self) -> None:
        """Prepare a keeper of an empty store."""
        super().setUp()
        self.shards = make_shards()
        self.store = FakeStore()
        target = TargetInfo("s1", "store", "p", "addr", "", 1)
        self.keeper = StoreKeeper(target, self.store, self.shards, EpochSource())
        asyncio.run(self.keeper.check_store())

    async def write(self, piece: str) -> bool:
        """Reserve and finish a block."""
        answer = await self.keeper.reserve(ReserveBlock("s1", piece, LENGTH))
        self.assertEqual(RESERVED, answer.status)
        self.assertEqual([], self.find(piece))
        finish = FinishBlock("s1", piece, answer.generation, LENGTH, CHECKSUM)
        return await self.keeper.finish(finish)

    def find(self, piece: str) -> list[PieceBlock]:
        """Return the blocks that readers are told of."""
        return self.shards.directory.look_up(piece).blocks

    def test_named_only_when_committed(self) -> None:
        """A block that the store does not commit is freed and never named."""
        self.assertTrue(asyncio.run(self.write(NAMES[0])))
        self.assertEqual(1, len(self.find(NAMES[0])))
        self.store.whole = False
        self.assertFalse(asyncio.run(self.write(NAMES[1])))
        self.assertEqual([], self.find(NAMES[1]))
        self.assertIn(("free", NAMES[1]), self.store.calls)

    def test_forgotten_before_freed(self) -> None:
        """The directory forgets a block before the store frees it."""
        asyncio.run(self.write(NAMES[0]))
        named_at_free = []

        async def free(piece, generation) -> None:
            named_at_free.append(len(self.find(piece)))

        self.store.free = free
        asyncio.run(self.keeper.free(self.keeper.blocks[NAMES[0]]))
        self.assertEqual([0], named_at_free)

    def test_tiers(self) -> None:
        """A full memory moves the least recently used block to disk, then frees."""

        async def fill() -> None:
            for piece in NAMES[:3]:
                await self.write(piece)
            self.keeper.note_used(NAMES[:1])
            for piece in NAMES[3:5]:
                await self.write(piece)

        asyncio.run(fill())
        tiers = {piece: block.tier for piece, block in self.keeper.blocks.items()}
        self.assertEqual("memory", tiers[NAMES[0]])
        self.assertEqual("disk", tiers[NAMES[2]])
        self.assertNotIn(NAMES[1], tiers)
        self.assertEqual([], self.find(NAMES[1]))
        self.assertLessEqual(self.keeper.used["memory"], 4 * LENGTH)
        self.assertLessEqual(self.keeper.used["disk"], 2 * LENGTH)

    def test_busy_and_stored(self) -> None:
        """Few writes at once; a stored piece is not written again."""

        async def reserve(piece: str) -> str:
            return (await self.keeper.reserve(ReserveBlock("s1", piece, 1))).status

        async def scenario() -> list[str]:
            await self.write(NAMES[0])
            return [await reserve(piece) for piece in NAMES[:4]]

        self.assertEqual([STORED, RESERVED, RESERVED, BUSY], asyncio.run(scenario()))

    def test_restart(self) -> None:
        """A listing replaces what is known; blocks never finished are freed."""
        asyncio.run(self.write(NAMES[0]))
        listed = StoredBlock(NAMES[1], 7, LENGTH, CHECKSUM, "disk")
        writing = StoredBlock(NAMES[2], 8, LENGTH, "", "writing")
        self.store.listing = StoreListing(2, 400, 400, [listed, writing])
        self.keeper.request_listing()
        asyncio.run(self.keeper.check_store())
        self.assertEqual([], self.find(NAMES[0]))
        self.assertTrue(self.find(NAMES[1])[0].is_on_disk)
        self.assertEqual([], self.find(NAMES[2]))
        self.assertIn(("free", NAMES[2]), self.store.calls)
