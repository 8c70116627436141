"""One process of the system: starts and closes the parts of its roles."""

from __future__ import annotations

import asyncio
import os
import resource
import time
from argparse import Namespace
from pathlib import Path

import zmq.asyncio

from . import __version__
from .context.local_directory import LocalDirectory, Lookup, TargetReport
from .context.sharded_directory import ShardedDirectory
from .context.store_messages import (
    AbandonBlock,
    FinishBlock,
    ReserveBlock,
    UsedBlocks,
)
from .context.store_router import StoreRouter
from .context.target_workers import TargetWorkers
from .control.leader import LeaderService
from .control.log_store import (
    LogStore,
    create_identity,
    make_initial_replica_id,
    make_unique_replica_id,
)
from .control.operator_service import OperatorService
from .control.raft_messages import Member
from .control.replica import Replica
from .control.rollout_controller import RolloutController
from .control.state_machine import StateMachine
from .entry.gateway import Gateway
from .entry.inflight_limiter import (
    EnterFlight,
    InflightLimiter,
    InflightTable,
    LeaveFlight,
)
from .entry.quarantine_client import QuarantineClient
from .entry.quota_client import QuotaClient
from .entry.services import EntryServices
from .entry.target_tracker import TargetTracker
from .errors import LaburnumpitchError, SettingsError
from .logging import get_logger
from .membership.control_client import ControlClient
from .membership.messages import (
    JoinReplica,
    NodeInfo,
    ReportTraffic,
    TrafficReport,
)
from .membership.proposer import Proposer
from .membership.session import Session
from .metrics import Metrics
from .metrics_server import make_metrics_server
from .policy.engine_selection import POLICIES
from .settings import CONTROL, ENTRY
from .transport.http_client import HttpClientPool
from .transport.http_server import HttpRequest, HttpServer, Responder
from .transport.rpc import TRAFFIC, RpcPool, RpcServer

JOIN_INTERVAL_S = 0.3
"""Interval at which a replica without data asks to be let in."""

DRAIN_POLL_S = 0.02
"""Interval of looking whether requests are still in flight."""


