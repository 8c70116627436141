"""Chooses stores for pieces, and sends messages to the nodes that own stores."""

from __future__ import annotations

from collections.abc import Callable

from ..control.document import ModelSection
from ..errors import NotFoundError, ShardMovedError
from ..membership.messages import Flag, TargetInfo
from ..membership.session import Session
from ..policy.engine_selection import get_rendezvous_weight
from ..transport.rpc import RpcPool
from .sharded_directory import choose_owner_node
from .store_messages import (
    AbandonBlock,
    FinishBlock,
    ReserveAnswer,
    ReserveBlock,
    UsedBlocks,
)
from .store_owner import StoreOwner

STORE_OWNER_TIMEOUT_S = 10.0
"""Timeout of a call to a store's owner, which makes space or commits a block."""

StoreMessage = ReserveBlock | FinishBlock | AbandonBlock | UsedBlocks


class StoreRouter:
    """Sends messages to the owners of stores, and handles those for its own stores.

    Args:
        session: The node's session, for its view and configuration.
        rpc_pool: Connections to other nodes.
        is_link_slow: Whether a store's link is slow, estimated from this node's reads.
    """

    def __init__(
        self,
        session: Session,
        rpc_pool: RpcPool,
        is_link_slow: Callable[[TargetInfo], bool],
    ) -> None:
        self.session = session
        self.rpc_pool = rpc_pool
        self.is_link_slow = is_link_slow
        self.store_owners: dict[str, StoreOwner] = {}
        """Owners that run on this node, by store."""

    def list_stores(self, engine_pool: str) -> list[TargetInfo]:
        """Return the stores that an engine pool uses."""
        try:
            pool = self.session.configuration.get_pool(engine_pool)
        except NotFoundError:
            return []
        return (
            self.session.view.get_available_targets(pool.store_pool)
            if pool.store_pool
            else []
        )

    def choose_store(self, engine_pool: str, piece: str) -> TargetInfo | None:
        """Choose the store for a piece by rendezvous hash, or None without stores.

        Stores behind slow links get new pieces only if there are no others. A piece
        that was recomputed because of a slow link is then read over a faster one the
        next time.
        """
        stores = self.list_stores(engine_pool)
        fast_stores = [store for store in stores if not self.is_link_slow(store)]
        return max(
            fast_stores or stores,
            key=lambda store: get_rendezvous_weight(piece, store.target_id),
            default=None,
        )

    def get_max_piece_tokens(self) -> int:
        """Return the largest piece size of all models, in tokens."""
        configuration = self.session.configuration
        piece_sizes = [
            configuration.get_section(name, ModelSection).piece_tokens
            for name in configuration.section_texts
            if name.startswith("models.")
        ]
        return max(piece_sizes, default=0)

    async def reserve(self, store: TargetInfo, call: ReserveBlock) -> ReserveAnswer:
        """Request space from a store's owner."""
        return await self.call_store_owner(store, call)

    async def finish(self, store: TargetInfo, call: FinishBlock) -> None:
        """Have the store's owner commit a written block."""
        await self.call_store_owner(store, call)

    async def abandon(self, store: TargetInfo, call: AbandonBlock) -> None:
        """Have the store's owner free a block that was not written completely."""
        await self.call_store_owner(store, call)

    def report_reads(self, store_id: str, pieces: list[str]) -> None:
        """Report to a store's owner which pieces were read; the message may be lost."""
        owner_node = choose_owner_node(
            f"follow:{store_id}", self.session.view.get_active_nodes()
        )
        if owner_node is None:
            return
        if owner_node.node_id == self.session.node.node_id:
            store_owner = self.store_owners.get(store_id)
            if store_owner is not None:
                store_owner.record_reads(pieces)
        else:
            self.rpc_pool.get(owner_node.address).notify(UsedBlocks(store_id, pieces))

    async def call_store_owner(
        self, store: TargetInfo, call: StoreMessage
    ) -> ReserveAnswer | Flag:
        """Call a store's owner, which may run on this node.

        Raises:
            ShardMovedError: If no node owns the store.
        """
        owner_node = choose_owner_node(
            f"follow:{store.target_id}", self.session.view.get_active_nodes()
        )
        if owner_node is None:
            raise ShardMovedError(f"no node owns store {store.target_id}")
        if owner_node.node_id == self.session.node.node_id:
            return await self.handle(call)
        return await self.rpc_pool.get(owner_node.address).call(
            call, STORE_OWNER_TIMEOUT_S
        )

    async def handle(self, call: StoreMessage) -> ReserveAnswer | Flag:
        """Handle a call for a store that this node owns.

        Raises:
            ShardMovedError: If this node does not own it.
        """
        store_owner = self.store_owners.get(call.store_id)
        if store_owner is None:
            raise ShardMovedError(f"this node does not own store {call.store_id}")
        if isinstance(call, ReserveBlock):
            return await store_owner.reserve(call)
        if isinstance(call, FinishBlock):
            return Flag(int(await store_owner.finish(call)))
        if isinstance(call, AbandonBlock):
            await store_owner.abandon(call.piece, call.generation)
        else:
            store_owner.record_reads(call.pieces)
        return Flag(1)
