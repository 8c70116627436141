"""Disks that are full for a moment, one after another."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

import testtools

from laburnumpitch.control.log_store import (
    IDENTITY_FILE,
    LOG_FILE,
    LogStore,
    create_identity,
    replace_file_durably,
)
from laburnumpitch.control.raft_messages import (
    COMMAND,
    Entry,
    HardState,
    Member,
    PendingWrites,
)
from laburnumpitch.control.replica import Replica
from laburnumpitch.errors import ControlUnavailableError
from laburnumpitch.fleet.fleet_state import FleetState
from laburnumpitch.fleet.messages import StoreWeights
from laburnumpitch.fleet.replica_manager import ReplicaManager
from laburnumpitch.metrics import Metrics

from .fleet_case import Fleet, FleetCase, make_configuration, wait_until

REPLICA = "a#c"
TEST_TIMEOUT_S = 10.0


WRITE_S = 0.1
"""Time that a write takes until the disk refuses it."""


def refuse_write(*args: object) -> None:
    """Fail as a full disk does."""
    time.sleep(WRITE_S)
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


async def wait_writing(replica: Replica) -> None:
    """Wait until the replica writes all that was proposed to it."""
    while not replica.inputs.empty():
        await asyncio.sleep(0)
    await asyncio.sleep(0)


class FullDiskReplicaTest(testtools.TestCase):
    """A replica whose disk is full while calls wait for it."""

    def run_replica(self, scenario) -> None:
        """Run a scenario with the replica of a cluster of one, which leads."""

        async def run() -> None:
            folder = Path(tempfile.mkdtemp())
            create_identity(folder, "c", REPLICA, [Member(REPLICA, "a", "", True)])
            replica = Replica(LogStore(folder), {}, {}, Metrics(), FleetState)
            await replica.start()
            while not replica.is_leader:
                await asyncio.sleep(0.01)
            try:
                await scenario(replica)
            finally:
                await replica.close()

        asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))

    def start_calls(self, replica: Replica) -> list[asyncio.Task]:
        """Start a call of each kind."""
        return [
            asyncio.create_task(replica.propose(StoreWeights("m", 1))),
            asyncio.create_task(
                replica.propose_membership_change(list(replica.core.members))
            ),
        ]

    async def assert_fail(self, calls: list[asyncio.Task]) -> None:
        """Check that all calls fail, each with an unknown outcome."""
        results = await asyncio.gather(*calls, return_exceptions=True)
        kinds = {type(result) for result in results} - {bool}
        self.assertEqual({ControlUnavailableError}, kinds)

    def test_calls_in_the_queue(self) -> None:
        """Calls that stand behind the failed batch fail, and later ones too."""

        async def scenario(replica: Replica) -> None:
            replica.store.write = refuse_write
            first = self.start_calls(replica)
            await asyncio.sleep(0)
            await wait_writing(replica)
            behind = self.start_calls(replica)
            await self.assert_fail(first)
            await self.assert_fail(behind)
            self.assertTrue(replica.is_failed)
            await self.assert_fail(self.start_calls(replica))

        self.run_replica(scenario)

    def test_calls_as_it_closes(self) -> None:
        """Calls that no batch has taken fail as the replica closes."""

        async def scenario(replica: Replica) -> None:
            calls = self.start_calls(replica)
            await asyncio.sleep(0)
            await replica.close()
            await self.assert_fail(calls)
            await self.assert_fail(self.start_calls(replica))

        self.run_replica(scenario)


class RefusedWriteTest(testtools.TestCase):
    """What a refused write leaves on the disk."""

    def test_nothing_is_written_later(self) -> None:
        """A record that was refused is not in the log once there is room again."""
        folder = Path(tempfile.mkdtemp())
        create_identity(folder, "c", REPLICA, [])
        store = LogStore(folder)
        store.load()
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.setrlimit(resource.RLIMIT_FSIZE, (0, limits[1]))
        try:
            entry = Entry(1, 1, COMMAND, b"refused")
            writes = PendingWrites(HardState(1, REPLICA), [entry], None)
            self.assertRaises(OSError, store.write, writes)
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        store.close()
        self.assertEqual(0, (folder / LOG_FILE).stat().st_size)

    def test_no_part_of_a_file_stays(self) -> None:
        """The former file stays, and nothing beside it takes room."""
        folder = Path(tempfile.mkdtemp())
        path = folder / "snapshot"
        replace_file_durably(path, b"former")
        self.patch(os, "fsync", refuse_write)
        self.assertRaises(OSError, replace_file_durably, path, b"new")
        self.assertEqual([path], list(folder.iterdir()))
        self.assertEqual(b"former", path.read_bytes())


class InterruptedWipeTest(testtools.TestCase):
    """Files of a corrupt replica whose deletion is interrupted.

    Guards against a voter that comes back under its identity without its log.
    """

    scenarios = [(f"after_{count}", {"count": count}) for count in range(4)]

    def test_no_identity_without_log(self) -> None:
        """The identity is gone if the log is."""
        folder = Path(tempfile.mkdtemp())
        create_identity(folder, "c", REPLICA, [])
        for name in (LOG_FILE, "snapshot", "a_file"):
            (folder / name).write_bytes(b"corrupt")
        allowed = self.count
        unlink = Path.unlink

        def unlink_some(path: Path, *args, **options) -> None:
            nonlocal allowed
            allowed -= 1
            if allowed < 0:
                refuse_write()
            unlink(path, *args, **options)

        self.patch(Path, "unlink", unlink_some)
        self.patch(Path, "iterdir", lambda path: iter(sorted(path.glob("*"))[::-1]))
        bootstrap = SimpleNamespace(forget_first_start=lambda: None)
        manager = SimpleNamespace(folder=folder, bootstrap=bootstrap)
        self.assertRaises(OSError, ReplicaManager.wipe, manager)
        left = {path.name for path in folder.glob("*")}
        self.assertFalse(IDENTITY_FILE in left and LOG_FILE not in left, left)


class FullDisksTest(FleetCase):
    """Each leader's disk is full as it is about to remove a lost voter.

    Guards against a fleet that refuses each change for good, while all nodes run: the
    task that opens a failed replica again waited for an answer of that replica.
    """

    def test_changes_are_acknowledged_afterwards(self) -> None:
        """Each replica is opened again, and the next change is acknowledged."""

        async def scenario(fleet: Fleet) -> None:
            filled: set[str] = set()
            tasks: list[asyncio.Task] = []

            async def propose_with_full_disk(replica: Replica) -> None:
                name = replica.core.replica_id
                if replica.is_leader and name not in filled:
                    filled.add(name)
                    replica.store.write = refuse_write
                    proposal = replica.propose(StoreWeights("m", 1))
                    tasks.append(asyncio.create_task(proposal))
                    await asyncio.sleep(0)
                    await wait_writing(replica)
                    await replica.propose_membership_change(list(replica.core.members))

            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await wait_until(lambda: fleet.list_versions() == {5})
            managers = [node.replica_manager for node in fleet.nodes.values()]
            for manager in managers:
                manager.voter_set.remove_lost_voter = propose_with_full_disk
            await wait_until(lambda: len(filled) > 1)
            for manager in managers:
                del manager.voter_set.remove_lost_voter
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await fleet.put_configuration(fleet.hosts[0], make_configuration(6))
            await wait_until(lambda: fleet.list_versions() == {6})
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run_fleet(3, 3, scenario)
