"""Runs one replica: drives the Raft core, syncs its writes, applies committed entries.

One task owns the core. All inputs reach it through a queue. It handles a batch of
queued inputs before one sync (group commit).
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from msgspec.structs import replace

from .._tasks import cancel_and_wait
from ..errors import CodecError, ControlUnavailableError, NotLeaderError
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.codec import decode, encode
from ..transport.rpc import RpcPool
from .log_store import LogStore, Snapshot, get_replica_name
from .proposals import MembershipProposal, Proposal, fail_future, fail_proposal
from .raft import LEADER, RaftCore
from .raft_messages import (
    COMMAND,
    MEMBERSHIP,
    Entry,
    Member,
    RaftMessage,
    SnapshotRequest,
)
from .replicated_state_machine import ReplicatedStateMachine

TICK_INTERVAL_S = 0.05
"""Interval of the ticks that run the core's timers."""

SNAPSHOT_THRESHOLD_ENTRIES = 20_000
"""Applied entries since the last snapshot after which a new one is taken."""

SNAPSHOT_THRESHOLD_BYTES = 16 * 1024 * 1024
"""Size of the log file after which a new snapshot is taken."""

TRAILING_ENTRIES = 2000
"""Entries before a snapshot that stay in memory.

A replica that lags by less than these needs no snapshot.
"""

MAX_BATCH_INPUTS = 1000
"""Maximum number of inputs handled before one sync."""


