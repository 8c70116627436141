"""Messages between the seeds that found a cluster."""

from __future__ import annotations

from ..control.raft_messages import Member
from ..transport.codec import Message


class FoundedCluster(Message):
    """A cluster and its first voters."""

    cluster_id: str
    members: list[Member]


class PrepareFounding(Message):
    """Asks a seed to accept no proposal with a lower ballot."""

    round: int
    host: str
    """Host of the proposer; with the round, the ballot."""


class AcceptFounding(Message):
    """Asks a seed to accept the proposal of a cluster."""

    round: int
    host: str
    cluster: FoundedCluster


class FoundingVote(Message):
    """A seed's answer to a proposer."""

    is_granted: bool
    promised_round: int
    accepted_round: int
    accepted_host: str
    accepted_cluster: FoundedCluster | None
    """The proposal that the seed has accepted last; None without one."""