class Node:
    """One process of the system.

    Args:
        settings: Checked settings of `laburnumpitch node`.
    """

    def __init__(self, settings: Namespace) -> None:
        self.settings = settings
        self.log = get_logger()
        self.metrics = Metrics()
        self.metrics_server: HttpServer | None = None
        self.control_part: ControlPart | None = None
        self.entry_part: EntryPart | None = None

    async def start(self) -> None:
        """Start the parts of the roles.

        Raises:
            LaburnumpitchError: If a part cannot start.
        """
        settings = self.settings
        self.context = zmq.asyncio.Context()
        self.pool = RpcPool(self.context)
        self.server = RpcServer(self.context, settings.host, settings.rpc_port)
        self.server.on(ReportTraffic, self.on_report_traffic)
        if settings.metrics_port:
            self.metrics_server = make_metrics_server(
                settings.host, settings.metrics_port, self.metrics
            )
            await self.metrics_server.start()
        try:
            await self.server.start()
        except zmq.ZMQError as error:
            raise SettingsError(
                f"--rpc-port: {settings.host}:{settings.rpc_port}: {error}"
            ) from error
        self.peers = dict(settings.control_peers)
        if not self.peers:
            self.peers = {settings.node_id: f"{settings.host}:{self.server.port}"}
        if CONTROL in settings.roles:
            self.control_part = ControlPart(self)
            await self.control_part.start()
        if ENTRY in settings.roles:
            self.entry_part = EntryPart(self)
            await self.entry_part.start()
        self.log.info(
            "node_started",
            version=__version__,
            roles=",".join(settings.roles),
            rpc_port=self.server.port,
            pid=os.getpid(),
        )

    async def drain(self) -> None:
        """Let requests in flight finish; take no new ones."""
        if self.entry_part is not None:
            await self.entry_part.drain()

    async def close(self) -> None:
        """Close the parts in reverse order of their start."""
        if self.entry_part is not None:
            await self.entry_part.close()
        if self.control_part is not None:
            await self.control_part.close()
        await self.server.close()
        self.pool.close()
        self.context.term()
        self.log.info("node_closed")
        if self.metrics_server is not None:
            await self.metrics_server.close()

    async def on_report_traffic(self, call: ReportTraffic) -> TrafficReport:
        """Return this process's counters."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return TrafficReport(
            TRAFFIC.sent_bytes,
            TRAFFIC.received_bytes,
            TRAFFIC.sent_messages,
            usage.ru_utime + usage.ru_stime,
            get_rss_bytes(),
        )


def get_rss_bytes() -> int:
    """Return the resident memory of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class ControlPart:
    """The control role of a node.

    Args:
        node: The process.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.settings = node.settings
        self.store = LogStore(Path(node.settings.data_folder))
        self.joiner: asyncio.Task[None] | None = None
        self.log = get_logger()

    async def start(self) -> None:
        """Start the replica, as a new one if the folder is empty."""
        settings = self.settings
        is_joining = self.prepare_folder()
        others = {
            name: address
            for name, address in self.node.peers.items()
            if name != settings.node_id
        }
        self.replica = Replica(
            self.store,
            self.node.pool,
            others,
            self.node.metrics,
            StateMachine,
            snapshot_threshold_entries=settings.snapshot_entries,
        )
        self.leader = LeaderService(self.replica, settings.cluster_id)
        self.leader.register(self.node.server)
        operators = OperatorService(self.replica, self.leader, settings.root_key_hash)
        operators.register(self.node.server)
        await self.replica.start()
        await self.leader.start()
        self.commander = RolloutController(self.replica, self.leader)
        await self.commander.start()
        if is_joining:
            self.joiner = asyncio.create_task(self.join())

    def prepare_folder(self) -> bool:
        """Give an empty folder an identity; return whether it joins a cluster."""
        if self.store.has_identity():
            return False
        settings = self.settings
        is_alone = list(self.node.peers) == [settings.node_id]
        folder = Path(settings.data_folder)
        if is_alone:
            initialise_folder(
                folder, settings.cluster_id, settings.node_id, self.node.peers
            )
        else:
            replica_id = make_unique_replica_id(settings.node_id)
            create_identity(folder, settings.cluster_id, replica_id, [])
        return not is_alone

    async def join(self) -> None:
        """Ask the leader until this replica votes."""
        identity = self.store.load_identity()
        name = self.settings.node_id
        call = JoinReplica(
            identity.cluster_id, identity.replica_id, name, self.node.peers[name]
        )
        others = {
            peer: address for peer, address in self.node.peers.items() if peer != name
        }
        control = ControlClient(self.node.pool, others)
        while True:
            try:
                if (await control.call(call, 10.0)).is_voter:
                    self.log.info("replica_joined", replica=identity.replica_id)
                    return
            except LaburnumpitchError as error:
                self.log.info("join_failed", code=error.code, detail=error.detail)
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def close(self) -> None:
        """Stop in reverse order."""
        if self.joiner is not None:
            self.joiner.cancel()
        await self.commander.close()
        await self.leader.close()
        await self.replica.close()


def initialise_folder(
    folder: Path, cluster_id: str, node_id: str, peers: dict[str, str]
) -> None:
    """Prepare the data folder of a cluster's first replicas.

    Raises:
        SettingsError: If the node is not a peer, or the folder is in use.
    """
    if node_id not in peers:
        raise SettingsError(f"--control-peers does not name {node_id}")
    members = [
        Member(make_initial_replica_id(name, cluster_id), name, address, True)
        for name, address in sorted(peers.items())
    ]
    replica_id = make_initial_replica_id(node_id, cluster_id)
    create_identity(folder, cluster_id, replica_id, members)


class EntryPart:
    """The entry role of a node.

    Args:
        node: The process.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.settings = node.settings
        self.log = get_logger()

    async def start(self) -> None:
        """Start the parts of the entry role, the HTTP server last."""
        settings = self.settings
        node = self.node
        self.server = HttpServer(settings.host, settings.http_port, self.handle)
        try:
            # The port is needed before the session, the gateway after it.
            await self.server.start()
        except OSError as error:
            raise SettingsError(
                f"--http-port: {settings.host}:{settings.http_port}: {error.strerror}"
            ) from error
        self.control = Proposer(node.pool, node.peers)
        self.session = Session(self.control, self.describe(), node.metrics)
        self.http = HttpClientPool()
        view = self.session.view
        self.shards = ShardedDirectory(
            settings.node_id, LocalDirectory(), view, node.pool, node.metrics
        )
        tracker = TargetTracker(view)
        self.stores = StoreRouter(self.session, node.pool, tracker.is_link_slow)
        self.flights = InflightTable()
        self.quota = QuotaClient(settings.node_id, self.control)
        self.services = EntryServices(
            self.session,
            self.control,
            self.http,
            self.shards,
            tracker,
            self.quota,
            QuarantineClient(self.session, self.control),
            InflightLimiter(settings.node_id, self.flights, view, node.pool),
            POLICIES[settings.policy](),
            node.metrics,
            self.stores,
        )
        self.followers = TargetWorkers(
            self.session,
            self.shards,
            self.stores,
            self.http,
            node.metrics,
            is_export_enabled=settings.export == "on",
        )
        self.gateway = Gateway(
            self.services, settings.announce_key, settings.deadline_ms / 1000
        )
        self.register()
        view.listeners.append(self.drop_unused)
        await self.session.start()
        await self.quota.start()
        await self.followers.start()

    def describe(self) -> NodeInfo:
        """Return this node as the others shall see it."""
        settings = self.settings
        rpc = f"{settings.host}:{self.node.server.port}"
        http = f"{settings.host}:{self.server.port}"
        return NodeInfo(
            settings.node_id,
            time.time_ns() // 1_000_000,
            settings.advertise_rpc or rpc,
            settings.advertise_http or http,
            settings.data_centre,
        )

    def drop_unused(self) -> None:
        """Close connections to nodes and targets that are gone."""
        view = self.session.view
        nodes = {node.address for node in view.nodes.items.values()}
        self.node.pool.retain(nodes | set(self.node.peers.values()))
        self.http.retain({target.address for target in view.targets.items.values()})

    def register(self) -> None:
        """Answer the messages of other nodes."""
        server = self.node.server
        server.on(Lookup, self.shards.on_lookup)
        server.on(TargetReport, self.shards.on_report)
        server.on(EnterFlight, self.flights.handle_enter)
        server.on(LeaveFlight, self.flights.handle_leave)
        for message_type in (ReserveBlock, FinishBlock, AbandonBlock, UsedBlocks):
            server.on(message_type, self.stores.handle)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Hand a request to the gateway."""
        await self.gateway.handle(request, responder)

    async def drain(self) -> None:
        """Refuse new requests, then wait for those in flight."""
        settings = self.settings
        self.services.is_draining = True
        self.session.start_draining()
        self.log.info("drain_started", inflight=self.gateway.inflight)
        await asyncio.sleep(settings.drain_grace_s)
        self.server.stop_accepting()
        deadline_s = time.monotonic() + settings.drain_timeout_s
        while self.server.active_requests or self.services.background_tasks:
            if time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self.log.info("drain_ended", inflight=self.gateway.inflight)

    async def close(self) -> None:
        """Stop in reverse order."""
        await self.server.close()
        await self.followers.close()
        await self.services.close()
        await self.quota.close()
        await self.session.close()
        self.http.close()
