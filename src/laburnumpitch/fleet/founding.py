"""Founds the cluster at the first start, by agreement of a majority of the seeds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..control.log_store import decode_record, encode_record, replace_file_durably
from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..policy.founding import Acceptor, Ballot, Vote, choose_value
from ..policy.voters import get_majority
from ..transport.rpc import RpcPool
from .founding_messages import (
    AcceptFounding,
    FoundedCluster,
    FoundingVote,
    PrepareFounding,
)

FILE_NAME = "founding"
"""File in the data folder with the seed's vote."""

VOTE_TIMEOUT_S = 0.4
"""Time for a seed's answer."""


@dataclass(frozen=True)
class StoredFounding:
    """What a seed keeps on its disk."""

    seeds: tuple[str, ...]
    """The seeds that agree, whatever the settings name later."""
    vote: Vote[FoundedCluster]


class ClusterFounding:
    """Votes as a seed, and proposes a cluster.

    A seed without a disk forgets its vote when its process ends, and does not vote any
    more then.

    Args:
        host: This node's host.
        seeds: Hosts of the seeds, the same on all nodes at the first start.
        is_first_start: Whether the fleet starts for the first time.
        folder: Data folder; None without a disk.
        pool: Connections to other nodes.
        rpc_port: RPC port, the same on every node.
    """

    def __init__(
        self,
        host: str,
        seeds: tuple[str, ...],
        is_first_start: bool,
        folder: Path | None,
        pool: RpcPool,
        rpc_port: int,
    ) -> None:
        self.host = host
        self.pool = pool
        self.rpc_port = rpc_port
        self.path = folder / FILE_NAME if folder is not None else None
        self.has_cluster = False
        """Whether this node knows the cluster, so that it votes for no other."""
        self.round = 0
        self.log = get_logger()
        stored = self.load()
        self.may_found = is_first_start or stored is not None
        """Whether this node has taken part in the first start, and kept its vote."""
        self.seeds = stored.seeds if stored is not None else seeds
        vote = stored.vote if stored is not None else Vote()
        self.acceptor = Acceptor(vote, self.save)

    def load(self) -> StoredFounding | None:
        """Return what was kept before a restart, or None."""
        if self.path is None or not self.path.exists():
            return None
        try:
            body = decode_record(self.path.read_bytes(), 0)
            if body is not None:
                return msgspec.msgpack.decode(body, type=StoredFounding)
        except (OSError, msgspec.MsgspecError) as error:
            self.log.error("vote_not_read", detail=str(error))
        return None

    def save(self, vote: Vote[FoundedCluster]) -> None:
        """Make a vote durable; without a disk, it lasts as long as the process.

        Raises:
            OSError: If the disk fails.
        """
        if self.path is None:
            return
        self.path.parent.mkdir(parents=True, exist_ok=True)
        stored = msgspec.msgpack.encode(StoredFounding(self.seeds, vote))
        replace_file_durably(self.path, encode_record(stored))

    def start(self) -> None:
        """Record that this node takes part in the first start."""
        if not self.may_found or self.path is None or self.path.exists():
            return
        try:
            self.save(self.acceptor.vote)
        except OSError as error:
            # It goes on without: only a restart would need the file.
            self.log.error("disk_failed", detail=str(error))

    async def on_prepare(self, call: PrepareFounding) -> FoundingVote:
        """Answer whether this seed promises a ballot."""
        ballot = Ballot(call.round, call.host)
        return self.make_vote(lambda: self.acceptor.prepare(ballot))

    async def on_accept(self, call: AcceptFounding) -> FoundingVote:
        """Answer whether this seed accepts a proposal."""
        ballot = Ballot(call.round, call.host)
        return self.make_vote(lambda: self.acceptor.accept(ballot, call.cluster))

    def make_vote(self, decide: Callable[[], bool]) -> FoundingVote:
        """Return the answer to a call; a seed that cannot keep its vote gives none."""
        is_granted = False
        if self.may_found and self.host in self.seeds and not self.has_cluster:
            try:
                is_granted = decide()
            except OSError as error:
                self.log.error("disk_failed", detail=str(error))
        vote = self.acceptor.vote
        return FoundingVote(
            is_granted,
            vote.promised.round,
            vote.accepted.round,
            vote.accepted.host,
            vote.value,
        )

    async def propose(self, cluster: FoundedCluster) -> FoundedCluster | None:
        """Propose a cluster to the seeds.

        Returns:
            The cluster that is founded, which may be another one; None if no majority
            of the seeds has agreed, for example because they know a cluster already.
        """
        self.round += 1
        promises = await self.ask_seeds(PrepareFounding(self.round, self.host))
        if not self.is_majority(promises):
            return None
        chosen = choose_value(
            (
                Vote(
                    accepted=Ballot(vote.accepted_round, vote.accepted_host),
                    value=vote.accepted_cluster,
                )
                for vote in promises
                if vote.is_granted
            ),
            cluster,
        )
        answers = await self.ask_seeds(AcceptFounding(self.round, self.host, chosen))
        return chosen if self.is_majority(answers) else None

    async def ask_seeds(
        self, call: PrepareFounding | AcceptFounding
    ) -> list[FoundingVote]:
        """Return the answers of all seeds that give one, this node's among them."""
        answers = await asyncio.gather(*(self.ask(seed, call) for seed in self.seeds))
        votes = [vote for vote in answers if vote is not None]
        self.round = max([self.round, *(vote.promised_round for vote in votes)])
        return votes

    async def ask(
        self, seed: str, call: PrepareFounding | AcceptFounding
    ) -> FoundingVote | None:
        """Return the answer of one seed, or None."""
        if seed == self.host:
            if isinstance(call, PrepareFounding):
                return await self.on_prepare(call)
            return await self.on_accept(call)
        client = self.pool.get(f"{seed}:{self.rpc_port}")
        try:
            return await client.call(call, VOTE_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.debug("vote_not_answered", seed=seed, code=error.code)
            return None

    def is_majority(self, votes: list[FoundingVote]) -> bool:
        """Whether a majority of the seeds agrees."""
        granted = sum(vote.is_granted for vote in votes)
        self.log.info(
            "seeds_voted",
            round=self.round,
            granted=granted,
            answered=len(votes),
            seeds=len(self.seeds),
        )
        return granted >= get_majority(len(self.seeds))
