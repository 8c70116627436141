"""The Raft protocol without I/O: messages and ticks in, messages and writes out.

The driver first persists what `pop_pending_writes` returns and calls `on_persisted`.
Only then does it send what `pop_outgoing_messages` returns. Time is an argument.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, with pre-vote
(9.6), check-quorum and leader lease (6.4), learners (4.2.1) and membership
change of one replica at a time (4.1).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from msgspec.structs import replace

from .raft_log import RaftLog
from .raft_messages import (
    COMMAND,
    MEMBERSHIP,
    NOOP,
    AppendAnswer,
    AppendRequest,
    Entry,
    HardState,
    Member,
    PendingWrites,
    RaftMessage,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)

ELECTION_TIMEOUT_S = 0.5
"""Minimum election timeout of a follower, and the check-quorum timeout of a leader."""

HEARTBEAT_INTERVAL_S = 0.1
"""Longest interval between the leader's append requests to one replica."""

LEADER_LEASE_S = 0.42
"""Duration of the leader lease after contact with a quorum.

It is shorter than the election timeout by more than the clocks' drift.
"""

SNAPSHOT_RETRY_INTERVAL_S = 0.5
"""Interval at which an unanswered snapshot is sent again.

It must be short, since a replica that needs a snapshot gets no other heartbeats.
"""

MAX_APPEND_ENTRIES = 512
"""Maximum number of entries in one append request."""

FOLLOWER = "follower"
PRE_CANDIDATE = "pre_candidate"
CANDIDATE = "candidate"
LEADER = "leader"


@dataclass
class Progress:
    """Replication state that the leader tracks for another replica."""

    next_index: int
    match_index: int = 0
    last_contact_s: float = float("-inf")
    """When the leader sent the newest request that the replica has answered."""
    last_sent_s: float = float("-inf")
    """When the leader last sent a request."""
    snapshot_retry_at_s: float = float("-inf")
    """Earliest time at which a snapshot may be sent again."""


