"""Runs one replica: feeds the Raft core, syncs its writes, applies commits.

One task owns the core. Everything reaches it through a queue, and all that
waits in the queue is handled before one sync, which makes the group commit.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any, Protocol

from .._tasks import cancel_and_wait
from ..errors import ControlUnavailableError, NotLeaderError
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.codec import decode, encode
from ..transport.rpc import RpcPool
from .log_store import LogStore, Snapshot, get_replica_name
from .raft import LEADER, RaftCore
from .raft_messages import (
    COMMAND,
    Entry,
    Member,
    RaftMessage,
    SnapshotMeta,
    SnapshotRequest,
)

TICK_INTERVAL_S = 0.05
"""Interval at which the core looks at the time."""

SNAPSHOT_THRESHOLD_ENTRIES = 20_000
"""Entries after which the log is replaced by a snapshot."""

SNAPSHOT_THRESHOLD_BYTES = 16 * 1024 * 1024
"""Size of the log file after which it is replaced by a snapshot."""

TRAILING_ENTRIES = 2000
"""Entries kept in memory behind a snapshot, for replicas that are a little late."""

MAX_BATCH_INPUTS = 1000
"""Inputs handled before one sync."""


class ReplicatedStateMachine(Protocol):
    """The replicated state."""

    state: Any

    def apply(self, command: Any) -> Any:
        """Take one committed command and return its result."""

    def dump(self) -> bytes:
        """Return a snapshot of the state."""


@dataclass(frozen=True)
class Proposal:
    """A command on its way into the log."""

    command: Any
    future: asyncio.Future[Any]
    proposed_at_s: float


@dataclass(frozen=True)
class MembershipProposal:
    """A change of the replicas on its way into the log."""

    members: list[Member]
    future: asyncio.Future[bool]


class Replica:
    """One replica of the replicated log and its state machine.

    Args:
        store: Synced files of this replica.
        peers: Connections to the other replicas.
        addresses: Address of a replica by name; goes before the one in the log.
        metrics: Where measurements go.
        make_machine: Makes the state machine from a snapshot.
        get_time_s: Monotonic time.
        snapshot_entries: Entries after which the log becomes a snapshot.
        get_address: Returns the address of a replica by name, where names tell;
            a replica that joins knows no members to look it up among.
    """

    def __init__(
        self,
        store: LogStore,
        peers: RpcPool,
        configured_addresses: dict[str, str],
        metrics: Metrics,
        make_state_machine: Callable[[bytes], ReplicatedStateMachine],
        get_time_s: Callable[[], float] = time.monotonic,
        snapshot_threshold_entries: int = SNAPSHOT_THRESHOLD_ENTRIES,
        get_address_by_name: Callable[[str], str] | None = None,
    ) -> None:
        self.store = store
        self.peers = peers
        self.configured_addresses = configured_addresses
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.snapshot_threshold_entries = snapshot_threshold_entries
        self.make_state_machine = make_state_machine
        self.get_address_by_name = get_address_by_name
        self.inputs: asyncio.Queue[Any] = asyncio.Queue()
        self.pending_proposals: dict[int, tuple[int, Proposal]] = {}
        """Term and proposal by log index."""
        self.applied_index = 0
        self.is_failed = False
        self.log = get_logger()
        self.executor = ThreadPoolExecutor(1, "log-sync")
        self.tasks: list[asyncio.Task[None]] = []
        self.change_callbacks: list[Callable[[], None]] = []
        """Called after a batch was applied or the role changed."""

    async def start(self) -> None:
        """Read the synced state and begin to take part.

        Raises:
            LogCorruptError: If the synced state is damaged.
        """
        identity = self.store.load_identity()
        stored = self.store.load()
        self.snapshot = stored.snapshot
        self.state_machine = self.make_state_machine(stored.snapshot.data)
        self.applied_index = stored.snapshot.meta.index
        self.core = RaftCore(
            identity.replica_id,
            stored.hard_state,
            stored.log,
            random.Random(),
            self.get_time_s(),
        )
        self.log.info(
            "replica_started",
            replica=identity.replica_id,
            term=self.core.term,
            log_index=stored.log.last_index,
        )
        self.tasks = [
            asyncio.create_task(self.run()),
            asyncio.create_task(self.run_ticks()),
        ]

    async def close(self) -> None:
        """Stop taking part; what was synced stays."""
        await cancel_and_wait(*self.tasks)
        self.fail_pending_proposals(ControlUnavailableError("the replica is closing"))
        # A write that hangs with its disk must not hold up the rest.
        self.executor.shutdown(wait=False)
        self.store.close()

    # Inputs.

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and no other leader can exist now."""
        is_own_term_applied = self.applied_index >= self.core.term_start_index
        return (
            not self.is_failed
            and is_own_term_applied
            and self.core.has_leader_lease(self.get_time_s())
        )

    def require_leader(self) -> None:
        """Check that current state may be read here.

        Raises:
            NotLeaderError: With the name of the leader, if one is known.
        """
        if not self.is_leader:
            raise NotLeaderError(self.get_leader_name())

    def get_leader_name(self) -> str:
        """Return the name of the leader that this replica follows, or ''."""
        return get_replica_name(self.core.leader_id)

    async def propose(self, command: Any) -> Any:
        """Commit a command and return its result.

        Raises:
            NotLeaderError: If this replica does not lead; nothing was proposed.
            ControlUnavailableError: If the outcome is unknown; the command may
                be sent again, since commands are idempotent.
        """
        future = asyncio.get_running_loop().create_future()
        stamped = replace(command, time_s=time.time())
        self.inputs.put_nowait(Proposal(stamped, future, self.get_time_s()))
        return await future

    async def propose_membership_change(self, members: list[Member]) -> bool:
        """Change the replicas; return whether the change was taken."""
        future = asyncio.get_running_loop().create_future()
        self.inputs.put_nowait(MembershipProposal(members, future))
        return await future

    async def on_raft_message(self, message: RaftMessage) -> None:
        """Take a message from another replica."""
        self.inputs.put_nowait(message)

    async def run_ticks(self) -> None:
        """Wake the core at a fixed interval."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.inputs.put_nowait(None)

    # The task that owns the core.

    async def run(self) -> None:
        """Handle inputs in batches until cancelled or a write fails."""
        try:
            while True:
                batch = [await self.inputs.get()]
                while not self.inputs.empty() and len(batch) < MAX_BATCH_INPUTS:
                    batch.append(self.inputs.get_nowait())
                await self.handle_batch(batch)
        except Exception:
            # A replica that cannot write its log must not go on.
            self.is_failed = True
            self.log.exception("replica_failed")
            self.fail_pending_proposals(ControlUnavailableError("the replica failed"))

    async def handle_batch(self, batch: list[Any]) -> None:
        """Step the core, sync, send and apply."""
        role = self.core.role
        for item in batch:
            self.handle_input(item)
        now_s = self.get_time_s()
        self.core.tick(now_s)
        if self.core.role == LEADER and self.core.first_unpersisted_index <= (
            self.core.log.last_index
        ):
            self.core.broadcast_append(now_s)
        await self.persist()
        self.send_messages()
        is_applied = self.apply_committed()
        if self.core.role != role:
            self.on_role_change()
        if is_applied or self.core.role != role:
            for callback in self.change_callbacks:
                callback()
        await self.compact_if_due()

    def handle_input(self, item: Any) -> None:
        """Feed one input to the core."""
        if item is None:
            return
        if isinstance(item, Proposal):
            log_position = self.core.propose(encode(item.command))
            if log_position is None:
                error = NotLeaderError(self.get_leader_name())
                fail_future(item.future, error)
            else:
                self.pending_proposals[log_position[0]] = (log_position[1], item)
        elif isinstance(item, MembershipProposal):
            is_accepted = self.core.propose_membership_change(item.members)
            if not item.future.done():
                item.future.set_result(is_accepted)
        else:
            self.core.on_message(item, self.get_time_s())

    async def persist(self) -> None:
        """Sync what must survive before any message tells of it."""
        writes = self.core.pop_pending_writes()
        if writes.is_empty:
            return
        loop = asyncio.get_running_loop()
        if writes.snapshot is not None:
            await self.install_snapshot(writes.snapshot)
        else:
            await loop.run_in_executor(self.executor, self.store.write, writes)
        self.core.on_persisted()

    def send_messages(self) -> None:
        """Send the core's messages to the other replicas."""
        for message in self.core.pop_outgoing_messages():
            address = self.find_address(message.receiver)
            if not address:
                continue
            if isinstance(message, SnapshotRequest):
                message = replace(
                    message, meta=self.snapshot.meta, data=self.snapshot.data
                )
            self.peers.get(address).notify(message)

    def find_address(self, replica_id: str) -> str:
        """Return a replica's address; settings go before the log."""
        name = get_replica_name(replica_id)
        if self.get_address_by_name is not None:
            return self.get_address_by_name(name)
        if name in self.configured_addresses:
            return self.configured_addresses[name]
        for member in self.core.members:
            if member.replica_id == replica_id:
                return member.address
        return ""

    def apply_committed(self) -> bool:
        """Apply entries that are committed and answer their proposals."""
        start = self.applied_index
        while self.applied_index < self.core.commit_index:
            entry = self.core.log.get_entries_from(self.applied_index + 1, 1)[0]
            self.applied_index = entry.index
            self.apply_entry(entry)
        return self.applied_index > start

    def apply_entry(self, entry: Entry) -> None:
        """Apply one entry."""
        result = None
        if entry.kind == COMMAND:
            result = self.state_machine.apply(decode(entry.data))
        term, proposal = self.pending_proposals.pop(entry.index, (0, None))
        if proposal is None or proposal.future.done():
            return
        if term == entry.term:
            self.metrics.time(
                "control.commit", self.get_time_s() - proposal.proposed_at_s
            )
            proposal.future.set_result(result)
        else:
            fail_future(proposal.future, ControlUnavailableError("replaced"))

    def on_role_change(self) -> None:
        """Tell of a new role; a lost leader cannot answer its proposals."""
        self.log.info("replica_role", role=self.core.role, term=self.core.term)
        self.metrics.set_gauge("control.leader", int(self.core.role == LEADER))
        if self.core.role != LEADER:
            self.fail_pending_proposals(ControlUnavailableError("leadership was lost"))

    def fail_pending_proposals(self, error: ControlUnavailableError) -> None:
        """Fail every proposal whose outcome is not known here."""
        for _, proposal in self.pending_proposals.values():
            fail_future(proposal.future, error)
        self.pending_proposals.clear()

    # Snapshots.

    async def compact_if_due(self) -> None:
        """Replace a long log by a snapshot of the applied state."""
        log = self.core.log
        entries_since_snapshot = self.applied_index - self.snapshot.meta.index
        if entries_since_snapshot < self.snapshot_threshold_entries and (
            self.store.log_size_bytes < SNAPSHOT_THRESHOLD_BYTES
            or not entries_since_snapshot
        ):
            return
        meta = self.make_snapshot_meta(self.applied_index)
        snapshot = Snapshot(meta, self.state_machine.dump())
        log.compact(
            self.make_snapshot_meta(
                max(log.snapshot_meta.index, meta.index - TRAILING_ENTRIES)
            )
        )
        await self.save_snapshot(snapshot)
        self.log.info("snapshot_saved", index=meta.index, bytes=len(snapshot.data))

    def make_snapshot_meta(self, index: int) -> SnapshotMeta:
        """Return what a snapshot at an index of the log would stand for."""
        log = self.core.log
        members = log.snapshot_meta.members
        for entry in log.entries[: index - log.snapshot_meta.index]:
            members = entry.members or members
        term = log.get_term(index)
        return SnapshotMeta(index, term if term is not None else 0, members)

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot and the log after it."""
        self.snapshot = snapshot
        await asyncio.get_running_loop().run_in_executor(
            self.executor,
            self.store.save_snapshot,
            snapshot,
            self.core.persisted_hard_state,
            self.core.log.get_entries_after(snapshot.meta.index),
        )

    async def install_snapshot(self, request: SnapshotRequest) -> None:
        """Replace the state by the leader's snapshot."""
        snapshot = Snapshot(request.meta, request.data)
        self.state_machine = self.make_state_machine(request.data)
        self.applied_index = request.meta.index
        await self.save_snapshot(snapshot)
        self.log.info("snapshot_installed", index=request.meta.index)


def fail_future(future: asyncio.Future[Any], error: Exception) -> None:
    """Fail a future that nobody may be waiting for any more."""
    if not future.done():
        future.set_exception(error)
        future.exception()
