"""Raft as a pure state machine: messages and ticks in, messages and writes out.

The driver persists `take_writes` before it sends `take_messages`, and then
reports the persisted index with `on_persisted`. Time comes in as an argument.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, with pre-vote
(9.6), check-quorum and leader lease (6.4), learners (4.2.1) and membership
change of one replica at a time (4.1).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from .raft_log import RaftLog
from .raft_messages import (
    COMMAND,
    MEMBERS,
    NOOP,
    AppendAnswer,
    AppendRequest,
    Entry,
    HardState,
    Member,
    RaftMessage,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
    Writes,
)

ELECTION_TIMEOUT_S = 0.5
"""Shortest silence after which a follower asks for votes."""

HEARTBEAT_INTERVAL_S = 0.1
"""Interval of the leader's messages to each replica."""

LEASE_S = 0.42
"""Leader lease after contact with a quorum; below the election timeout by more
than the clocks' drift."""

SNAPSHOT_RETRY_S = 0.5
"""Pause before a snapshot is sent again; short enough to stand for heartbeats."""

MAX_APPEND_ENTRIES = 512
"""Entries in one append message."""

FOLLOWER = "follower"
PRE_CANDIDATE = "pre_candidate"
CANDIDATE = "candidate"
LEADER = "leader"


@dataclass
class Progress:
    """What the leader knows of another replica."""

    next_index: int
    match_index: int = 0
    acknowledged_s: float = float("-inf")
    """Leader's time at which it sent the newest message answered."""
    sent_s: float = float("-inf")
    """When the newest message was sent."""
    snapshot_due_s: float = float("-inf")
    """Before this time no further snapshot is sent."""


