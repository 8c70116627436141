"""Follows the cache events of engines and reports them to the directory.

Each engine is followed by one node, found by rendezvous hash. Events come late
and may have gaps; after a gap, a restart or a change of nodes the engine's
snapshot replaces everything reported before, under a new epoch.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from ..errors import LaburnumpitchError
from ..logging import get_logger
from ..membership.cluster_view import ClusterView
from ..membership.messages import NodeInfo, TargetInfo
from ..targets.protocols import CacheEvent, CacheEvents, Engine
from .directory import TargetReport
from .pieces import get_shard
from .shards import Shards, get_owner

RETRY_PAUSE_S = 0.5
"""Pause after a failed call of an engine."""

REFRESH_INTERVAL_S = 300.0
"""Interval of snapshots without a reason, which repair lost reports."""

MAX_REPORT_PIECES = 2000
"""Pieces in one report."""

PieceListener = Callable[[list[str]], None]


class EpochSource:
    """Issues epochs that grow over all nodes that follow a target in turn.

    Epochs are seconds of wall time, so that the next node's are larger, as long
    as clocks differ by less than the time that a takeover needs.
    """

    def __init__(self, get_wall_time_s: Callable[[], float] = time.time) -> None:
        self.get_wall_time_s = get_wall_time_s
        self.latest = 0

    def next(self) -> int:
        """Return a new epoch, in 32 bits."""
        self.latest = max(self.latest + 1, int(self.get_wall_time_s()) & 0xFFFFFFFF)
        return self.latest


def group_by_owner(
    shards: Shards, pieces: list[str]
) -> dict[str, tuple[NodeInfo, list[str]]]:
    """Return pieces by the node that owns their shard."""
    groups: dict[str, tuple[NodeInfo, list[str]]] = {}
    for piece in pieces:
        owner = shards.find_owner(get_shard(piece))
        if owner is not None:
            groups.setdefault(owner.node_id, (owner, []))[1].append(piece)
    return groups


class EngineCollector:
    """Follows one engine.

    Args:
        target: The engine as announced.
        engine: Client of the engine.
        shards: The directory over all nodes.
        epochs: Source of epochs.
        on_added: Called with pieces that came into the engine's memory.
    """

    def __init__(
        self,
        target: TargetInfo,
        engine: Engine,
        shards: Shards,
        epochs: EpochSource,
        on_added: PieceListener,
    ) -> None:
        self.target = target
        self.engine = engine
        self.shards = shards
        self.epochs = epochs
        self.on_added = on_added
        self.epoch = 0
        self.sequence = 0
        self.incarnation = -1
        self.needs_snapshot = True
        self.refreshed_s = 0.0
        self.log = get_logger()

    async def run(self) -> None:
        """Follow the engine until cancelled."""
        while True:
            try:
                is_due = time.monotonic() - self.refreshed_s > REFRESH_INTERVAL_S
                if self.needs_snapshot or is_due:
                    await self.take_snapshot()
                self.take_events(await self.engine.get_events(self.sequence))
            except LaburnumpitchError as error:
                self.log.info(
                    "events_failed", target=self.target.target_id, code=error.code
                )
                await asyncio.sleep(RETRY_PAUSE_S)

    def request_snapshot(self) -> None:
        """Report everything again, since shards have other owners now."""
        self.needs_snapshot = True

    async def take_snapshot(self) -> None:
        """Replace everything reported before."""
        self.needs_snapshot = False
        snapshot = await self.engine.get_snapshot()
        self.epoch = self.epochs.next()
        self.sequence = snapshot.sequence
        self.incarnation = snapshot.incarnation
        self.refreshed_s = time.monotonic()
        groups = group_by_owner(self.shards, snapshot.pieces)
        for node in self.shards.view.get_active_nodes():
            _, pieces = groups.get(node.node_id, (node, []))
            self.send_added(node, pieces)
        self.on_added(snapshot.pieces)

    def send_added(self, node: NodeInfo, pieces: list[str]) -> None:
        """Report pieces in bounded parts; an empty report moves the epoch on."""
        for start in range(0, max(1, len(pieces)), MAX_REPORT_PIECES):
            part = pieces[start : start + MAX_REPORT_PIECES]
            report = TargetReport(self.target.target_id, self.epoch, part, [], {})
            self.shards.send_report(node, report)

    def take_events(self, answer: CacheEvents) -> None:
        """Report events in order, or ask for a snapshot after a gap."""
        if answer.incarnation != self.incarnation:
            self.needs_snapshot = True
            return
        for event in answer.events:
            if event.sequence != self.sequence + 1:
                self.log.info(
                    "events_gap",
                    target=self.target.target_id,
                    expected=self.sequence + 1,
                    got=event.sequence,
                )
                self.needs_snapshot = True
                return
            self.sequence = event.sequence
        self.send_events(answer.events)

    def send_events(self, events: list[CacheEvent]) -> None:
        """Report the last state of each piece to its shard's owner."""
        latest = {event.piece: event.is_added for event in events}
        for owner, pieces in group_by_owner(self.shards, list(latest)).values():
            added = [piece for piece in pieces if latest[piece]]
            removed = [piece for piece in pieces if not latest[piece]]
            report = TargetReport(self.target.target_id, self.epoch, added, removed, {})
            self.shards.send_report(owner, report)
        self.on_added([piece for piece, is_added in latest.items() if is_added])


def is_assigned(target: TargetInfo, view: ClusterView, node_id: str) -> bool:
    """Whether this node follows a target."""
    owner = get_owner(f"follow:{target.target_id}", view.get_active_nodes())
    return owner is not None and owner.node_id == node_id
