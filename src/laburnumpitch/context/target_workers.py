"""Starts and stops the tasks that serve the targets assigned to this node."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .._tasks import cancel_and_wait, start_loop
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..membership.session import Session
from ..metrics import Metrics
from ..targets.http_engine import HttpEngine
from ..targets.http_store import HttpStore
from ..transport.http_client import HttpClientPool
from .cache_event_collector import CacheEventCollector, EpochGenerator, is_assigned
from .piece_exporter import PieceExporter
from .sharded_directory import ShardedDirectory
from .store_owner import StoreOwner
from .store_router import StoreRouter

MIN_RECONCILE_INTERVAL_S = 0.5
"""Minimum time between two reconciliations, so that one covers many view changes."""


@dataclass
class TargetWorker:
    """The tasks that serve one target."""

    target: TargetInfo
    tasks: list[asyncio.Task[None]]
    reporter: CacheEventCollector | StoreOwner
    """Reports the target's pieces to the directory."""


class TargetWorkers:
    """Runs workers for the engines and stores that are assigned to this node.

    A rendezvous hash assigns each target to one live node.

    Args:
        session: The node's session with the control leader.
        directory: The directory of piece locations over all nodes.
        store_router: Sends messages to the owners of stores.
        http_clients: Connections to targets.
        metrics: Records measurements.
        is_export_enabled: Whether pieces are exported to stores.
    """

    def __init__(
        self,
        session: Session,
        directory: ShardedDirectory,
        store_router: StoreRouter,
        http_clients: HttpClientPool,
        metrics: Metrics,
        is_export_enabled: bool = True,
    ) -> None:
        self.session = session
        self.directory = directory
        self.store_router = store_router
        self.http_clients = http_clients
        self.metrics = metrics
        self.is_export_enabled = is_export_enabled
        self.epoch_generator = EpochGenerator()
        self.workers: dict[str, TargetWorker] = {}
        """Workers by target."""
        self.known_targets: set[str] = set()
        self.known_node_incarnations: set[str] = set()
        """Live nodes at the last reconciliation, as `node_id/incarnation`."""
        self.assignment_cache: dict[str, bool] = {}
        """Whether a target is assigned to this node, for one version of the nodes."""
        self.assignment_cache_version = -1
        self.view_changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.log = get_logger()

    async def start(self) -> None:
        """Start to reconcile the workers with the view."""
        self.session.view.listeners.append(self.view_changed.set)
        self.view_changed.set()
        self.task = start_loop("target_workers", self.run)

    async def close(self) -> None:
        """Stop all workers."""
        await cancel_and_wait(self.task)
        for target_id in list(self.workers):
            await self.stop_worker(target_id)

    async def run(self) -> None:
        """Reconcile the workers whenever the view has changed."""
        while True:
            await self.view_changed.wait()
            self.view_changed.clear()
            await self.reconcile()
            await asyncio.sleep(MIN_RECONCILE_INTERVAL_S)

    async def reconcile(self) -> None:
        """Run workers for exactly the targets that are assigned to this node."""
        view = self.session.view
        targets = view.targets.items
        for target_id in self.known_targets - set(targets):
            self.directory.local_directory.invalidate_target(target_id)
        self.known_targets = set(targets)
        desired_targets = {
            target_id: target
            for target_id, target in targets.items()
            if target.kind in ("engine", "store")
            and self.is_assigned_to_this_node(target)
        }
        for target_id, worker in list(self.workers.items()):
            if desired_targets.get(target_id) != worker.target:
                await self.stop_worker(target_id)
        for target_id, target in desired_targets.items():
            if target_id not in self.workers:
                self.start_worker(target)
        self.request_full_reports_if_nodes_changed()

    def is_assigned_to_this_node(self, target: TargetInfo) -> bool:
        """Whether a target is assigned to this node; the result is cached."""
        view = self.session.view
        if self.assignment_cache_version != view.nodes_version:
            self.assignment_cache.clear()
            self.assignment_cache_version = view.nodes_version
        if target.target_id not in self.assignment_cache:
            node_id = self.session.node.node_id
            self.assignment_cache[target.target_id] = is_assigned(target, view, node_id)
        return self.assignment_cache[target.target_id]

    def request_full_reports_if_nodes_changed(self) -> None:
        """Have all pieces reported again if shards may have new owners."""
        node_incarnations = {
            f"{node.node_id}/{node.incarnation}"
            for node in self.session.view.get_active_nodes()
        }
        if node_incarnations == self.known_node_incarnations:
            return
        self.known_node_incarnations = node_incarnations
        for worker in self.workers.values():
            if isinstance(worker.reporter, CacheEventCollector):
                worker.reporter.request_snapshot()
            else:
                worker.reporter.request_listing()

    def start_worker(self, target: TargetInfo) -> None:
        """Start the tasks that serve a target."""
        client = self.http_clients.get(target.address)
        if target.kind == "store":
            store_owner = StoreOwner(
                target, HttpStore(client), self.directory, self.epoch_generator
            )
            self.store_router.store_owners[target.target_id] = store_owner
            tasks = [start_loop("store_owner", store_owner.run)]
            self.workers[target.target_id] = TargetWorker(target, tasks, store_owner)
            return
        engine = HttpEngine(client)
        exporter = PieceExporter(target, engine, self.store_router, self.metrics)
        on_pieces_added = exporter.enqueue if self.is_export_enabled else ignore_pieces
        collector = CacheEventCollector(
            target, engine, self.directory, self.epoch_generator, on_pieces_added
        )
        tasks = [
            start_loop("cache_event_collector", collector.run),
            start_loop("piece_exporter", exporter.run),
        ]
        self.workers[target.target_id] = TargetWorker(target, tasks, collector)

    async def stop_worker(self, target_id: str) -> None:
        """Stop the tasks that serve a target."""
        worker = self.workers.pop(target_id)
        self.store_router.store_owners.pop(target_id, None)
        await cancel_and_wait(*worker.tasks)


def ignore_pieces(pieces: list[str]) -> None:
    """Do nothing; called for added pieces while export is disabled."""
