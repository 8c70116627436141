"""Finds a shard's owner among the nodes, and asks it for holders of pieces."""

from __future__ import annotations

import asyncio

from ..errors import LaburnumpitchError
from ..membership.cluster_view import ClusterView
from ..membership.messages import NodeInfo
from ..metrics import Metrics
from ..policy.engine_selection import get_rendezvous_weight
from ..policy.selection_types import BlockLocation, PieceLocations
from ..transport.rpc import RpcPool
from .directory import Directory, Lookup, LookupAnswer, TargetReport, make_ref
from .pieces import get_shard

LOOKUP_TIMEOUT_S = 0.025
"""Time for a shard's owner to answer before the request goes on without."""

CACHED_OWNERS = 20_000
"""Shard owners remembered until the nodes change."""


def get_owner(key: str, nodes: list[NodeInfo]) -> NodeInfo | None:
    """Return the node of the highest rank for a key."""
    return max(
        nodes, key=lambda node: get_rendezvous_weight(key, node.node_id), default=None
    )


class Shards:
    """The directory over all nodes, as one node uses it.

    Args:
        node_id: This node.
        directory: This node's own shards.
        view: Nodes that share the directory.
        pool: Connections to the other nodes.
        metrics: Where measurements go.
    """

    def __init__(
        self,
        node_id: str,
        directory: Directory,
        view: ClusterView,
        pool: RpcPool,
        metrics: Metrics,
    ) -> None:
        self.node_id = node_id
        self.directory = directory
        self.view = view
        self.pool = pool
        self.metrics = metrics
        self.owners: dict[str, NodeInfo | None] = {}
        self.owners_version = -1
        """Version of the nodes that the owners were found for."""

    def find_owner(self, shard: str) -> NodeInfo | None:
        """Return the node that owns a shard in this node's view."""
        is_stale = self.owners_version != self.view.nodes_version
        if is_stale or len(self.owners) >= CACHED_OWNERS:
            self.owners.clear()
            self.owners_version = self.view.nodes_version
        if shard not in self.owners:
            self.owners[shard] = get_owner(shard, self.view.get_active_nodes())
        return self.owners[shard]

    async def look_up(self, pieces: list[str]) -> tuple[PieceLocations, ...]:
        """Return who holds each piece; nobody, where a shard does not answer."""
        by_shard: dict[str, list[str]] = {}
        for piece in pieces:
            by_shard.setdefault(get_shard(piece), []).append(piece)
        answers = await asyncio.gather(
            *(self.ask(shard, part) for shard, part in by_shard.items())
        )
        offers: dict[str, PieceLocations] = {}
        for answer in answers:
            offers.update(answer)
        return tuple(offers.get(piece, PieceLocations()) for piece in pieces)

    async def ask(self, shard: str, pieces: list[str]) -> dict[str, PieceLocations]:
        """Ask one shard's owner."""
        owner = self.find_owner(shard)
        if owner is None:
            return {}
        try:
            answer = await self.call_owner(owner, Lookup(pieces))
        except LaburnumpitchError:
            self.metrics.count("context.lookup_timeout")
            return {}
        offers = {}
        for piece, holders in zip(pieces, answer.holders):
            blocks = tuple(
                BlockLocation(make_ref(piece, block), block.is_on_disk)
                for block in holders.blocks
            )
            offers[piece] = PieceLocations(frozenset(holders.engines), blocks)
        return offers

    async def call_owner(self, owner: NodeInfo, lookup: Lookup) -> LookupAnswer:
        """Ask a node, which may be this one."""
        if owner.node_id == self.node_id:
            return self.answer(lookup)
        return await self.pool.get(owner.address).call(lookup, LOOKUP_TIMEOUT_S)

    def answer(self, lookup: Lookup) -> LookupAnswer:
        """Answer from this node's own shards."""
        return LookupAnswer([self.directory.look_up(piece) for piece in lookup.pieces])

    async def on_lookup(self, lookup: Lookup) -> LookupAnswer:
        """Answer another node's lookup."""
        return self.answer(lookup)

    async def on_report(self, report: TargetReport) -> None:
        """Take a collector's report."""
        self.directory.take_report(report)
        self.metrics.set_gauge("directory.entries", len(self.directory))

    def send_report(self, owner: NodeInfo, report: TargetReport) -> None:
        """Tell a shard's owner about a target."""
        if owner.node_id == self.node_id:
            self.directory.take_report(report)
        else:
            self.pool.get(owner.address).notify(report)