class RaftCore:
    """The protocol state of one replica.

    Args:
        replica_id: This replica's identifier, unique to its data folder.
        hard_state: Term and vote as last persisted.
        log: Entries as last persisted.
        random_source: Source of randomised election timeouts.
        now_s: Current monotonic time.
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
        self.commit_index = log.snapshot_meta.index
        self.persisted_index = log.last_index
        self.persisted_hard_state = hard_state
        self.first_unpersisted_index = log.last_index + 1
        self.pending_snapshot: SnapshotRequest | None = None
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        self.outgoing_messages: list[RaftMessage] = []
        # A restarted replica may have extended a leader's lease before the
        # restart, so it starts as if it had just had contact with a leader.
        self.last_leader_contact_s = now_s
        self.leader_since_s = 0.0
        self.term_start_index = 0
        self.reset_election_timeout(now_s)

    @property
    def members(self) -> list[Member]:
        """Members of the latest membership entry, which applies before it commits."""
        return self.log.get_latest_members()

    @property
    def committed_members(self) -> list[Member]:
        """Members of the latest membership entry that is committed."""
        return self.log.get_committed_members(self.commit_index)

    @property
    def voters(self) -> set[str]:
        """Identifiers of the voters."""
        return {member.replica_id for member in self.members if member.is_voter}

    def has_quorum(self, replicas: set[str]) -> bool:
        """Whether a set of replicas contains a majority of the voters."""
        voters = self.voters
        return len(replicas & voters) * 2 > len(voters)

    def reset_election_timeout(self, now_s: float) -> None:
        """Restart the election timer with a randomised timeout."""
        timeout_factor = self.random_source.uniform(1.0, 2.0)
        self.election_deadline_s = now_s + ELECTION_TIMEOUT_S * timeout_factor

    def tick(self, now_s: float) -> None:
        """Run the timers: heartbeats and check-quorum, or the start of an election."""
        if self.role == LEADER:
            self.tick_leader(now_s)
        elif now_s >= self.election_deadline_s and self.replica_id in self.voters:
            self.start_pre_vote(now_s)

    def tick_leader(self, now_s: float) -> None:
        """Step down without a quorum (check-quorum); send heartbeats that are due."""
        if now_s - max(self.get_quorum_contact_s(), self.leader_since_s) > (
            ELECTION_TIMEOUT_S
        ):
            self.become_follower(self.term, "", now_s)
            return
        for replica_id, progress in self.progress.items():
            if now_s - progress.last_sent_s >= HEARTBEAT_INTERVAL_S:
                self.send_append(replica_id, now_s)

    def get_quorum_contact_s(self) -> float:
        """Return the send time of the newest request that a quorum has answered."""
        contact_times_s = []
        for replica_id in self.voters:
            if replica_id == self.replica_id:
                contact_times_s.append(float("inf"))
            elif replica_id in self.progress:
                contact_times_s.append(self.progress[replica_id].last_contact_s)
            else:
                contact_times_s.append(float("-inf"))
        contact_times_s.sort(reverse=True)
        return (
            contact_times_s[len(contact_times_s) // 2]
            if contact_times_s
            else float("-inf")
        )

    def has_leader_lease(self, now_s: float) -> bool:
        """Whether this replica leads and no other leader can exist at this time.

        The lease begins only when an entry of the leader's own term is committed.
        Linearizable reads and grants of node leases require it.
        """
        is_own_term_committed = self.commit_index >= self.term_start_index
        quorum_contact_s = self.get_quorum_contact_s()
        return (
            self.role == LEADER
            and is_own_term_committed
            and now_s < quorum_contact_s + LEADER_LEASE_S
        )

    def start_pre_vote(self, now_s: float) -> None:
        """Start a pre-vote: check without a new term if an election can succeed."""
        self.role = PRE_CANDIDATE
        self.leader_id = ""
        self.votes = {self.replica_id}
        self.reset_election_timeout(now_s)
        if self.has_quorum(self.votes):
            self.start_election(now_s)
        else:
            self.request_votes(self.term + 1, is_pre_vote=True)

    def start_election(self, now_s: float) -> None:
        """Become a candidate in a new term and request votes."""
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
        """Send vote or pre-vote requests to the other voters."""
        for voter in sorted(self.voters - {self.replica_id}):
            self.outgoing_messages.append(
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
        """Become a follower; an empty `leader_id` means that the leader is unknown."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
        self.role = FOLLOWER
        self.leader_id = leader_id
        self.reset_election_timeout(now_s)

    def become_leader(self, now_s: float) -> None:
        """Become the leader of the term and append its no-op entry.

        The no-op is needed to commit the entries of earlier terms.
        """
        self.role = LEADER
        self.leader_id = self.replica_id
        self.leader_since_s = now_s
        self.progress = {}
        self.term_start_index = self.log.last_index + 1
        self.append_entry(NOOP)
        self.reconcile_progress()
        self.broadcast_append(now_s)

    def append_entry(
        self, kind: str, data: bytes = b"", members: list[Member] | None = None
    ) -> Entry:
        """Append an entry of the current term to the leader's log."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data, members or [])
        self.log.entries.append(entry)
        return entry

    def propose(self, data: bytes) -> tuple[int, int] | None:
        """Append a command, or return None if this replica is not the leader.

        Returns:
            The entry's index and term.
        """
        if self.role != LEADER:
            return None
        entry = self.append_entry(COMMAND, data)
        return entry.index, entry.term

    def propose_membership_change(self, members: list[Member]) -> bool:
        """Append a membership change that adds or removes at most one voter.

        Returns:
            Whether the change was appended.
        """
        if self.role != LEADER or self.commit_index < self.term_start_index:
            return False
        if self.log.has_uncommitted_membership(self.commit_index):
            return False
        voters = {member.replica_id for member in members if member.is_voter}
        if len(voters ^ self.voters) > 1 or not voters:
            return False
        self.append_entry(MEMBERSHIP, members=members)
        self.reconcile_progress()
        return True

    def reconcile_progress(self) -> None:
        """Keep one `Progress` for each other member, adding and dropping as needed."""
        other_ids = {member.replica_id for member in self.members} - {self.replica_id}
        for replica_id in other_ids - set(self.progress):
            self.progress[replica_id] = Progress(self.log.last_index)
        for replica_id in set(self.progress) - other_ids:
            del self.progress[replica_id]

    def broadcast_append(self, now_s: float) -> None:
        """Send an append request or a snapshot to every other member."""
        for replica_id in self.progress:
            self.send_append(replica_id, now_s)

    def send_append(self, replica_id: str, now_s: float) -> None:
        """Send entries, or a snapshot if the log was compacted past the next index."""
        progress = self.progress[replica_id]
        progress.last_sent_s = now_s
        previous_index = progress.next_index - 1
        previous_term = self.log.get_term(previous_index)
        if previous_term is None:
            if now_s < progress.snapshot_retry_at_s:
                return
            progress.snapshot_retry_at_s = now_s + SNAPSHOT_RETRY_INTERVAL_S
            meta = self.log.snapshot_meta
            self.outgoing_messages.append(
                SnapshotRequest(
                    self.term, self.replica_id, replica_id, meta, b"", now_s
                )
            )
            return
        entries = self.log.get_entries_from(progress.next_index, MAX_APPEND_ENTRIES)
        # Pipelining: the next request does not wait for the answer to this one.
        progress.next_index += len(entries)
        self.outgoing_messages.append(
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

    def on_message(self, message: RaftMessage, now_s: float) -> None:
        """Handle a message from another replica."""
        if message.receiver != self.replica_id:
            return
        if isinstance(message, VoteRequest):
            self.on_vote_request(message, now_s)
            return
        if message.term > self.term and not (
            isinstance(message, VoteAnswer)
            and message.is_pre_vote
            and message.is_granted
        ):
            self.become_follower(message.term, "", now_s)
        if isinstance(message, VoteAnswer):
            self.on_vote_answer(message, now_s)
        elif isinstance(message, AppendRequest):
            self.on_append_request(message, now_s)
        elif isinstance(message, AppendAnswer):
            self.on_append_answer(message, now_s)
        else:
            self.on_snapshot_request(message, now_s)

    def on_vote_request(self, message: VoteRequest, now_s: float) -> None:
        """Grant a vote or pre-vote if the sender's log is at least as up to date.

        The request is ignored within the election timeout after contact with a
        leader; otherwise a vote could break the leader's lease.
        """
        has_recent_leader = (
            self.role == LEADER
            or now_s - self.last_leader_contact_s < ELECTION_TIMEOUT_S
        )
        if has_recent_leader:
            return
        if message.term > self.term and not message.is_pre_vote:
            self.become_follower(message.term, "", now_s)
        is_log_up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if message.is_pre_vote:
            is_granted = message.term > self.term and is_log_up_to_date
        else:
            can_vote = self.voted_for in ("", message.sender)
            is_granted = message.term == self.term and is_log_up_to_date and can_vote
            if is_granted:
                self.voted_for = message.sender
                self.reset_election_timeout(now_s)
        term = message.term if is_granted else self.term
        self.outgoing_messages.append(
            VoteAnswer(
                term, self.replica_id, message.sender, is_granted, message.is_pre_vote
            )
        )

    def on_vote_answer(self, message: VoteAnswer, now_s: float) -> None:
        """Count a granted vote or pre-vote."""
        if not message.is_granted:
            return
        if message.is_pre_vote:
            if self.role == PRE_CANDIDATE and message.term == self.term + 1:
                self.votes.add(message.sender)
                if self.has_quorum(self.votes):
                    self.start_election(now_s)
        elif self.role == CANDIDATE and message.term == self.term:
            self.votes.add(message.sender)
            if self.has_quorum(self.votes):
                self.become_leader(now_s)

    def on_append_request(self, message: AppendRequest, now_s: float) -> None:
        """Append the leader's entries if the logs match before them."""
        if message.term < self.term:
            self.send_append_answer(message, False, 0)
            return
        self.become_follower(message.term, message.sender, now_s)
        self.last_leader_contact_s = now_s
        if message.previous_index < self.commit_index:
            message = self.skip_committed_entries(message)
        if self.log.get_term(message.previous_index) != message.previous_term:
            match_hint = min(self.log.last_index, message.previous_index - 1)
            self.send_append_answer(message, False, max(match_hint, self.commit_index))
            return
        for entry in message.entries:
            self.append_or_replace_entry(entry)
        match_index = message.previous_index + len(message.entries)
        self.commit_index = max(
            self.commit_index, min(message.commit_index, match_index)
        )
        self.send_append_answer(message, True, match_index)

    def skip_committed_entries(self, message: AppendRequest) -> AppendRequest:
        """Return the request without the entries that are already committed here."""
        skipped_count = min(
            self.commit_index - message.previous_index, len(message.entries)
        )
        if skipped_count:
            last = message.entries[skipped_count - 1]
            return replace(
                message,
                previous_index=last.index,
                previous_term=last.term,
                entries=message.entries[skipped_count:],
            )
        if self.log.get_term(message.previous_index) is None:
            # The snapshot covers the index; committed entries always match.
            term = self.log.get_term(self.commit_index)
            return replace(
                message,
                previous_index=self.commit_index,
                previous_term=-1 if term is None else term,
            )
        return message

    def append_or_replace_entry(self, entry: Entry) -> None:
        """Append one entry, truncating the log from a conflicting entry on."""
        existing_term = self.log.get_term(entry.index)
        if existing_term == entry.term:
            return
        if existing_term is not None:
            self.log.truncate_from(entry.index)
            self.persisted_index = min(self.persisted_index, entry.index - 1)
        self.first_unpersisted_index = min(self.first_unpersisted_index, entry.index)
        self.log.entries.append(entry)

    def send_append_answer(
        self,
        message: AppendRequest | SnapshotRequest,
        is_success: bool,
        match_index: int,
    ) -> None:
        """Answer the leader, with the send time of its request."""
        self.outgoing_messages.append(
            AppendAnswer(
                self.term,
                self.replica_id,
                message.sender,
                is_success,
                match_index,
                message.sent_at_s,
            )
        )

    def on_append_answer(self, message: AppendAnswer, now_s: float) -> None:
        """Update a replica's progress and send it the next entries."""
        progress = self.progress.get(message.sender)
        if self.role != LEADER or message.term != self.term or progress is None:
            return
        progress.last_contact_s = max(progress.last_contact_s, message.sent_at_s)
        if message.is_success:
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self.advance_commit_index()
            if progress.next_index <= self.log.last_index:
                self.send_append(message.sender, now_s)
        else:
            progress.next_index = max(
                progress.match_index + 1,
                min(message.match_index + 1, self.log.last_index),
            )
            self.send_append(message.sender, now_s)

    def advance_commit_index(self) -> None:
        """Commit up to the entry that a quorum has persisted.

        Only entries of the current term are committed by counting replicas.
        """
        match_indexes = []
        for replica_id in self.voters:
            if replica_id == self.replica_id:
                match_indexes.append(self.persisted_index)
            elif replica_id in self.progress:
                match_indexes.append(self.progress[replica_id].match_index)
            else:
                match_indexes.append(0)
        match_indexes.sort(reverse=True)
        index = match_indexes[len(match_indexes) // 2] if match_indexes else 0
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.commit_index = index
            self.step_down_if_removed()

    def step_down_if_removed(self) -> None:
        """Step down once a committed membership change has removed this replica."""
        is_membership_committed = not self.log.has_uncommitted_membership(
            self.commit_index
        )
        if is_membership_committed and self.replica_id not in self.voters:
            self.role = FOLLOWER
            self.leader_id = ""

    def on_snapshot_request(self, message: SnapshotRequest, now_s: float) -> None:
        """Install the leader's snapshot if it is ahead of the commit index."""
        if message.term < self.term:
            self.send_append_answer(message, False, 0)
            return
        self.become_follower(message.term, message.sender, now_s)
        self.last_leader_contact_s = now_s
        if message.meta.index > self.commit_index:
            self.log.compact(message.meta)
            self.commit_index = message.meta.index
            self.persisted_index = max(self.persisted_index, message.meta.index)
            self.persisted_index = min(self.persisted_index, self.log.last_index)
            self.first_unpersisted_index = self.log.last_index + 1
            self.pending_snapshot = message
        self.send_append_answer(
            message, True, max(message.meta.index, self.commit_index)
        )

    def pop_pending_writes(self) -> PendingWrites:
        """Return and clear the writes to sync before any message is sent."""
        hard_state = HardState(self.term, self.voted_for)
        is_hard_state_changed = hard_state != self.persisted_hard_state
        start = max(self.first_unpersisted_index, self.log.snapshot_meta.index + 1)
        entries = self.log.entries[start - self.log.snapshot_meta.index - 1 :]
        writes = PendingWrites(
            hard_state if is_hard_state_changed else None,
            entries,
            self.pending_snapshot,
        )
        self.persisted_hard_state = hard_state
        self.first_unpersisted_index = self.log.last_index + 1
        self.pending_snapshot = None
        return writes

    def pop_outgoing_messages(self) -> list[RaftMessage]:
        """Return and clear the messages to send."""
        messages = self.outgoing_messages
        self.outgoing_messages = []
        return messages

    def on_persisted(self) -> None:
        """Record that the log is synced; a leader then advances its commit index."""
        self.persisted_index = self.log.last_index
        if self.role == LEADER:
            self.advance_commit_index()
