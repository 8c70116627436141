"""A node of a fleet: each relays requests, and those with a disk may vote."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import zmq

from ._tasks import cancel_and_wait, start_loop
from .clock_sources import get_boottime_s
from .control.raft_messages import Member
from .errors import SettingsError
from .fleet.bootstrap import ClusterBootstrap
from .fleet.build_registry import BuildRegistry
from .fleet.evacuation_service import EvacuationService
from .fleet.fleet_view import FleetView
from .fleet.founding import ClusterFounding
from .fleet.founding_messages import AcceptFounding, PrepareFounding
from .fleet.leader_client import LeaderClient
from .fleet.leader_service import LeaderService
from .fleet.messages import Hello, NodeRecord
from .fleet.replica_manager import ReplicaManager
from .fleet.rollout_controller import RolloutController
from .fleet.snapshot_file import SnapshotFile
from .fleet.store_owners import list_managed_stores
from .fleet.voter_set import VoterSet
from .fleet_drain import NodeDrain
from .fleet_relay import FleetRelay
from .logging import get_logger
from .metrics import Metrics
from .metrics_server import make_metrics_server
from .platform.configuration import decode_configuration
from .platform.control_api import ControlApi, ReadinessApi
from .platform.settings_file import FleetSettings, read_settings, split_address
from .platform.target_client import PlatformEngineClient, PlatformStoreClient
from .policy.client_budget import make_sizes
from .relay.coordinator import make_assignment_key
from .transport.body_budget import BODY_BUDGET
from .transport.client_gate import ClientGate
from .transport.http_server import HttpServer
from .transport.rpc import RpcPool, RpcServer
from .transport.server_limits import ServerLimits

SEED_CHECK_INTERVAL_S = 0.5
"""Interval of checks for changed seeds, for a lost leader, and for seeds that do not
subscribe to the leader."""


class FleetNode:
    """A process of a fleet, with all its components.

    Args:
        settings: Settings as read at the start.
        settings_path: Settings file, which is read again after each change.
    """

    def __init__(self, settings: FleetSettings, settings_path: str) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_mtime_s = 0.0
        self.log = get_logger()
        self.metrics = Metrics()
        self.is_stopping = False
        self.current_seeds = settings.seed_hosts
        rpc_address = f"{settings.host}:{settings.rpc_port}"
        self.node_record = NodeRecord(
            settings.host,
            settings.node_id,
            rpc_address,
            settings.control_address,
            settings.data_centre,
            bool(settings.data_folder),
            knows_builds=True,
            knows_evacuations=True,
        )
        self.zmq_context = zmq.Context()
        self.rpc_pool = RpcPool(self.zmq_context)
        self.rpc_server = RpcServer(self.zmq_context, settings.host, settings.rpc_port)
        self.leader_client = LeaderClient(
            self.rpc_pool, settings.seed_hosts or (settings.host,), settings.rpc_port
        )
        self.fleet_view = FleetView(
            self.node_record,
            self.leader_client,
            decode_configuration,
            settings.announce_interval_s,
            get_boottime_s,
        )
        self.founding = ClusterFounding(
            settings.host,
            settings.seed_hosts,
            settings.is_first_start,
            Path(settings.data_folder) if settings.data_folder else None,
            self.rpc_pool,
            settings.rpc_port,
        )
        self.bootstrap = ClusterBootstrap(
            self.node_record,
            settings.seed_hosts,
            self.founding.may_found,
            settings.tolerated_losses,
            self.founding,
            self.rpc_pool,
            settings.rpc_port,
            self.fleet_view.make_snapshot,
            self.fleet_view.apply_snapshot,
            get_boottime_s,
        )
        self.replica_manager = self.make_replica_manager()
        self.engine_client = PlatformEngineClient()
        self.store_client = PlatformStoreClient()
        self.leader_service = LeaderService(
            self.replica_manager,
            self.get_leader_hint,
            settings.control_address,
            decode_configuration,
            self.fleet_view.has_cold_limit,
        )
        self.evacuation_service = EvacuationService(
            self.leader_service.require_leader_state,
            self.list_data_centres,
            lambda: self.fleet_view.configuration is not None,
        )
        self.relay = FleetRelay(
            settings,
            self.fleet_view,
            self.store_client,
            self.engine_client,
            self.leader_client,
            self.rpc_pool,
            self.metrics,
        )
        self.engine_client.on_leaving = self.relay.services.record_leaving
        self.engine_client.on_cold = self.relay.services.record_cold
        self.make_servers()

    def make_replica_manager(self) -> ReplicaManager | None:
        """Return the manager of this node's replica, or None without a disk."""
        if not self.settings.data_folder:
            return None
        return ReplicaManager(
            self.node_record,
            Path(self.settings.data_folder),
            self.rpc_pool,
            self.bootstrap,
            self.leader_client,
            VoterSet(self.settings.tolerated_losses, self.settings.catch_up_s),
            self.metrics,
            self.settings.announce_interval_s,
            self.list_assignment_names,
            self.fleet_view.get_facts,
            self.list_members,
            self.fleet_view.is_known_service,
            self.fleet_view.targets.entries.values,
            get_boottime_s,
        )

    def list_assignment_names(self) -> list[str]:
        """Return the names of assignments: of store owners and service coordinators."""
        configuration = self.fleet_view.configuration
        if configuration is None:
            return []
        stores = sorted(
            list_managed_stores(configuration),
            key=lambda store: (-store.capacity_tokens, store.address),
        )
        store_names = [store.address for store in stores]
        return store_names + [make_assignment_key(s) for s in self.list_services()]

    def list_data_centres(self) -> set[str]:
        """Return the data centres of the settings, the stores and known targets."""
        names = {*self.settings.regions_by_data_centre, self.settings.data_centre}
        names.update(r.data_centre for r in self.fleet_view.targets.get_records())
        configuration = self.fleet_view.configuration
        if configuration is not None:
            names.update(s.store.data_centre for s in configuration.stores)
        return names

    def list_resumable_services(self) -> list[str]:
        """Return the services whose streams may go on at another target."""
        configuration = self.fleet_view.configuration
        return list(configuration.resumable_services) if configuration else []

    def list_services(self) -> list[str]:
        """Return the names of the configured services that have targets."""
        configuration = self.fleet_view.configuration
        if configuration is None:
            return []
        return [s.name for s in configuration.services if s.store is None]

    def make_servers(self) -> None:
        """Make the HTTP servers for clients, the platform, operators and metrics."""
        settings = self.settings
        control_api = ControlApi(
            self.leader_client,
            lambda: self.fleet_view.has_leader_contact,
            self.relay.explainer.explain,
        )
        ready_api = ReadinessApi(self.is_ready)
        self.client_gate = gate = ClientGate(
            make_sizes(settings.memory_bytes, settings.max_descriptors),
            self.metrics.count,
        )
        self.client_server = HttpServer(
            *split_address(settings.client_address), self.relay.api.handle, gate=gate
        )
        self.control_server = HttpServer(
            *split_address(settings.control_address), control_api.handle, gate=gate
        )
        self.ready_server = HttpServer(
            *split_address(settings.readiness_address), ready_api.handle, gate=gate
        )
        self.metrics_server = make_metrics_server(
            settings.host, settings.metrics_port, self.metrics, gate
        )
        self.http_servers = [
            self.client_server,
            self.control_server,
            self.ready_server,
            self.metrics_server,
        ]

    async def start(self) -> None:
        """Start all components, the HTTP servers last."""
        settings = self.settings
        self.log.info(
            "node_starting",
            host=settings.host,
            data_centre=settings.data_centre,
            first_start=settings.is_first_start,
            has_disk=self.node_record.has_disk,
            seeds=",".join(settings.seed_hosts),
        )
        BODY_BUDGET.gate = self.client_gate
        self.fleet_view.on_change.append(self.apply_client_limits)
        self.rpc_server.on(Hello, self.bootstrap.on_hello)
        self.rpc_server.on(PrepareFounding, self.founding.on_prepare)
        self.rpc_server.on(AcceptFounding, self.founding.on_accept)
        self.founding.start()
        self.relay.register(self.rpc_server)
        self.leader_service.register(self.rpc_server)
        self.evacuation_service.register(self.rpc_server)
        await self.rpc_server.start()
        if self.replica_manager is not None:
            self.snapshot_file = SnapshotFile(
                self.replica_manager.folder, self.fleet_view
            )
            self.snapshot_file.load()
            await self.replica_manager.start()
            self.snapshot_task = start_loop("snapshot_file", self.snapshot_file.run)
            self.rollout_controller = RolloutController(
                self.replica_manager,
                self.engine_client,
                settings.order_lease_s,
                settings.outdated_weights_s,
                get_boottime_s,
            )
            self.rollout_task = start_loop(
                "rollout_controller", self.rollout_controller.run
            )
            registry = BuildRegistry(
                self.replica_manager, self.list_resumable_services, get_boottime_s
            )
            self.registry_task = start_loop("build_registry", registry.run)
        await self.fleet_view.start()
        self.bootstrap_task = start_loop("bootstrap", self.run_bootstrap)
        for server in self.http_servers:
            await server.start()
        self.log.info("node_started", node=settings.node_id)

    async def run_bootstrap(self) -> None:
        """Find or create the cluster, then keep the seeds and the hosts up to date."""
        await self.bootstrap.join(lambda: self.fleet_view.has_leader_contact)
        self.leader_client.set_hosts(
            [
                *self.leader_client.replica_names,
                *(member.name for member in self.bootstrap.members),
            ]
        )
        while True:
            self.bootstrap.members = self.fleet_view.members or self.bootstrap.members
            has_contact = self.fleet_view.has_leader_contact
            await self.bootstrap.notify_seeds(
                self.fleet_view.hosts if has_contact else ()
            )
            await asyncio.sleep(SEED_CHECK_INTERVAL_S)
            self.rpc_pool.close_idle()
            # The settings file may change without a signal.
            self.reload_seed_hosts()
            if not self.fleet_view.has_leader_contact:
                self.leader_client.set_hosts(
                    [
                        *self.current_seeds,
                        *self.leader_client.replica_names,
                        *self.fleet_view.hosts,
                    ]
                )

    def get_leader_hint(self) -> str:
        """Return the host of the leader, or an empty string if it is unknown."""
        replica_manager = self.replica_manager
        if replica_manager is not None and replica_manager.replica is not None:
            hint = replica_manager.replica.get_leader_name()
            if hint:
                return hint
        return (
            self.leader_client.leader_name if self.fleet_view.has_leader_contact else ""
        )

    def list_members(self) -> list[Member]:
        """Return the members that the leader has published; none without a leader."""
        return self.fleet_view.members if self.fleet_view.has_leader_contact else []

    def apply_client_limits(self) -> None:
        """Apply the configuration's limits to the server for clients."""
        configuration = self.fleet_view.configuration
        if configuration is not None:
            limits = configuration.limits
            self.client_server.set_limits(
                ServerLimits(
                    limits.header_bytes,
                    limits.body_bytes,
                    limits.header_timeout_s,
                    limits.idle_timeout_s,
                )
            )

    def is_ready(self) -> bool:
        """Whether this node accepts new clients."""
        return self.fleet_view.configuration is not None and not self.is_stopping

    def reload_seed_hosts(self) -> None:
        """Apply a change of the seeds, or of the regions, in the settings file."""
        try:
            mtime_s = os.stat(self.settings_path).st_mtime
            if mtime_s == self.settings_mtime_s:
                return
            self.settings_mtime_s = mtime_s
            settings = read_settings(self.settings_path)
        except (SettingsError, OSError) as error:
            self.log.error("reload_failed", detail=str(error))
            return
        self.relay.region_rules.update(settings.regions_by_data_centre)
        new_seeds = settings.seed_hosts
        if new_seeds != self.current_seeds:
            self.log.info("seeds_changed", seeds=",".join(new_seeds))
            self.current_seeds = new_seeds
            self.bootstrap.seeds = new_seeds

    async def drain(self) -> None:
        """Report not ready, then wait until the client connections are closed."""
        self.is_stopping = True
        stop_deadline = self.relay.services.stop_deadline
        grace_s = self.settings.termination_grace_s
        await NodeDrain(self.client_server, stop_deadline, grace_s).run()

    async def close(self) -> None:
        """Stop all components."""
        self.bootstrap_task.cancel()
        await asyncio.gather(*(server.close() for server in self.http_servers))
        self.client_gate.shut_down()
        BODY_BUDGET.gate = None
        await self.fleet_view.close()
        if self.replica_manager is not None:
            await cancel_and_wait(
                self.rollout_task, self.registry_task, self.snapshot_task
            )
            await self.replica_manager.close()
        self.engine_client.close()
        await self.relay.close()
        self.store_client.close()
        await self.rpc_server.close()
        self.rpc_pool.close()
        self.zmq_context.term()
        self.log.info("node_stopped", node=self.settings.node_id)
