"""Exports pieces from engines to stores before the engines evict them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from ..errors import LaburnumpitchError, RpcTimeoutError, ShardMovedError
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..metrics import Metrics
from ..targets.protocols import Engine
from .store_messages import BUSY, RESERVED, AbandonBlock, FinishBlock, ReserveBlock
from .store_router import StoreRouter

MAX_QUEUED_PIECES = 5000
"""Maximum number of one engine's pieces that wait for export; beyond it the oldest are
dropped."""

BUSY_RETRY_DELAY_S = 0.05
"""Delay before the next attempt when a store is busy."""

MAX_ATTEMPTS = 100
"""Maximum number of attempts to export one piece while its store is busy."""

CONCURRENT_EXPORTS = 2
"""Pieces of one engine that are exported at once."""


class PieceExporter:
    """Exports one engine's pieces, the oldest first, because they are evicted first.

    All pieces are exported: whether a piece is used again shows only later, when
    the store evicts the least recently used ones.

    Args:
        target: The engine as announced.
        engine: Client of the engine.
        store_router: Sends messages to the owners of stores.
        metrics: Records measurements.
    """

    def __init__(
        self,
        target: TargetInfo,
        engine: Engine,
        store_router: StoreRouter,
        metrics: Metrics,
    ) -> None:
        self.target = target
        self.engine = engine
        self.store_router = store_router
        self.metrics = metrics
        self.queued_pieces: OrderedDict[str, int] = OrderedDict()
        """Attempts so far by piece, in the order of export."""
        self.queue_not_empty = asyncio.Event()
        self.log = get_logger()

    def enqueue(self, pieces: list[str]) -> None:
        """Queue pieces that were added to the engine's memory."""
        for piece in pieces:
            self.queued_pieces.setdefault(piece, 0)
        while len(self.queued_pieces) > MAX_QUEUED_PIECES:
            self.queued_pieces.popitem(last=False)
        if self.queued_pieces:
            self.queue_not_empty.set()

    async def run(self) -> None:
        """Export queued pieces until cancelled."""
        await asyncio.gather(
            *(self.export_queued_pieces() for _ in range(CONCURRENT_EXPORTS))
        )

    async def export_queued_pieces(self) -> None:
        """Export one queued piece after the other until cancelled."""
        while True:
            if not self.queued_pieces:
                self.queue_not_empty.clear()
                await self.queue_not_empty.wait()
                continue
            piece, attempts = self.queued_pieces.popitem(last=False)
            try:
                is_done = await self.export(piece)
            except (ShardMovedError, RpcTimeoutError):
                is_done = False
            except LaburnumpitchError as error:
                self.log.info(
                    "export_failed",
                    target=self.target.target_id,
                    code=error.code,
                    detail=error.detail,
                )
                is_done = True
            if not is_done and attempts + 1 < MAX_ATTEMPTS:
                self.queued_pieces[piece] = attempts + 1
                await asyncio.sleep(BUSY_RETRY_DELAY_S)

    async def export(self, piece: str) -> bool:
        """Export one piece to its store.

        The model of a piece is not known here, so space is reserved for the largest
        piece of any model.

        Returns:
            False if the store is busy; True if the piece is done: it was exported,
            was stored already, or has no store.

        Raises:
            LaburnumpitchError: If the engine or the store's owner fails.
        """
        store = self.store_router.choose_store(self.target.pool, piece)
        max_length = (
            self.target.kv_bytes_per_token * self.store_router.get_max_piece_tokens()
        )
        if store is None:
            return True
        answer = await self.store_router.reserve(
            store, ReserveBlock(store.target_id, piece, max_length)
        )
        if answer.status == BUSY:
            return False
        if answer.status != RESERVED:
            return True
        try:
            block = await self.engine.export_piece(
                piece, store.address, answer.generation
            )
        except LaburnumpitchError:
            abandon = AbandonBlock(store.target_id, piece, answer.generation)
            await self.store_router.abandon(store, abandon)
            raise
        self.metrics.count("context.exported", block.length)
        await self.store_router.finish(
            store,
            FinishBlock(
                store.target_id, piece, answer.generation, block.length, block.checksum
            ),
        )
        return True