class RaftCore:
    """One replica's part of the protocol.

    Args:
        replica_id: This replica's identifier, new for each data folder.
        hard_state: Term and vote as last synced.
        log: Entries as last synced.
        random_source: Source of election timeouts.
        now_s: Monotonic time.
    """

    def __init__(
        self,
        replica_id: str,
        hard_state: HardState,
        log: RaftLog,
        random_source: random.Random,
        now_s: float,
    ) -> None:
        self.replica_id = replica_id
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.log = log
        self.random_source = random_source
        self.role = FOLLOWER
        self.leader_id = ""
        self.commit_index = log.meta.index
        self.persisted_index = log.last_index
        self.persisted_state = hard_state
        self.unpersisted_from = log.last_index + 1
        self.received_snapshot: SnapshotRequest | None = None
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        self.outbox: list[RaftMessage] = []
        # A restarted replica has forgotten the leader that it may have
        # promised a lease to, so it waits as if it had just heard from one.
        self.heard_leader_s = now_s
        self.leader_since_s = 0.0
        self.term_start_index = 0
        self.reset_election_timeout(now_s)

    # Members.

    @property
    def members(self) -> list[Member]:
        """The members in effect."""
        return self.log.get_members()

    @property
    def voters(self) -> set[str]:
        """Identifiers of the voting members."""
        return {member.replica_id for member in self.members if member.is_voter}

    def has_quorum(self, replicas: set[str]) -> bool:
        """Whether a set of replicas is a majority of the voters."""
        voters = self.voters
        return len(replicas & voters) * 2 > len(voters)

    # Time.

    def reset_election_timeout(self, now_s: float) -> None:
        """Choose the next moment to ask for votes."""
        spread = self.random_source.uniform(1.0, 2.0)
        self.election_due_s = now_s + ELECTION_TIMEOUT_S * spread

    def tick(self, now_s: float) -> None:
        """Do what is due: heartbeats, stepping down, or an election."""
        if self.role == LEADER:
            self.tick_leader(now_s)
        elif now_s >= self.election_due_s and self.replica_id in self.voters:
            self.start_pre_vote(now_s)

    def tick_leader(self, now_s: float) -> None:
        """Send heartbeats that are due; step down without a quorum."""
        if now_s - max(self.get_quorum_contact(), self.leader_since_s) > (
            ELECTION_TIMEOUT_S
        ):
            self.become_follower(self.term, "", now_s)
            return
        for replica_id, progress in self.progress.items():
            if now_s - progress.sent_s >= HEARTBEAT_INTERVAL_S:
                self.send_append(replica_id, now_s)

    def get_quorum_contact(self) -> float:
        """Return the latest time at which a quorum is known to have followed."""
        times = []
        for replica_id in self.voters:
            if replica_id == self.replica_id:
                times.append(float("inf"))
            elif replica_id in self.progress:
                times.append(self.progress[replica_id].acknowledged_s)
            else:
                times.append(float("-inf"))
        times.sort(reverse=True)
        return times[len(times) // 2] if times else float("-inf")

    def has_lease(self, now_s: float) -> bool:
        """Whether no other leader can exist at this time.

        A leader serves current reads and grants node leases only while this
        holds and an entry of its own term is committed.
        """
        is_settled = self.commit_index >= self.term_start_index
        contact = self.get_quorum_contact()
        return self.role == LEADER and is_settled and now_s < contact + LEASE_S

    # Elections.

    def start_pre_vote(self, now_s: float) -> None:
        """Ask whether an election would succeed, without a new term."""
        self.role = PRE_CANDIDATE
        self.leader_id = ""
        self.votes = {self.replica_id}
        self.reset_election_timeout(now_s)
        if self.has_quorum(self.votes):
            self.start_election(now_s)
        else:
            self.request_votes(self.term + 1, is_pre_vote=True)

    def start_election(self, now_s: float) -> None:
        """Ask for votes in a new term."""
        self.role = CANDIDATE
        self.term += 1
        self.voted_for = self.replica_id
        self.votes = {self.replica_id}
        self.reset_election_timeout(now_s)
        if self.has_quorum(self.votes):
            self.become_leader(now_s)
        else:
            self.request_votes(self.term, is_pre_vote=False)

    def request_votes(self, term: int, is_pre_vote: bool) -> None:
        """Send vote requests to the other voters."""
        for voter in sorted(self.voters - {self.replica_id}):
            self.outbox.append(
                VoteRequest(
                    term,
                    self.replica_id,
                    voter,
                    self.log.last_index,
                    self.log.last_term,
                    is_pre_vote,
                )
            )

    def become_follower(self, term: int, leader_id: str, now_s: float) -> None:
        """Follow a leader, or wait for one."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
        self.role = FOLLOWER
        self.leader_id = leader_id
        self.reset_election_timeout(now_s)

    def become_leader(self, now_s: float) -> None:
        """Lead the term, beginning with an entry that commits earlier ones."""
        self.role = LEADER
        self.leader_id = self.replica_id
        self.leader_since_s = now_s
        self.progress = {}
        self.term_start_index = self.log.last_index + 1
        self.append(NOOP)
        self.update_progress()
        self.broadcast(now_s)

    # Proposals.

    def append(
        self, kind: str, data: bytes = b"", members: list[Member] | None = None
    ) -> Entry:
        """Add an entry to the leader's log."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data, members or [])
        self.log.entries.append(entry)
        return entry

    def propose(self, data: bytes) -> tuple[int, int] | None:
        """Add a command, or return None if this replica does not lead.

        Returns:
            The entry's index and term.
        """
        if self.role != LEADER:
            return None
        entry = self.append(COMMAND, data)
        return entry.index, entry.term

    def propose_members(self, members: list[Member]) -> bool:
        """Change the members; at most one voter may come or go at a time.

        Returns:
            Whether the change was added to the log.
        """
        if self.role != LEADER or self.commit_index < self.term_start_index:
            return False
        if self.log.has_uncommitted_members(self.commit_index):
            return False
        voters = {member.replica_id for member in members if member.is_voter}
        if len(voters ^ self.voters) > 1 or not voters:
            return False
        self.append(MEMBERS, members=members)
        self.update_progress()
        return True

    def update_progress(self) -> None:
        """Track exactly the other members."""
        others = {member.replica_id for member in self.members} - {self.replica_id}
        for replica_id in others - set(self.progress):
            self.progress[replica_id] = Progress(self.log.last_index)
        for replica_id in set(self.progress) - others:
            del self.progress[replica_id]

    def broadcast(self, now_s: float) -> None:
        """Send what is new to every other member."""
        for replica_id in self.progress:
            self.send_append(replica_id, now_s)

    def send_append(self, replica_id: str, now_s: float) -> None:
        """Send entries, or a snapshot request if they are dropped already."""
        progress = self.progress[replica_id]
        progress.sent_s = now_s
        previous_index = progress.next_index - 1
        previous_term = self.log.get_term(previous_index)
        if previous_term is None:
            if now_s < progress.snapshot_due_s:
                return
            progress.snapshot_due_s = now_s + SNAPSHOT_RETRY_S
            meta = self.log.meta
            self.outbox.append(
                SnapshotRequest(
                    self.term, self.replica_id, replica_id, meta, b"", now_s
                )
            )
            return
        entries = self.log.get_from(progress.next_index, MAX_APPEND_ENTRIES)
        # Pipelines: the next message starts after these entries.
        progress.next_index += len(entries)
        self.outbox.append(
            AppendRequest(
                self.term,
                self.replica_id,
                replica_id,
                previous_index,
                previous_term,
                entries,
                self.commit_index,
                now_s,
            )
        )

    # Messages.

    def on_message(self, item: RaftMessage, now_s: float) -> None:
        """Take a message from another replica."""
        if item.receiver != self.replica_id:
            return
        if isinstance(item, VoteRequest):
            self.on_vote_request(item, now_s)
            return
        if item.term > self.term and not (
            isinstance(item, VoteAnswer) and item.is_pre_vote and item.is_granted
        ):
            self.become_follower(item.term, "", now_s)
        if isinstance(item, VoteAnswer):
            self.on_vote_answer(item, now_s)
        elif isinstance(item, AppendRequest):
            self.on_append_request(item, now_s)
        elif isinstance(item, AppendAnswer):
            self.on_append_answer(item, now_s)
        else:
            self.on_snapshot_request(item, now_s)

    def on_vote_request(self, item: VoteRequest, now_s: float) -> None:
        """Vote for a log at least as new, unless a leader was heard lately."""
        has_recent_leader = (
            self.role == LEADER or now_s - self.heard_leader_s < ELECTION_TIMEOUT_S
        )
        if has_recent_leader:
            return
        if item.term > self.term and not item.is_pre_vote:
            self.become_follower(item.term, "", now_s)
        is_log_new = (item.last_term, item.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if item.is_pre_vote:
            is_granted = item.term > self.term and is_log_new
        else:
            may_vote = self.voted_for in ("", item.sender)
            is_granted = item.term == self.term and is_log_new and may_vote
            if is_granted:
                self.voted_for = item.sender
                self.reset_election_timeout(now_s)
        term = item.term if is_granted else self.term
        self.outbox.append(
            VoteAnswer(term, self.replica_id, item.sender, is_granted, item.is_pre_vote)
        )

    def on_vote_answer(self, item: VoteAnswer, now_s: float) -> None:
        """Count a vote."""
        if not item.is_granted:
            return
        if item.is_pre_vote:
            if self.role == PRE_CANDIDATE and item.term == self.term + 1:
                self.votes.add(item.sender)
                if self.has_quorum(self.votes):
                    self.start_election(now_s)
        elif self.role == CANDIDATE and item.term == self.term:
            self.votes.add(item.sender)
            if self.has_quorum(self.votes):
                self.become_leader(now_s)

    def on_append_request(self, item: AppendRequest, now_s: float) -> None:
        """Take entries from the leader of this term."""
        if item.term < self.term:
            self.answer_append(item, False, 0)
            return
        self.become_follower(item.term, item.sender, now_s)
        self.heard_leader_s = now_s
        if item.previous_index < self.commit_index:
            item = self.skip_committed(item)
        if self.log.get_term(item.previous_index) != item.previous_term:
            hint = min(self.log.last_index, item.previous_index - 1)
            self.answer_append(item, False, max(hint, self.commit_index))
            return
        for entry in item.entries:
            self.take_entry(entry)
        match_index = item.previous_index + len(item.entries)
        self.commit_index = max(self.commit_index, min(item.commit_index, match_index))
        self.answer_append(item, True, match_index)

    def skip_committed(self, item: AppendRequest) -> AppendRequest:
        """Drop the entries that are committed here already."""
        skipped = min(self.commit_index - item.previous_index, len(item.entries))
        if skipped:
            last = item.entries[skipped - 1]
            return replace(
                item,
                previous_index=last.index,
                previous_term=last.term,
                entries=item.entries[skipped:],
            )
        if self.log.get_term(item.previous_index) is None:
            # The snapshot covers the index, so it matches by being committed.
            term = self.log.get_term(self.commit_index)
            return replace(
                item,
                previous_index=self.commit_index,
                previous_term=-1 if term is None else term,
            )
        return item

    def take_entry(self, entry: Entry) -> None:
        """Add one entry, dropping a conflicting tail."""
        known_term = self.log.get_term(entry.index)
        if known_term == entry.term:
            return
        if known_term is not None:
            self.log.truncate_from(entry.index)
            self.persisted_index = min(self.persisted_index, entry.index - 1)
        self.unpersisted_from = min(self.unpersisted_from, entry.index)
        self.log.entries.append(entry)

    def answer_append(
        self, item: AppendRequest | SnapshotRequest, is_success: bool, match_index: int
    ) -> None:
        """Answer the leader, returning its time stamp."""
        self.outbox.append(
            AppendAnswer(
                self.term,
                self.replica_id,
                item.sender,
                is_success,
                match_index,
                item.sent_at_s,
            )
        )

    def on_append_answer(self, item: AppendAnswer, now_s: float) -> None:
        """Note how far a replica follows."""
        progress = self.progress.get(item.sender)
        if self.role != LEADER or item.term != self.term or progress is None:
            return
        progress.acknowledged_s = max(progress.acknowledged_s, item.sent_at_s)
        if item.is_success:
            progress.match_index = max(progress.match_index, item.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self.advance_commit()
            if progress.next_index <= self.log.last_index:
                self.send_append(item.sender, now_s)
        else:
            progress.next_index = max(
                progress.match_index + 1, min(item.match_index + 1, self.log.last_index)
            )
            self.send_append(item.sender, now_s)

    def advance_commit(self) -> None:
        """Commit what a quorum has synced, in this term only."""
        matches = []
        for replica_id in self.voters:
            if replica_id == self.replica_id:
                matches.append(self.persisted_index)
            elif replica_id in self.progress:
                matches.append(self.progress[replica_id].match_index)
            else:
                matches.append(0)
        matches.sort(reverse=True)
        index = matches[len(matches) // 2] if matches else 0
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.commit_index = index
            self.step_down_if_removed()

    def step_down_if_removed(self) -> None:
        """Stop leading once the members without this replica are committed."""
        is_stable = not self.log.has_uncommitted_members(self.commit_index)
        if is_stable and self.replica_id not in self.voters:
            self.role = FOLLOWER
            self.leader_id = ""

    def on_snapshot_request(self, item: SnapshotRequest, now_s: float) -> None:
        """Replace the log by the leader's snapshot if it is newer."""
        if item.term < self.term:
            self.answer_append(item, False, 0)
            return
        self.become_follower(item.term, item.sender, now_s)
        self.heard_leader_s = now_s
        if item.meta.index > self.commit_index:
            self.log.compact(item.meta)
            self.commit_index = item.meta.index
            self.persisted_index = max(self.persisted_index, item.meta.index)
            self.persisted_index = min(self.persisted_index, self.log.last_index)
            self.unpersisted_from = self.log.last_index + 1
            self.received_snapshot = item
        self.answer_append(item, True, max(item.meta.index, self.commit_index))

    # Driver's side.

    def take_writes(self) -> Writes:
        """Return what must be synced before the messages are sent."""
        state = HardState(self.term, self.voted_for)
        is_state_new = state != self.persisted_state
        start = max(self.unpersisted_from, self.log.meta.index + 1)
        entries = self.log.entries[start - self.log.meta.index - 1 :]
        writes = Writes(
            state if is_state_new else None, entries, self.received_snapshot
        )
        self.persisted_state = state
        self.unpersisted_from = self.log.last_index + 1
        self.received_snapshot = None
        return writes

    def take_messages(self) -> list[RaftMessage]:
        """Return the messages to send."""
        messages = self.outbox
        self.outbox = []
        return messages

    def on_persisted(self) -> None:
        """Count this replica's own synced entries."""
        self.persisted_index = self.log.last_index
        if self.role == LEADER:
            self.advance_commit()