class Replica:
    """One replica of the log and its state machine.

    Args:
        store: Durable storage of this replica.
        peers: RPC connections to the other replicas.
        configured_addresses: Address of a replica by name; overrides the address
            in the log.
        metrics: Registry of the process's metrics.
        make_state_machine: Creates the state machine from a snapshot's data.
        get_time_s: Returns monotonic time.
        snapshot_threshold_entries: Applied entries after which to take a snapshot.
        get_address_by_name: Derives the address from a replica's name; overrides
            all others. A joining replica needs it, since its log has no members.
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
        self.batch: list[Any] = []
        """Inputs that are being handled."""
        self.pending_proposals: dict[int, tuple[int, Proposal]] = {}
        """Term and proposal by log index, until the entry is applied."""
        self.applied_index = 0
        self.is_failed = False
        """Whether the log could not be written; nothing is handled any more."""
        self.is_closed = False
        self.log = get_logger()
        self.executor = ThreadPoolExecutor(1, "log-sync")
        self.tasks: list[asyncio.Task[None]] = []
        self.change_callbacks: list[Callable[[], None]] = []
        """Called after entries were applied or the role changed."""

    async def start(self) -> None:
        """Load the durable state and start the replica's tasks.

        Raises:
            LogCorruptError: If the durable state is corrupt.
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
        """Stop the replica's tasks and close its storage."""
        self.is_closed = True
        await cancel_and_wait(*self.tasks)
        self.fail_all_proposals(ControlUnavailableError("replica is shutting down"))
        # A write blocked by a failed disk must not block the shutdown.
        self.executor.shutdown(wait=False)
        self.store.close()

    @property
    def is_leader(self) -> bool:
        """Whether this replica has the leader lease and applied its term's no-op."""
        is_own_term_applied = self.applied_index >= self.core.term_start_index
        return (
            not self.is_failed
            and is_own_term_applied
            and self.core.has_leader_lease(self.get_time_s())
        )

    def require_leader(self) -> None:
        """Check that linearizable reads are allowed here.

        Raises:
            NotLeaderError: With the name of the leader, if it is known.
        """
        if not self.is_leader:
            raise NotLeaderError(self.get_leader_name())

    def get_leader_name(self) -> str:
        """Return the name of the current leader, or '' if it is unknown."""
        return get_replica_name(self.core.leader_id)

    async def propose(self, command: Any) -> Any:
        """Commit a command and return its result.

        Raises:
            CodecError: If the command cannot be encoded; nothing was proposed.
            NotLeaderError: If this replica is not the leader; nothing was proposed.
            ControlUnavailableError: If the outcome is unknown; the command may
                be retried, since commands are idempotent.
        """
        future = asyncio.get_running_loop().create_future()
        stamped = replace(command, time_s=time.time())
        self.queue_input(Proposal(stamped, future, self.get_time_s()))
        return await future

    async def propose_membership_change(self, members: list[Member]) -> bool:
        """Propose a membership change; return whether it was appended to the log.

        Raises:
            ControlUnavailableError: If the outcome is unknown.
        """
        future = asyncio.get_running_loop().create_future()
        self.queue_input(MembershipProposal(members, future))
        return await future

    def queue_input(self, item: Any) -> None:
        """Queue an input; nothing takes it from a replica that has ended."""
        if not (self.is_failed or self.is_closed):
            self.inputs.put_nowait(item)
        else:
            fail_proposal(item, ControlUnavailableError("replica has ended"))

    async def on_raft_message(self, message: RaftMessage) -> None:
        """Queue a message from another replica."""
        self.queue_input(message)

    async def run_ticks(self) -> None:
        """Queue a tick at a fixed interval."""
        while not self.is_failed:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.queue_input(None)

    async def run(self) -> None:
        """Handle inputs in batches until cancelled or failed."""
        try:
            while True:
                self.batch = [await self.inputs.get()]
                while not self.inputs.empty() and len(self.batch) < MAX_BATCH_INPUTS:
                    self.batch.append(self.inputs.get_nowait())
                await self.handle_batch(self.batch)
        except Exception:
            # A replica that cannot write its log must stop participating.
            self.is_failed = True
            self.log.exception("replica_failed")
            self.fail_all_proposals(ControlUnavailableError("replica failed"))

    async def handle_batch(self, batch: list[Any]) -> None:
        """Step the core, sync its writes, send its messages, apply commits."""
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
        """Pass one input to the core; a tick (None) only wakes the batch loop."""
        if item is None:
            return
        if isinstance(item, Proposal):
            self.handle_proposal(item)
        elif isinstance(item, MembershipProposal):
            item.complete(self.core.propose_membership_change(item.members))
        else:
            self.core.on_message(item, self.get_time_s())

    def handle_proposal(self, proposal: Proposal) -> None:
        """Append a command to the log, or fail its proposal."""
        try:
            log_position = self.core.propose(encode(proposal.command))
        except CodecError as error:
            # The command is at fault, not the replica.
            fail_future(proposal.future, error)
            return
        if log_position is None:
            fail_future(proposal.future, NotLeaderError(self.get_leader_name()))
        else:
            self.pending_proposals[log_position[0]] = (log_position[1], proposal)

    async def persist(self) -> None:
        """Sync the core's writes, which must be durable before messages are sent."""
        writes = self.core.pop_pending_writes()
        if writes.is_empty:
            return
        loop = asyncio.get_running_loop()
        if writes.snapshot is not None:
            await self.install_snapshot(writes.snapshot)
        else:
            await loop.run_in_executor(self.executor, self.store.write, writes)
        self.core.on_persisted()
        if any(entry.kind == MEMBERSHIP for entry in writes.entries):
            self.log_members()

    def log_members(self) -> None:
        """Log the members of the newest membership entry."""
        members = self.core.members
        self.log.info(
            "members_changed",
            replica=self.core.replica_id,
            index=self.core.log.last_index,
            voters=[member.replica_id for member in members if member.is_voter],
            learners=[member.replica_id for member in members if not member.is_voter],
        )

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
        """Return a replica's address, or ''; settings override the log."""
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
        """Apply newly committed entries; return whether there were any."""
        start = self.applied_index
        while self.applied_index < self.core.commit_index:
            entry = self.core.log.get_entries_from(self.applied_index + 1, 1)[0]
            self.applied_index = entry.index
            self.apply_entry(entry)
        return self.applied_index > start

    def apply_entry(self, entry: Entry) -> None:
        """Apply one committed entry and complete its proposal."""
        result = None
        if entry.kind == COMMAND:
            result = self.state_machine.apply(decode(entry.data))
        term, proposal = self.pending_proposals.pop(entry.index, (0, None))
        if proposal is None or proposal.future.done():
            return
        if term == entry.term:
            self.metrics.record_duration(
                "control.commit", self.get_time_s() - proposal.proposed_at_s
            )
            proposal.future.set_result(result)
        else:
            fail_future(proposal.future, ControlUnavailableError("replaced"))

    def on_role_change(self) -> None:
        """Report the new role; fail pending proposals if leadership was lost."""
        self.log.info("replica_role", role=self.core.role, term=self.core.term)
        self.metrics.set_gauge("control.leader", int(self.core.role == LEADER))
        if self.core.role != LEADER:
            self.fail_pending_proposals(ControlUnavailableError("leadership was lost"))

    def fail_pending_proposals(self, error: ControlUnavailableError) -> None:
        """Fail all pending proposals; their outcome is unknown."""
        for _, proposal in self.pending_proposals.values():
            fail_future(proposal.future, error)
        self.pending_proposals.clear()

    def fail_all_proposals(self, error: ControlUnavailableError) -> None:
        """Fail all proposals, those that were not handled yet too."""
        self.fail_pending_proposals(error)
        unhandled, self.batch = self.batch, []
        while not self.inputs.empty():
            unhandled.append(self.inputs.get_nowait())
        for item in unhandled:
            fail_proposal(item, error)

    async def compact_if_due(self) -> None:
        """Take a snapshot and compact the log if it has grown past a threshold."""
        log = self.core.log
        entries_since_snapshot = self.applied_index - self.snapshot.meta.index
        if entries_since_snapshot < self.snapshot_threshold_entries and (
            self.store.log_size_bytes < SNAPSHOT_THRESHOLD_BYTES
            or not entries_since_snapshot
        ):
            return
        meta = log.make_snapshot_meta(self.applied_index)
        snapshot = Snapshot(meta, self.state_machine.dump())
        log.compact(
            log.make_snapshot_meta(
                max(log.snapshot_meta.index, meta.index - TRAILING_ENTRIES)
            )
        )
        await self.save_snapshot(snapshot)
        self.log.info("snapshot_saved", index=meta.index, bytes=len(snapshot.data))

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Persist a snapshot and the log entries after it."""
        self.snapshot = snapshot
        await asyncio.get_running_loop().run_in_executor(
            self.executor,
            self.store.save_snapshot,
            snapshot,
            self.core.persisted_hard_state,
            self.core.log.get_entries_after(snapshot.meta.index),
        )

    async def install_snapshot(self, request: SnapshotRequest) -> None:
        """Replace the state machine by the leader's snapshot and persist that."""
        snapshot = Snapshot(request.meta, request.data)
        self.state_machine = self.make_state_machine(request.data)
        self.applied_index = request.meta.index
        await self.save_snapshot(snapshot)
        self.log.info("snapshot_installed", index=request.meta.index)
