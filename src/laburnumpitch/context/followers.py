"""Starts and stops this node's collectors, exporters and keepers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .._tasks import cancel_and_wait
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..membership.session import Session
from ..metrics import Metrics
from ..targets.http_engine import HttpEngine
from ..targets.http_store import HttpStore
from ..transport.http_client import HttpClientPool
from .collector import EngineCollector, EpochSource, is_assigned
from .exporter import Exporter
from .keeper import StoreKeeper
from .shards import Shards
from .stores import StoreRouter

SETTLE_S = 0.5
"""Time for which changes of the view are gathered."""


@dataclass
class Follower:
    """The tasks that follow one target."""

    target: TargetInfo
    tasks: list[asyncio.Task[None]]
    source: EngineCollector | StoreKeeper


class Followers:
    """Follows the engines and stores that are this node's by rendezvous hash.

    Args:
        session: The node's session.
        shards: The directory over all nodes.
        stores: The stores and their keepers.
        http: Connections to targets.
        metrics: Where measurements go.
        has_export: Whether pieces are exported to stores.
    """

    def __init__(
        self,
        session: Session,
        shards: Shards,
        stores: StoreRouter,
        http: HttpClientPool,
        metrics: Metrics,
        has_export: bool = True,
    ) -> None:
        self.session = session
        self.shards = shards
        self.stores = stores
        self.http = http
        self.metrics = metrics
        self.has_export = has_export
        self.epochs = EpochSource()
        self.followers: dict[str, Follower] = {}
        self.known_targets: set[str] = set()
        self.known_nodes: set[str] = set()
        self.assigned: dict[str, bool] = {}
        """Whether a target is this node's, for one version of the nodes."""
        self.assigned_version = -1
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.log = get_logger()

    async def start(self) -> None:
        """Begin to follow changes of the view."""
        self.session.view.listeners.append(self.changed.set)
        self.changed.set()
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop following."""
        await cancel_and_wait(self.task)
        for target_id in list(self.followers):
            await self.stop(target_id)

    async def run(self) -> None:
        """Adapt to the view whenever it changed."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            await self.adapt()
            await asyncio.sleep(SETTLE_S)

    async def adapt(self) -> None:
        """Follow exactly the targets that are this node's now."""
        view = self.session.view
        targets = view.targets.items
        for target_id in self.known_targets - set(targets):
            self.shards.directory.forget_target(target_id)
        self.known_targets = set(targets)
        wanted = {
            target_id: target
            for target_id, target in targets.items()
            if target.kind in ("engine", "store") and self.is_mine(target)
        }
        for target_id, follower in list(self.followers.items()):
            if wanted.get(target_id) != follower.target:
                await self.stop(target_id)
        for target_id, target in wanted.items():
            if target_id not in self.followers:
                self.follow(target)
        self.refresh_if_nodes_changed()

    def is_mine(self, target: TargetInfo) -> bool:
        """Whether this node follows a target."""
        view = self.session.view
        if self.assigned_version != view.nodes_version:
            self.assigned.clear()
            self.assigned_version = view.nodes_version
        if target.target_id not in self.assigned:
            node_id = self.session.node.node_id
            self.assigned[target.target_id] = is_assigned(target, view, node_id)
        return self.assigned[target.target_id]

    def refresh_if_nodes_changed(self) -> None:
        """Report everything again if shards may have other owners."""
        nodes = {
            f"{node.node_id}/{node.incarnation}"
            for node in self.session.view.get_active_nodes()
        }
        if nodes == self.known_nodes:
            return
        self.known_nodes = nodes
        for follower in self.followers.values():
            if isinstance(follower.source, EngineCollector):
                follower.source.request_snapshot()
            else:
                follower.source.request_listing()

    def follow(self, target: TargetInfo) -> None:
        """Begin to follow a target."""
        client = self.http.get(target.address)
        if target.kind == "store":
            keeper = StoreKeeper(target, HttpStore(client), self.shards, self.epochs)
            self.stores.keepers[target.target_id] = keeper
            tasks = [asyncio.create_task(keeper.run())]
            self.followers[target.target_id] = Follower(target, tasks, keeper)
            return
        engine = HttpEngine(client)
        exporter = Exporter(target, engine, self.stores, self.metrics)
        on_added = exporter.add if self.has_export else ignore_pieces
        collector = EngineCollector(target, engine, self.shards, self.epochs, on_added)
        tasks = [
            asyncio.create_task(collector.run()),
            asyncio.create_task(exporter.run()),
        ]
        self.followers[target.target_id] = Follower(target, tasks, collector)

    async def stop(self, target_id: str) -> None:
        """Stop following a target."""
        follower = self.followers.pop(target_id)
        self.stores.keepers.pop(target_id, None)
        await cancel_and_wait(*follower.tasks)


def ignore_pieces(pieces: list[str]) -> None:
    """Take pieces that are not exported."""
