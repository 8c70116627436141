"""Raft scenarios that the random model test seldom reaches."""

from __future__ import annotations

import random

import testtools

from laburnumpitch.control.raft import (
    ELECTION_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    LEADER,
    LEADER_LEASE_S,
    RaftCore,
)
from laburnumpitch.control.raft_log import RaftLog
from laburnumpitch.control.raft_messages import (
    COMMAND,
    AppendAnswer,
    Entry,
    HardState,
    Member,
    SnapshotMeta,
)

from .raft_model import RaftNetwork


def deliver_between(network: RaftNetwork, names: set[str]) -> None:
    """Deliver all messages between the named replicas; drop the others."""
    while network.messages:
        message = network.messages.pop(0)
        if {message.sender, message.receiver} <= names:
            network.cores[message.receiver].on_message(message, network.now_s)
            network.persist_and_send(message.receiver)


def elect(network: RaftNetwork, name: str) -> None:
    """Run the network until a replica is the leader."""
    names = set(network.cores)
    while network.cores[name].role != LEADER:
        network.advance_time(name, 0.1)
        deliver_between(network, names)


class LeaseTest(testtools.TestCase):
    """Leader lease and check-quorum."""

    def test_restarted_replica_waits(self) -> None:
        """A restarted replica does not grant a vote while a leader's lease may hold.

        The replica does not persist when it last had contact with the leader. If
        it voted at once after the restart, a second leader could be elected while
        the first one still has its lease.
        """
        network = RaftNetwork(3, seed=1)
        elect(network, "r0")
        # r2 is partitioned from the leader; r1 extends the lease, then restarts.
        while network.cores["r2"].election_deadline_s > network.now_s + 0.02:
            network.advance_time("r0", 0.02)
            deliver_between(network, {"r0", "r1"})
        self.assertTrue(network.cores["r0"].has_leader_lease(network.now_s))
        network.restart("r1")
        deadline_s = network.now_s + LEADER_LEASE_S - 0.2
        while network.now_s < deadline_s:
            network.advance_time("r2", 0.02)
            deliver_between(network, {"r1", "r2"})
        self.assertTrue(network.cores["r0"].has_leader_lease(network.now_s))
        self.assertNotEqual(LEADER, network.cores["r2"].role)
        while network.cores["r2"].role != LEADER:
            network.advance_time("r2", 0.1)
            deliver_between(network, {"r1", "r2"})
        self.assertFalse(network.cores["r0"].has_leader_lease(network.now_s))

    def test_leader_without_quorum_steps_down(self) -> None:
        """A leader without contact with a quorum steps down (check-quorum)."""
        network = RaftNetwork(3, seed=2)
        elect(network, "r0")
        while network.cores["r0"].role == LEADER:
            network.advance_time("r0", 0.1)
            network.messages.clear()
            self.assertLess(network.now_s, 10 * ELECTION_TIMEOUT_S)


class CommitTest(testtools.TestCase):
    """Commit rule and membership changes."""

    def make_leader(self) -> RaftCore:
        """Return a leader of term 4 with an entry of term 2 that no other has."""
        members = [Member(f"r{i}", f"r{i}", "", True) for i in range(3)]
        entries = [Entry(1, 1, COMMAND), Entry(2, 2, COMMAND)]
        log = RaftLog(SnapshotMeta(0, 0, members), entries)
        core = RaftCore("r0", HardState(3, ""), log, random.Random(1), 0.0)
        core.start_election(1.0)
        core.become_leader(1.0)
        core.on_persisted()
        return core

    def test_own_term_only(self) -> None:
        """An older term's entry is not committed by a quorum that stores it.

        Another leader may still replace the entry. Source: Ongaro, figure 3.7.
        """
        core = self.make_leader()
        core.on_message(AppendAnswer(4, "r1", "r0", True, 2, 1.0), 1.0)
        self.assertEqual(0, core.commit_index)
        core.on_message(AppendAnswer(4, "r1", "r0", True, 3, 1.0), 1.0)
        self.assertEqual(3, core.commit_index)

    def test_one_voter_at_a_time(self) -> None:
        """A change of two voters, or a second change before a commit, is refused."""
        core = self.make_leader()
        core.on_message(AppendAnswer(4, "r1", "r0", True, 3, 1.0), 1.0)
        new = [Member(f"n{i}", f"n{i}", "", True) for i in range(2)]
        self.assertFalse(core.propose_membership_change([*core.members, *new]))
        self.assertTrue(core.propose_membership_change([*core.members, new[0]]))
        self.assertFalse(core.propose_membership_change(core.members[:3]))


class CommittedMembersTest(testtools.TestCase):
    """Members that other nodes may act on."""

    def test_uncommitted_removal(self) -> None:
        """A removal counts once it is committed; another leader may undo it before."""
        network = RaftNetwork(3, seed=1)
        elect(network, "r0")
        deliver_between(network, set(network.cores))
        core = network.cores["r0"]
        core.propose_membership_change([m for m in core.members if m.name != "r2"])
        self.assertEqual({"r0", "r1"}, core.voters)
        self.assertEqual(
            ["r0", "r1", "r2"], [m.replica_id for m in core.committed_members]
        )
        for _ in range(2):
            network.advance_time("r0", 1.1 * HEARTBEAT_INTERVAL_S)
            deliver_between(network, {"r0", "r1"})
        self.assertEqual(["r0", "r1"], [m.replica_id for m in core.committed_members])
