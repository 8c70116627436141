"""Entries of the replicated log and the messages between its replicas."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..transport.codec import message

NOOP = "noop"
COMMAND = "command"
MEMBERSHIP = "members"


@message
class Member:
    """A replica of the log."""

    replica_id: str
    name: str
    address: str
    is_voter: bool


@message
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: str
    data: bytes = b""
    members: list[Member] = field(default_factory=list)


@message
class HardState:
    """What a replica must not forget: its term and vote."""

    term: int
    voted_for: str


@message
class SnapshotMeta:
    """What a snapshot stands for."""

    index: int
    term: int
    members: list[Member]


@message
class VoteRequest:
    """Asks for a vote, or in the pre-vote whether one would be given."""

    term: int
    sender: str
    receiver: str
    last_index: int
    last_term: int
    is_pre_vote: bool


@message
class VoteAnswer:
    """Gives or refuses a vote."""

    term: int
    sender: str
    receiver: str
    is_granted: bool
    is_pre_vote: bool


@message
class AppendRequest:
    """Entries from the leader; without entries, its heartbeat."""

    term: int
    sender: str
    receiver: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sent_at_s: float


@message
class AppendAnswer:
    """Whether the entries fitted, and the last index that matches."""

    term: int
    sender: str
    receiver: str
    is_success: bool
    match_index: int
    sent_at_s: float


@message
class SnapshotRequest:
    """A whole snapshot for a replica whose entries the leader has dropped."""

    term: int
    sender: str
    receiver: str
    meta: SnapshotMeta
    data: bytes
    sent_at_s: float


RaftMessage = VoteRequest | VoteAnswer | AppendRequest | AppendAnswer | SnapshotRequest


@dataclass(frozen=True)
class PendingWrites:
    """What the driver must sync before it sends any message."""

    hard_state: HardState | None
    entries: list[Entry]
    snapshot: SnapshotRequest | None

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to sync."""
        return not (self.hard_state or self.entries or self.snapshot)
