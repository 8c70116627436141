"""A network of Raft cores without I/O, for checks at the message level."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

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
    """What a replica has synced."""

    hard_state: HardState
    meta: SnapshotMeta
    entries: list[Entry] = field(default_factory=list)


class RaftNetwork:
    """Replicas, the messages between them, and what must hold of them.

    Args:
        count: Voters at the start.
        seed: Seed of the election timeouts.
    """

    def __init__(self, voter_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.messages: list[RaftMessage] = []
        self.committed_entries: dict[int, tuple[int, bytes]] = {}
        """Term and data by index, as first committed anywhere."""
        self.leaders_by_term: dict[int, str] = {}
        """Leader by term."""
        self.proposal_count = 0
        self.disks: dict[str, Disk] = {}
        self.cores: dict[str, RaftCore] = {}
        self.checked_index: dict[str, int] = {}
        members = [Member(f"r{i}", f"r{i}", "", True) for i in range(voter_count)]
        for member in members:
            meta = SnapshotMeta(0, 0, members)
            self.disks[member.replica_id] = Disk(HardState(0, ""), meta)
            self.restart(member.replica_id)

    # Steps.

    def restart(self, name: str) -> None:
        """Start a replica from its disk; all it had not synced is lost."""
        disk = self.disks[name]
        log = RaftLog(disk.meta, list(disk.entries))
        source = random.Random(self.random.random())
        self.cores[name] = RaftCore(name, disk.hard_state, log, source, self.now_s)
        self.checked_index[name] = disk.meta.index

    def advance_time(self, name: str, duration_s: float) -> None:
        """Let time pass, and one replica look at it."""
        self.now_s += duration_s
        self.cores[name].tick(self.now_s)
        self.persist_and_send(name)

    def deliver(self, position: int, keep: bool) -> None:
        """Deliver a message; a kept one will come again."""
        item = self.messages[position % len(self.messages)]
        if not keep:
            self.messages.remove(item)
        core = self.cores.get(item.receiver)
        if core is not None:
            core.on_message(item, self.now_s)
            self.persist_and_send(item.receiver)

    def propose(self, name: str) -> None:
        """Propose a command at a replica."""
        self.proposal_count += 1
        if self.cores[name].propose(str(self.proposal_count).encode()) is not None:
            self.cores[name].broadcast_append(self.now_s)
            self.persist_and_send(name)

    def compact(self, name: str) -> None:
        """Replace a replica's committed entries by a snapshot."""
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
        """Crash a replica after it took a step and before it synced it."""
        self.cores[name].tick(self.now_s)
        self.restart(name)

    def change_member(self, name: str, is_voter: bool) -> None:
        """Let whoever leads add, promote or remove a replica."""
        for leader, core in list(self.cores.items()):
            if core.role == LEADER:
                new_members = [item for item in core.members if item.replica_id != name]
                if len(new_members) == len(core.members) or not is_voter:
                    new_members.append(Member(name, name, "", is_voter))
                core.propose_membership_change(new_members)
                core.broadcast_append(self.now_s)
                self.persist_and_send(leader)

    def lose_disk(self, name: str, new_name: str) -> None:
        """Replace a replica by one without data under a new id."""
        del self.cores[name]
        del self.disks[name]
        del self.checked_index[name]
        self.disks[new_name] = Disk(HardState(0, ""), SnapshotMeta(0, 0, []))
        self.restart(new_name)

    def persist_and_send(self, name: str) -> None:
        """Sync a replica's writes, then send its messages."""
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
        for item in core.pop_outgoing_messages():
            if isinstance(item, SnapshotRequest):
                item = replace(item, meta=core.log.snapshot_meta)
            self.messages.append(item)
        self.check_invariants(name)

    # Properties.

    def check_invariants(self, name: str) -> None:
        """Check what must always hold, after a replica's step.

        Raises:
            AssertionError: If it does not.
        """
        core = self.cores[name]
        if core.role == LEADER:
            known = self.leaders_by_term.setdefault(core.term, name)
            assert known == name, f"two leaders in term {core.term}"
        self.check_committed_entries(name, core)
        self.check_leases()

    def check_committed_entries(self, name: str, core: RaftCore) -> None:
        """Check that no index is committed with two contents."""
        start = max(self.checked_index[name], core.log.snapshot_meta.index)
        for index in range(start + 1, core.commit_index + 1):
            entry = core.log.get_entries_from(index, 1)[0]
            content = (entry.term, entry.data)
            known = self.committed_entries.setdefault(index, content)
            assert known == content, f"{name}: index {index} was {known}, is {content}"
        self.checked_index[name] = max(self.checked_index[name], core.commit_index)

    def check_leases(self) -> None:
        """Check that at most one replica has a leader lease at a time."""
        holders = [
            n for n, core in self.cores.items() if core.has_leader_lease(self.now_s)
        ]
        assert len(holders) <= 1, f"leases of {holders}"
        if holders:
            newest = max(self.committed_entries, default=0)
            # A leader with a lease must have seen everything committed.
            commit_index = self.cores[holders[0]].commit_index
            last_index = self.cores[holders[0]].log.last_index
            assert last_index >= newest, f"{holders}: {commit_index} < {newest}"
