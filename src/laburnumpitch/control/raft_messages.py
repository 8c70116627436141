"""Raft log entries, persistent state and messages between replicas."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import field

from ..transport.codec import Message

NOOP = "noop"
"""Kind of the entry that a new leader appends to commit entries of earlier terms."""

COMMAND = "command"
"""Kind of an entry with a command for the state machine."""

MEMBERSHIP = "members"
"""Kind of an entry that changes the cluster's members."""


class Member(Message):
    """A member of the cluster: a voter, or a learner that only receives the log."""

    replica_id: str
    name: str
    address: str
    is_voter: bool


class Entry(Message):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: str
    data: bytes = b""
    members: list[Member] = field(default_factory=list)


class HardState(Message):
    """Current term and vote, which must be durable before a message is sent."""

    term: int
    voted_for: str


class SnapshotMeta(Message):
    """Last index and term that a snapshot covers, and the members at that index."""

    index: int
    term: int
    members: list[Member]


class VoteRequest(Message):
    """Requests a vote; in a pre-vote, asks whether one would be granted."""

    term: int
    sender: str
    receiver: str
    last_index: int
    last_term: int
    is_pre_vote: bool


class VoteAnswer(Message):
    """Grants or refuses a vote or pre-vote."""

    term: int
    sender: str
    receiver: str
    is_granted: bool
    is_pre_vote: bool


class AppendRequest(Message):
    """Entries from the leader; a heartbeat if there are none."""

    term: int
    sender: str
    receiver: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sent_at_s: float


class AppendAnswer(Message):
    """Result of the log matching check, with the match index.

    If the check failed, the index is a hint below the leader's next index.
    """

    term: int
    sender: str
    receiver: str
    is_success: bool
    match_index: int
    sent_at_s: float


class SnapshotRequest(Message):
    """A complete snapshot, for a replica that needs entries already compacted."""

    term: int
    sender: str
    receiver: str
    meta: SnapshotMeta
    data: bytes
    sent_at_s: float


RaftMessage = VoteRequest | VoteAnswer | AppendRequest | AppendAnswer | SnapshotRequest


@dataclass(frozen=True)
class PendingWrites:
    """Changes that the driver must sync before it sends any message."""

    hard_state: HardState | None
    entries: list[Entry]
    snapshot: SnapshotRequest | None

    @property
    def is_empty(self) -> bool:
        """Whether nothing has to be synced."""
        return not (self.hard_state or self.entries or self.snapshot)
