"""A simulated network of Raft cores without I/O, for checks at the message level."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from laburnumpitch.control.raft import LEADER, RaftCore
from laburnumpitch.control.raft_log import RaftLog
from laburnumpitch.control.raft_messages import (
    Entry,
    HardState,
    Member,
    RaftMessage,
    SnapshotMeta,
    SnapshotRequest,
)


@dataclass
class Disk:
    """Simulated durable state of a replica."""

    hard_state: HardState
    meta: SnapshotMeta
    entries: list[Entry] = field(default_factory=list)


class RaftNetwork:
    """Replicas, the messages in flight between them, and the safety properties.

    Args:
        voter_count: Voters at the start.
        seed: Seed of the election timeouts.
    """

    def __init__(self, voter_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.messages: list[RaftMessage] = []
        self.committed_entries: dict[int, tuple[int, bytes]] = {}
        """Term and data by index, as first committed on any replica."""
        self.leaders_by_term: dict[int, str] = {}
        """Leader by term, to check election safety."""
        self.proposal_count = 0
        self.disks: dict[str, Disk] = {}
        self.cores: dict[str, RaftCore] = {}
        self.checked_index: dict[str, int] = {}
        """Last index by replica whose committed entry was compared."""
        members = [Member(f"r{i}", f"r{i}", "", True) for i in range(voter_count)]
        for member in members:
            meta = SnapshotMeta(0, 0, members)
            self.disks[member.replica_id] = Disk(HardState(0, ""), meta)
            self.restart(member.replica_id)

    def restart(self, name: str) -> None:
        """Start a replica from its disk; unsynced state is lost."""
        disk = self.disks[name]
        log = RaftLog(disk.meta, list(disk.entries))
        source = random.Random(self.random.random())
        self.cores[name] = RaftCore(name, disk.hard_state, log, source, self.now_s)
        self.checked_index[name] = disk.meta.index

    def advance_time(self, name: str, duration_s: float) -> None:
        """Advance the shared clock and tick one replica."""
        self.now_s += duration_s
        self.cores[name].tick(self.now_s)
        self.persist_and_send(name)

    def deliver(self, position: int, keep: bool) -> None:
        """Deliver a message; a kept one can be delivered again.

        Positions wrap around.
        """
        message = self.messages[position % len(self.messages)]
        if not keep:
            self.messages.remove(message)
        core = self.cores.get(message.receiver)
        if core is not None:
            core.on_message(message, self.now_s)
            self.persist_and_send(message.receiver)

    def propose(self, name: str) -> None:
        """Propose a command at a replica."""
        self.proposal_count += 1
        if self.cores[name].propose(str(self.proposal_count).encode()) is not None:
            self.cores[name].broadcast_append(self.now_s)
            self.persist_and_send(name)

    def compact(self, name: str) -> None:
        """Compact a replica's log up to its commit index."""
        core = self.cores[name]
        members = core.log.snapshot_meta.members
        for entry in core.log.entries[
            : core.commit_index - core.log.snapshot_meta.index
        ]:
            members = entry.members or members
        term = core.log.get_term(core.commit_index)
        meta = SnapshotMeta(core.commit_index, term, members)
        core.log.compact(meta)
        self.disks[name].meta = meta
        self.disks[name].entries = list(core.log.entries)

    def crash_before_sync(self, name: str) -> None:
        """Crash a replica between a tick and the sync of its writes."""
        self.cores[name].tick(self.now_s)
        self.restart(name)

    def change_member(self, name: str, is_voter: bool) -> None:
        """Propose at every leader to add, demote or remove a replica.

        A replica that is not a member is added as a voter or a learner. A member is
        removed if `is_voter` is set; otherwise it becomes a learner.
        """
        for leader, core in list(self.cores.items()):
            if core.role == LEADER:
                new_members = [m for m in core.members if m.replica_id != name]
                if len(new_members) == len(core.members) or not is_voter:
                    new_members.append(Member(name, name, "", is_voter))
                core.propose_membership_change(new_members)
                core.broadcast_append(self.now_s)
                self.persist_and_send(leader)

    def lose_disk(self, name: str, new_name: str) -> None:
        """Replace a replica by an empty one with a new identifier."""
        del self.cores[name]
        del self.disks[name]
        del self.checked_index[name]
        self.disks[new_name] = Disk(HardState(0, ""), SnapshotMeta(0, 0, []))
        self.restart(new_name)

    def persist_and_send(self, name: str) -> None:
        """Sync a replica's writes, then send its messages, then check."""
        core = self.cores[name]
        disk = self.disks[name]
        writes = core.pop_pending_writes()
        if writes.hard_state is not None:
            disk.hard_state = writes.hard_state
        if writes.snapshot is not None:
            disk.meta = core.log.snapshot_meta
            disk.entries = list(core.log.entries)
            disk.hard_state = HardState(core.term, core.voted_for)
        elif writes.entries:
            first = writes.entries[0].index
            disk.entries = disk.entries[: first - disk.meta.index - 1]
            disk.entries += writes.entries
        core.on_persisted()
        for message in core.pop_outgoing_messages():
            if isinstance(message, SnapshotRequest):
                message = replace(message, meta=core.log.snapshot_meta)
            self.messages.append(message)
        self.check_invariants(name)

    def check_invariants(self, name: str) -> None:
        """Check the safety properties after a replica's step.

        Raises:
            AssertionError: If one of them is violated.
        """
        core = self.cores[name]
        if core.role == LEADER:
            leader = self.leaders_by_term.setdefault(core.term, name)
            assert leader == name, f"two leaders in term {core.term}"
        self.check_committed_entries(name, core)
        self.check_leases()

    def check_committed_entries(self, name: str, core: RaftCore) -> None:
        """Check that no index is committed with two different entries."""
        start = max(self.checked_index[name], core.log.snapshot_meta.index)
        for index in range(start + 1, core.commit_index + 1):
            entry = core.log.get_entries_from(index, 1)[0]
            content = (entry.term, entry.data)
            first = self.committed_entries.setdefault(index, content)
            assert first == content, f"{name}: index {index} was {first}, is {content}"
        self.checked_index[name] = max(self.checked_index[name], core.commit_index)

    def check_leases(self) -> None:
        """Check that at most one replica has the leader lease.

        Its log must contain all committed entries.
        """
        holders = [
            name
            for name, core in self.cores.items()
            if core.has_leader_lease(self.now_s)
        ]
        assert len(holders) <= 1, f"leases of {holders}"
        if holders:
            last_committed_index = max(self.committed_entries, default=0)
            commit_index = self.cores[holders[0]].commit_index
            last_index = self.cores[holders[0]].log.last_index
            assert (
                last_index >= last_committed_index
            ), f"{holders}: {commit_index} < {last_committed_index}"
