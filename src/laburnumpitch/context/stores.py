"""Reaches the keeper of a store, which is one of the nodes."""

from __future__ import annotations

from collections.abc import Callable

from ..control.document import ModelSection
from ..errors import NotFoundError, ShardMovedError
from ..membership.messages import Flag, TargetInfo
from ..membership.session import Session
from ..policy.engine_selection import get_rendezvous_weight
from ..transport.rpc import RpcPool
from .keeper import StoreKeeper
from .shards import get_owner
from .store_messages import (
    AbandonBlock,
    FinishBlock,
    ReserveAnswer,
    ReserveBlock,
    UsedBlocks,
)

KEEPER_TIMEOUT_S = 10.0
"""Time for a keeper to make room or to commit a block."""

StoreMessage = ReserveBlock | FinishBlock | AbandonBlock | UsedBlocks


class StoreRouter:
    """Sends messages to the keepers of stores, and answers for its own.

    Args:
        session: The node's session, for its view and configuration.
        pool: Connections to the other nodes.
        is_link_slow: Whether a store's link is slow, as this node's reads show.
    """

    def __init__(
        self,
        session: Session,
        pool: RpcPool,
        is_link_slow: Callable[[TargetInfo], bool],
    ) -> None:
        self.session = session
        self.pool = pool
        self.is_link_slow = is_link_slow
        self.keepers: dict[str, StoreKeeper] = {}
        """Keepers on this node by store."""

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
        """Return the store that a piece belongs in, by rendezvous hash.

        Stores behind slow links get new pieces only if there are no others, so
        that what was recomputed because of a slow link is read over a better one
        the next time.
        """
        stores = self.list_stores(engine_pool)
        fast = [store for store in stores if not self.is_link_slow(store)]
        return max(
            fast or stores,
            key=lambda store: get_rendezvous_weight(piece, store.target_id),
            default=None,
        )

    def get_largest_piece(self) -> int:
        """Return the most tokens that a piece of any model has."""
        configuration = self.session.configuration
        sizes = [
            configuration.get_section(name, ModelSection).piece_tokens
            for name in configuration.section_texts
            if name.startswith("models.")
        ]
        return max(sizes, default=0)

    async def reserve(self, store: TargetInfo, call: ReserveBlock) -> ReserveAnswer:
        """Ask for room."""
        return await self.send(store, call)

    async def finish(self, store: TargetInfo, call: FinishBlock) -> None:
        """Have a written block committed."""
        await self.send(store, call)

    async def abandon(self, store: TargetInfo, call: AbandonBlock) -> None:
        """Have a block freed that was not written whole."""
        await self.send(store, call)

    def note_used(self, store_id: str, pieces: list[str]) -> None:
        """Tell a keeper which pieces were read; the message may be lost."""
        owner = get_owner(f"follow:{store_id}", self.session.view.get_active_nodes())
        if owner is None:
            return
        if owner.node_id == self.session.node.node_id:
            keeper = self.keepers.get(store_id)
            if keeper is not None:
                keeper.note_used(pieces)
        else:
            self.pool.get(owner.address).notify(UsedBlocks(store_id, pieces))

    async def send(self, store: TargetInfo, call: StoreMessage) -> ReserveAnswer | Flag:
        """Send a message to a store's keeper.

        Raises:
            ShardMovedError: If nobody keeps the store.
        """
        owner = get_owner(
            f"follow:{store.target_id}", self.session.view.get_active_nodes()
        )
        if owner is None:
            raise ShardMovedError(f"nobody keeps {store.target_id}")
        if owner.node_id == self.session.node.node_id:
            return await self.handle(call)
        return await self.pool.get(owner.address).call(call, KEEPER_TIMEOUT_S)

    async def handle(self, call: StoreMessage) -> ReserveAnswer | Flag:
        """Answer for a store that this node keeps.

        Raises:
            ShardMovedError: If this node does not keep it.
        """
        keeper = self.keepers.get(call.store_id)
        if keeper is None:
            raise ShardMovedError(f"{call.store_id} is not kept here")
        if isinstance(call, ReserveBlock):
            return await keeper.reserve(call)
        if isinstance(call, FinishBlock):
            return Flag(int(await keeper.finish(call)))
        if isinstance(call, AbandonBlock):
            await keeper.abandon(call.piece, call.generation)
        else:
            keeper.note_used(call.pieces)
        return Flag(1)
