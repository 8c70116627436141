"""Finds the owners of the directory's shards, and sends them lookups and reports."""

from __future__ import annotations

import asyncio

from ..errors import LaburnumpitchError
from ..membership.cluster_view import ClusterView
from ..membership.messages import NodeInfo
from ..metrics import Metrics
from ..policy.engine_selection import get_rendezvous_weight
from ..policy.selection_types import BlockLocation, PieceLocations
from ..transport.rpc import RpcPool
from .local_directory import (
    LocalDirectory,
    Lookup,
    LookupAnswer,
    TargetReport,
    make_block_ref,
)
from .pieces import get_shard

LOOKUP_TIMEOUT_S = 0.025
"""Timeout of a lookup; a request goes on without the locations that are missing."""

MAX_CACHED_OWNERS = 20_000
"""Size at which the cache of shard owners is cleared; it is also cleared when the nodes
change."""


def choose_owner_node(key: str, nodes: list[NodeInfo]) -> NodeInfo | None:
    """Return the node that owns a key, by rendezvous hash; None without nodes."""
    return max(
        nodes, key=lambda node: get_rendezvous_weight(key, node.node_id), default=None
    )


class ShardedDirectory:
    """The directory of piece locations, whose shards are spread over all nodes.

    Args:
        node_id: Identifier of this node.
        local_directory: The shards that this node owns.
        view: The nodes that own shards.
        rpc_pool: Connections to other nodes.
        metrics: Records measurements.
    """

    def __init__(
        self,
        node_id: str,
        local_directory: LocalDirectory,
        view: ClusterView,
        rpc_pool: RpcPool,
        metrics: Metrics,
    ) -> None:
        self.node_id = node_id
        self.local_directory = local_directory
        self.view = view
        self.rpc_pool = rpc_pool
        self.metrics = metrics
        self.owner_cache: dict[str, NodeInfo | None] = {}
        """Owners by shard."""
        self.owner_cache_version = -1
        """Version of the nodes for which the cache is valid."""

    def find_shard_owner(self, shard: str) -> NodeInfo | None:
        """Return the node that owns a shard; the result is cached."""
        is_stale = self.owner_cache_version != self.view.nodes_version
        if is_stale or len(self.owner_cache) >= MAX_CACHED_OWNERS:
            self.owner_cache.clear()
            self.owner_cache_version = self.view.nodes_version
        if shard not in self.owner_cache:
            self.owner_cache[shard] = choose_owner_node(
                shard, self.view.get_active_nodes()
            )
        return self.owner_cache[shard]

    async def look_up(self, pieces: list[str]) -> tuple[PieceLocations, ...]:
        """Return each piece's locations; none if its shard's owner does not answer."""
        pieces_by_shard: dict[str, list[str]] = {}
        for piece in pieces:
            pieces_by_shard.setdefault(get_shard(piece), []).append(piece)
        answers = await asyncio.gather(
            *(
                self.look_up_in_shard(shard, shard_pieces)
                for shard, shard_pieces in pieces_by_shard.items()
            )
        )
        locations: dict[str, PieceLocations] = {}
        for answer in answers:
            locations.update(answer)
        return tuple(locations.get(piece, PieceLocations()) for piece in pieces)

    async def look_up_in_shard(
        self, shard: str, pieces: list[str]
    ) -> dict[str, PieceLocations]:
        """Return the locations of one shard's pieces; none if the lookup fails."""
        owner = self.find_shard_owner(shard)
        if owner is None:
            return {}
        try:
            answer = await self.call_shard_owner(owner, Lookup(pieces))
        except LaburnumpitchError:
            self.metrics.count("context.lookup_timeout")
            return {}
        locations = {}
        for piece, holders in zip(pieces, answer.holders):
            blocks = tuple(
                BlockLocation(make_block_ref(piece, block), block.is_on_disk)
                for block in holders.blocks
            )
            locations[piece] = PieceLocations(frozenset(holders.engines), blocks)
        return locations

    async def call_shard_owner(self, owner: NodeInfo, lookup: Lookup) -> LookupAnswer:
        """Send a lookup to a shard's owner, which may be this node.

        Raises:
            LaburnumpitchError: If another node fails or does not answer in time.
        """
        if owner.node_id == self.node_id:
            return self.look_up_locally(lookup)
        return await self.rpc_pool.get(owner.address).call(lookup, LOOKUP_TIMEOUT_S)

    def look_up_locally(self, lookup: Lookup) -> LookupAnswer:
        """Answer a lookup from this node's own shards."""
        return LookupAnswer(
            [self.local_directory.look_up(piece) for piece in lookup.pieces]
        )

    async def on_lookup(self, lookup: Lookup) -> LookupAnswer:
        """Answer another node's lookup."""
        return self.look_up_locally(lookup)

    async def on_report(self, report: TargetReport) -> None:
        """Apply another node's report to this node's shards."""
        self.local_directory.apply_report(report)
        self.metrics.set_gauge("directory.entries", len(self.local_directory))

    def send_report(self, owner: NodeInfo, report: TargetReport) -> None:
        """Send a report to a shard's owner; a report to another node may be lost."""
        if owner.node_id == self.node_id:
            self.local_directory.apply_report(report)
        else:
            self.rpc_pool.get(owner.address).notify(report)
