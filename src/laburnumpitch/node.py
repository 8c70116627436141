"""A node that has the entry role, the control role or both."""

from __future__ import annotations

import asyncio
import os
import resource
import time
from argparse import Namespace
from pathlib import Path

import zmq

from . import __version__
from .context.local_directory import LocalDirectory, Lookup, TargetReport
from .context.sharded_directory import ShardedDirectory
from .context.store_messages import AbandonBlock, FinishBlock, ReserveBlock, UsedBlocks
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
from .membership.messages import JoinReplica, NodeInfo, ReportTraffic, TrafficReport
from .membership.proposer import Proposer
from .membership.session import Session
from .metrics import Metrics
from .metrics_server import make_metrics_server
from .policy.engine_selection import POLICIES
from .settings import CONTROL_ROLE, ENTRY_ROLE
from .transport.http_client import HttpClientPool
from .transport.http_server import HttpRequest, HttpServer, Responder
from .transport.rpc import TRAFFIC, RpcPool, RpcServer

JOIN_RETRY_INTERVAL_S = 0.3
"""Interval of the requests of a new replica to join the cluster."""

DRAIN_POLL_INTERVAL_S = 0.02
"""Interval of checks whether requests are still in flight."""


class Node:
    """A process with the roles that its settings name.

    Args:
        settings: Checked settings of `laburnumpitch node`.
    """

    def __init__(self, settings: Namespace) -> None:
        self.settings = settings
        self.log = get_logger()
        self.metrics = Metrics()
        self.metrics_server: HttpServer | None = None
        self.control_role: ControlRole | None = None
        self.entry_role: EntryRole | None = None

    async def start(self) -> None:
        """Start the RPC server, the metrics server and the roles.

        Raises:
            LaburnumpitchError: If one of them cannot start.
        """
        settings = self.settings
        self.zmq_context = zmq.Context()
        self.rpc_pool = RpcPool(self.zmq_context)
        self.rpc_server = RpcServer(self.zmq_context, settings.host, settings.rpc_port)
        self.rpc_server.on(ReportTraffic, self.on_report_traffic)
        if settings.metrics_port:
            self.metrics_server = make_metrics_server(
                settings.host, settings.metrics_port, self.metrics
            )
            await self.metrics_server.start()
        try:
            await self.rpc_server.start()
        except zmq.ZMQError as error:
            raise SettingsError(
                f"--rpc-port: {settings.host}:{settings.rpc_port}: {error}"
            ) from error
        self.peers = dict(settings.control_peers)
        if not self.peers:
            self.peers = {settings.node_id: f"{settings.host}:{self.rpc_server.port}"}
        if CONTROL_ROLE in settings.roles:
            self.control_role = ControlRole(self)
            await self.control_role.start()
        if ENTRY_ROLE in settings.roles:
            self.entry_role = EntryRole(self)
            await self.entry_role.start()
        self.log.info(
            "node_started",
            version=__version__,
            roles=",".join(settings.roles),
            rpc_port=self.rpc_server.port,
            pid=os.getpid(),
        )

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""
        if self.entry_role is not None:
            await self.entry_role.drain()

    async def close(self) -> None:
        """Close the roles and the servers in the reverse order of their start."""
        if self.entry_role is not None:
            await self.entry_role.close()
        if self.control_role is not None:
            await self.control_role.close()
        await self.rpc_server.close()
        self.rpc_pool.close()
        self.zmq_context.term()
        self.log.info("node_closed")
        if self.metrics_server is not None:
            await self.metrics_server.close()

    async def on_report_traffic(self, call: ReportTraffic) -> TrafficReport:
        """Return the traffic, CPU time and memory of this process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return TrafficReport(
            TRAFFIC.sent_bytes,
            TRAFFIC.received_bytes,
            TRAFFIC.sent_messages,
            usage.ru_utime + usage.ru_stime,
            get_rss_bytes(),
        )


def get_rss_bytes() -> int:
    """Return the resident set size of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class ControlRole:
    """The control role of a node: a Raft replica and the leader's services.

    Args:
        node: Node that has the role.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.settings = node.settings
        self.log_store = LogStore(Path(node.settings.data_folder))
        self.join_task: asyncio.Task[None] | None = None
        self.log = get_logger()

    async def start(self) -> None:
        """Start the replica and its services; join a cluster with a new replica."""
        settings = self.settings
        is_joining = self.prepare_data_folder()
        other_peers = {
            name: address
            for name, address in self.node.peers.items()
            if name != settings.node_id
        }
        self.replica = Replica(
            self.log_store,
            self.node.rpc_pool,
            other_peers,
            self.node.metrics,
            StateMachine,
            snapshot_threshold_entries=settings.snapshot_entries,
        )
        self.leader_service = LeaderService(self.replica, settings.cluster_id)
        self.leader_service.register(self.node.rpc_server)
        operator_service = OperatorService(
            self.replica, self.leader_service, settings.root_key_hash
        )
        operator_service.register(self.node.rpc_server)
        await self.replica.start()
        await self.leader_service.start()
        self.rollout_controller = RolloutController(self.replica, self.leader_service)
        await self.rollout_controller.start()
        if is_joining:
            self.join_task = asyncio.create_task(self.join_cluster())

    def prepare_data_folder(self) -> bool:
        """Create an identity in an empty folder; return whether it has to join."""
        if self.log_store.has_identity():
            return False
        settings = self.settings
        is_single_node = list(self.node.peers) == [settings.node_id]
        folder = Path(settings.data_folder)
        if is_single_node:
            initialise_data_folder(
                folder, settings.cluster_id, settings.node_id, self.node.peers
            )
        else:
            replica_id = make_unique_replica_id(settings.node_id)
            create_identity(folder, settings.cluster_id, replica_id, [])
        return not is_single_node

    async def join_cluster(self) -> None:
        """Send the leader requests to join until this replica is a voter."""
        identity = self.log_store.load_identity()
        name = self.settings.node_id
        call = JoinReplica(
            identity.cluster_id,
            identity.replica_id,
            name,
            self.node.peers[name],
        )
        other_peers = {
            peer: address for peer, address in self.node.peers.items() if peer != name
        }
        control_client = ControlClient(self.node.rpc_pool, other_peers)
        while True:
            try:
                if (await control_client.call(call, 10.0)).is_voter:
                    self.log.info("replica_joined", replica=identity.replica_id)
                    return
            except LaburnumpitchError as error:
                self.log.info("join_failed", code=error.code, detail=error.detail)
            await asyncio.sleep(JOIN_RETRY_INTERVAL_S)

    async def close(self) -> None:
        """Stop the components in the reverse order of their start."""
        if self.join_task is not None:
            self.join_task.cancel()
        await self.rollout_controller.close()
        await self.leader_service.close()
        await self.replica.close()


def initialise_data_folder(
    folder: Path, cluster_id: str, node_id: str, peers: dict[str, str]
) -> None:
    """Prepare the data folder of one of a cluster's first replicas.

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


