"""Collects the cache events of engines and reports them to the directory.

A rendezvous hash assigns each engine to one node. Events arrive late and may have
gaps. After a gap, a restart of the engine or a change of nodes, the engine's
snapshot replaces all earlier reports under a new epoch.
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
from .local_directory import TargetReport
from .pieces import get_shard
from .sharded_directory import ShardedDirectory, choose_owner_node

RETRY_DELAY_S = 0.5
"""Delay after a failed call to an engine."""

SNAPSHOT_INTERVAL_S = 300.0
"""Interval of periodic snapshots, which make up for lost reports."""

MAX_PIECES_PER_REPORT = 2000
"""Maximum number of pieces in one report; a longer list is sent as several reports."""

PieceListener = Callable[[list[str]], None]


class EpochGenerator:
    """Generates epochs that increase even when another node takes over a target.

    Epochs are seconds of wall time. Those of the next node are larger as long as
    the nodes' clocks differ by less than the time that a takeover needs.

    Args:
        get_wall_time_s: Returns the wall time in seconds.
    """

    def __init__(self, get_wall_time_s: Callable[[], float] = time.time) -> None:
        self.get_wall_time_s = get_wall_time_s
        self.latest_epoch = 0

    def next_epoch(self) -> int:
        """Return a new 32-bit epoch."""
        self.latest_epoch = max(
            self.latest_epoch + 1, int(self.get_wall_time_s()) & 0xFFFFFFFF
        )
        return self.latest_epoch


def group_by_shard_owner(
    directory: ShardedDirectory, pieces: list[str]
) -> dict[str, tuple[NodeInfo, list[str]]]:
    """Group pieces by the node that owns their shard.

    Returns:
        Each owner and its pieces, by node id; pieces without an owner are left out.
    """
    groups: dict[str, tuple[NodeInfo, list[str]]] = {}
    for piece in pieces:
        owner = directory.find_shard_owner(get_shard(piece))
        if owner is not None:
            groups.setdefault(owner.node_id, (owner, []))[1].append(piece)
    return groups


class CacheEventCollector:
    """Collects the cache events of one engine.

    Args:
        target: The engine as announced.
        engine: Client of the engine.
        directory: The directory of piece locations over all nodes.
        epoch_generator: Generates the epochs of reports.
        on_pieces_added: Called with pieces that were added to the engine's memory.
    """

    def __init__(
        self,
        target: TargetInfo,
        engine: Engine,
        directory: ShardedDirectory,
        epoch_generator: EpochGenerator,
        on_pieces_added: PieceListener,
    ) -> None:
        self.target = target
        self.engine = engine
        self.directory = directory
        self.epoch_generator = epoch_generator
        self.on_pieces_added = on_pieces_added
        self.epoch = 0
        """Epoch of the latest snapshot."""
        self.last_sequence = 0
        """Sequence number of the latest event or snapshot."""
        self.incarnation = -1
        """The engine's incarnation in the latest snapshot; -1 before the first one."""
        self.needs_snapshot = True
        self.last_snapshot_s = 0.0
        self.log = get_logger()

    async def run(self) -> None:
        """Report snapshots and events until cancelled."""
        while True:
            try:
                is_snapshot_due = (
                    time.monotonic() - self.last_snapshot_s > SNAPSHOT_INTERVAL_S
                )
                if self.needs_snapshot or is_snapshot_due:
                    await self.report_snapshot()
                self.handle_events(await self.engine.get_events(self.last_sequence))
            except LaburnumpitchError as error:
                self.log.info(
                    "events_failed", target=self.target.target_id, code=error.code
                )
                await asyncio.sleep(RETRY_DELAY_S)

    def request_snapshot(self) -> None:
        """Request a snapshot and a full report, because shards may have new owners."""
        self.needs_snapshot = True

    async def report_snapshot(self) -> None:
        """Report a snapshot under a new epoch, which invalidates earlier reports."""
        self.needs_snapshot = False
        snapshot = await self.engine.get_snapshot()
        self.epoch = self.epoch_generator.next_epoch()
        self.last_sequence = snapshot.sequence
        self.incarnation = snapshot.incarnation
        self.last_snapshot_s = time.monotonic()
        groups = group_by_shard_owner(self.directory, snapshot.pieces)
        for node in self.directory.view.get_active_nodes():
            _, pieces = groups.get(node.node_id, (node, []))
            self.report_cached_pieces(node, pieces)
        self.on_pieces_added(snapshot.pieces)

    def report_cached_pieces(self, node: NodeInfo, pieces: list[str]) -> None:
        """Report cached pieces to a shard owner, in batches.

        Without pieces, one empty report is sent, which invalidates entries of
        earlier epochs.
        """
        for start in range(0, max(1, len(pieces)), MAX_PIECES_PER_REPORT):
            batch = pieces[start : start + MAX_PIECES_PER_REPORT]
            report = TargetReport(self.target.target_id, self.epoch, batch, [], {})
            self.directory.send_report(node, report)

    def handle_events(self, event_batch: CacheEvents) -> None:
        """Report events, or request a snapshot after a gap or a restart."""
        if event_batch.incarnation != self.incarnation:
            self.needs_snapshot = True
            return
        for event in event_batch.events:
            if event.sequence != self.last_sequence + 1:
                self.log.info(
                    "events_gap",
                    target=self.target.target_id,
                    expected=self.last_sequence + 1,
                    got=event.sequence,
                )
                self.needs_snapshot = True
                return
            self.last_sequence = event.sequence
        self.report_events(event_batch.events)

    def report_events(self, events: list[CacheEvent]) -> None:
        """Report the latest state of each piece to its shard's owner."""
        is_cached = {event.piece: event.is_added for event in events}
        for owner, pieces in group_by_shard_owner(
            self.directory, list(is_cached)
        ).values():
            added = [piece for piece in pieces if is_cached[piece]]
            removed = [piece for piece in pieces if not is_cached[piece]]
            report = TargetReport(self.target.target_id, self.epoch, added, removed, {})
            self.directory.send_report(owner, report)
        self.on_pieces_added(
            [piece for piece, is_added in is_cached.items() if is_added]
        )


def is_assigned(target: TargetInfo, view: ClusterView, node_id: str) -> bool:
    """Whether the rendezvous hash assigns a target to a node."""
    owner = choose_owner_node(f"follow:{target.target_id}", view.get_active_nodes())
    return owner is not None and owner.node_id == node_id