class EntryRole:
    """The entry role of a node: accepts callers' requests over HTTP.

    Args:
        node: Node that has the role.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.settings = node.settings
        self.log = get_logger()

    async def start(self) -> None:
        """Bind the HTTP port, then start the components of the role."""
        settings = self.settings
        node = self.node
        self.http_server = HttpServer(settings.host, settings.http_port, self.handle)
        try:
            # The session announces the bound port, and the gateway needs the session.
            await self.http_server.start()
        except OSError as error:
            raise SettingsError(
                f"--http-port: {settings.host}:{settings.http_port}: {error.strerror}"
            ) from error
        self.proposer = Proposer(node.rpc_pool, node.peers)
        self.session = Session(self.proposer, self.make_node_info(), node.metrics)
        self.http_clients = HttpClientPool()
        view = self.session.view
        self.directory = ShardedDirectory(
            settings.node_id, LocalDirectory(), view, node.rpc_pool, node.metrics
        )
        tracker = TargetTracker(view)
        self.store_router = StoreRouter(
            self.session, node.rpc_pool, tracker.is_link_slow
        )
        self.inflight_table = InflightTable()
        self.quota_client = QuotaClient(settings.node_id, self.proposer)
        self.services = EntryServices(
            self.session,
            self.proposer,
            self.http_clients,
            self.directory,
            tracker,
            self.quota_client,
            QuarantineClient(self.session, self.proposer),
            InflightLimiter(settings.node_id, self.inflight_table, view, node.rpc_pool),
            POLICIES[settings.policy](),
            node.metrics,
            self.store_router,
        )
        self.target_workers = TargetWorkers(
            self.session,
            self.directory,
            self.store_router,
            self.http_clients,
            node.metrics,
            is_export_enabled=settings.export == "on",
        )
        self.gateway = Gateway(
            self.services, settings.announce_key, settings.deadline_ms / 1000
        )
        self.register_handlers()
        view.listeners.append(self.close_unused_connections)
        await self.session.start()
        await self.quota_client.start()
        await self.target_workers.start()

    def make_node_info(self) -> NodeInfo:
        """Return this node's record for the cluster's view."""
        settings = self.settings
        rpc_address = f"{settings.host}:{self.node.rpc_server.port}"
        http_address = f"{settings.host}:{self.http_server.port}"
        return NodeInfo(
            settings.node_id,
            time.time_ns() // 1_000_000,
            settings.advertise_rpc or rpc_address,
            settings.advertise_http or http_address,
            settings.data_centre,
        )

    def close_unused_connections(self) -> None:
        """Close connections to nodes and targets that are gone."""
        view = self.session.view
        nodes = {node.address for node in view.nodes.items.values()}
        self.node.rpc_pool.retain(nodes | set(self.node.peers.values()))
        self.http_clients.retain(
            {target.address for target in view.targets.items.values()}
        )

    def register_handlers(self) -> None:
        """Register the handlers of messages from other nodes."""
        rpc_server = self.node.rpc_server
        rpc_server.on(Lookup, self.directory.on_lookup)
        rpc_server.on(TargetReport, self.directory.on_report)
        rpc_server.on(EnterFlight, self.inflight_table.handle_enter)
        rpc_server.on(LeaveFlight, self.inflight_table.handle_leave)
        for message_type in (ReserveBlock, FinishBlock, AbandonBlock, UsedBlocks):
            rpc_server.on(message_type, self.store_router.handle)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Pass a request to the gateway."""
        await self.gateway.handle(request, responder)

    async def drain(self) -> None:
        """Refuse new requests, then wait for those in flight."""
        settings = self.settings
        self.services.is_draining = True
        self.session.start_draining()
        self.log.info("drain_started", inflight=self.gateway.inflight)
        await asyncio.sleep(settings.drain_grace_s)
        self.http_server.stop_accepting()
        deadline_s = time.monotonic() + settings.drain_timeout_s
        while self.http_server.active_requests or self.services.background_tasks:
            if time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.http_server.close_idle()
        self.log.info("drain_ended", inflight=self.gateway.inflight)

    async def close(self) -> None:
        """Stop the components in the reverse order of their start."""
        await self.http_server.close()
        await self.target_workers.close()
        await self.services.close()
        await self.quota_client.close()
        await self.session.close()
        self.http_clients.close()
