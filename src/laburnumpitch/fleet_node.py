"""One process of a fleet: every node relays, and those with a disk vote."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path

import zmq.asyncio

from ._tasks import cancel_and_wait
from .clock_sources import get_steady_s
from .errors import SettingsError
from .fleet.core import Core
from .fleet.follower import Follower
from .fleet.founding import Founding
from .fleet.keepers import Keepers, list_managed
from .fleet.leader_client import LeaderClient
from .fleet.leader_service import LeaderService
from .fleet.messages import (
    GrantContext,
    Hello,
    NodeRecord,
    PlaceCall,
    PlaceProgress,
)
from .fleet.snapshot_file import SnapshotFile
from .fleet.weights_commander import WeightsCommander
from .logging import get_logger
from .metrics import Metrics
from .metrics_server import make_metrics_server
from .platform.configuration import decode_configuration
from .platform.control_api import ControlApi, ReadyApi
from .platform.http_headers import HeaderTranslator
from .platform.settings_file import FleetSettings, read_settings
from .platform.target_client import PlatformEngines, PlatformStores
from .relay.board import TargetBoard
from .relay.context_planner import ContextPlanner
from .relay.coordinator import Coordinator, make_duty
from .relay.dispatcher import Dispatcher
from .relay.place_client import PlaceClient
from .relay.relay_api import RelayApi
from .relay.retry_share import RetryShare
from .relay.services import RelayServices
from .relay.target_view import TargetView
from .transport.http_server import HttpServer, ServerLimits
from .transport.rpc import RpcPool, RpcServer

LISTEN_DRAIN_S = 2.6
"""Time after a stop is asked for in which clients may still connect; the balancer
takes a node out after two checks, a second apart."""

DRAIN_RESERVE_S = 0.8
"""Time before the forced end at which what still runs is given up."""

DRAIN_POLL_S = 0.05
"""Interval of looking whether requests are still in flight."""

SEED_CHECK_S = 0.5
"""Interval of looking whether the leader is lost, or seeds do not follow it."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class FleetNode:
    """One process of a fleet.

    Args:
        settings: What the process was told at its start.
        settings_path: File of the settings, read again when they may have changed.
    """

    def __init__(self, settings: FleetSettings, settings_path: str) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_changed_s = 0.0
        self.log = get_logger()
        self.metrics = Metrics()
        self.is_stopping = False
        self.seeds = settings.seed_hosts
        rpc_address = f"{settings.host}:{settings.rpc_port}"
        self.node = NodeRecord(
            settings.host,
            settings.node_id,
            rpc_address,
            settings.control_address,
            settings.data_centre,
            bool(settings.data_folder),
        )
        self.context = zmq.asyncio.Context()
        self.pool = RpcPool(self.context)
        self.rpc = RpcServer(self.context, settings.host, settings.rpc_port)
        self.leader = LeaderClient(
            self.pool, settings.seed_hosts or (settings.host,), settings.rpc_port
        )
        self.follower = Follower(
            self.node,
            self.leader,
            decode_configuration,
            settings.announce_interval_s,
            get_steady_s,
        )
        self.founding = Founding(
            self.node,
            settings.seed_hosts,
            settings.is_first_start,
            self.pool,
            settings.rpc_port,
            self.follower.make_snapshot,
            self.follower.take_snapshot,
            get_steady_s,
        )
        self.core = self.make_core()
        self.engines = PlatformEngines()
        self.stores = PlatformStores()
        self.leader_service = LeaderService(
            self.core,
            self.get_leader_hint,
            settings.control_address,
            decode_configuration,
        )
        self.make_relay()
        self.make_servers()

    def make_core(self) -> Core | None:
        """Return the replica of a node that has a disk."""
        if not self.settings.data_folder:
            return None
        return Core(
            self.node,
            Path(self.settings.data_folder),
            self.pool,
            self.founding,
            self.leader,
            self.metrics,
            self.settings.announce_interval_s,
            self.list_duties,
            lambda: self.follower.keepers,
            get_steady_s,
        )

    def list_duties(self) -> list[str]:
        """Return the stores that need a keeper and the services with places."""
        configuration = self.follower.configuration
        if configuration is None:
            return []
        stores = [size.address for size in list_managed(configuration)]
        services = [s.name for s in configuration.services if s.store is None]
        return stores + [make_duty(service) for service in services]

    def make_relay(self) -> None:
        """Make the parts that serve clients."""
        settings = self.settings
        source = random.Random()
        board = TargetBoard(time.monotonic)
        self.follower.get_loads = board.get_loads
        view = TargetView(self.follower, board, time.monotonic, settings.version_s)
        self.coordinator = Coordinator(view, time.monotonic, source)
        self.places = PlaceClient(
            self.follower,
            self.coordinator,
            self.pool,
            settings.rpc_port,
            self.metrics,
            time.monotonic,
        )
        self.dispatcher = Dispatcher(view, self.places, time.monotonic, source)
        retry_share = RetryShare(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            lambda: self.follower.node_count,
            time.monotonic,
        )
        self.keepers = Keepers(self.follower, self.stores, get_steady_s)
        planner = ContextPlanner(
            self.follower, self.keepers, self.pool, settings.rpc_port, self.metrics
        )
        self.services = RelayServices(
            self.follower,
            self.dispatcher,
            planner,
            board,
            HeaderTranslator(),
            retry_share,
            self.leader,
            self.metrics,
            time.monotonic,
        )
        self.relay = RelayApi(self.services, source)

    def make_servers(self) -> None:
        """Make the servers for clients, the platform and operators."""
        settings = self.settings
        control = ControlApi(self.leader)
        ready = ReadyApi(self.is_ready)
        self.client_server = HttpServer(
            *split_address(settings.client_address), self.relay.handle
        )
        self.control_server = HttpServer(
            *split_address(settings.control_address), control.handle
        )
        self.ready_server = HttpServer(
            *split_address(settings.ready_address), ready.handle
        )
        self.metrics_server = make_metrics_server(
            settings.host, settings.metrics_port, self.metrics
        )
        self.servers = [
            self.client_server,
            self.control_server,
            self.ready_server,
            self.metrics_server,
        ]

    async def start(self) -> None:
        """Start every part."""
        settings = self.settings
        self.log.info(
            "node_starting",
            host=settings.host,
            data_centre=settings.data_centre,
            first_start=settings.is_first_start,
            has_disk=self.node.has_disk,
            seeds=",".join(settings.seed_hosts),
        )
        self.follower.on_change.append(self.set_limits)
        self.rpc.on(Hello, self.founding.on_hello)
        self.rpc.on(GrantContext, self.keepers.on_grant)
        self.rpc.on(PlaceCall, self.coordinator.on_place)
        self.rpc.on(PlaceProgress, self.coordinator.on_progress)
        self.leader_service.register(self.rpc)
        await self.rpc.start()
        if self.core is not None:
            self.snapshot_file = SnapshotFile(self.core.folder, self.follower)
            self.snapshot_file.load()
            await self.core.start()
            self.writing = asyncio.create_task(self.snapshot_file.run())
            self.commander = WeightsCommander(
                self.core,
                self.engines,
                settings.order_lease_s,
                settings.version_s,
                get_steady_s,
            )
            self.commanding = asyncio.create_task(self.commander.run())
            self.follower.on_change.append(self.check_members)
        await self.follower.start()
        self.joining = asyncio.create_task(self.join())
        for server in self.servers:
            await server.start()
        self.log.info("node_started", node=settings.node_id)

    async def join(self) -> None:
        """Find the cluster; ask the seeds again whenever the leader is lost."""
        await self.founding.join(lambda: self.follower.is_in_touch)
        self.leader.set_hosts(
            [
                *self.leader.replica_names,
                *(member.name for member in self.founding.members),
            ]
        )
        while True:
            self.founding.members = self.follower.members or self.founding.members
            is_in_touch = self.follower.is_in_touch
            await self.founding.tell(self.follower.hosts if is_in_touch else ())
            await asyncio.sleep(SEED_CHECK_S)
            # The settings may change without a signal.
            self.reload()
            if not self.follower.is_in_touch:
                self.leader.set_hosts(
                    [*self.seeds, *self.leader.replica_names, *self.follower.hosts]
                )

    def get_leader_hint(self) -> str:
        """Return the host of the leader as far as this node knows."""
        core = self.core
        if core is not None and core.replica is not None:
            hint = core.replica.get_leader_name()
            if hint:
                return hint
        return self.leader.leader_name if self.follower.is_in_touch else ""

    def check_members(self) -> None:
        """Begin anew if this node's replica was replaced."""
        members = self.follower.members
        self.member_check = asyncio.create_task(self.core.check_members(members))

    def set_limits(self) -> None:
        """Put the bounds on clients in force."""
        configuration = self.follower.configuration
        if configuration is not None:
            limits = configuration.limits
            self.client_server.limits = ServerLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def is_ready(self) -> bool:
        """Whether this node takes new clients."""
        return self.follower.configuration is not None and not self.is_stopping

    def reload(self) -> None:
        """Take seeds that have changed in the settings file."""
        try:
            changed_s = os.stat(self.settings_path).st_mtime
            if changed_s == self.settings_changed_s:
                return
            self.settings_changed_s = changed_s
            seeds = read_settings(self.settings_path).seed_hosts
        except (SettingsError, OSError) as error:
            self.log.error("reload_failed", detail=str(error))
            return
        if seeds != self.seeds:
            self.log.info("seeds_changed", seeds=",".join(seeds))
            self.seeds = seeds
            self.founding.seeds = seeds

    async def drain(self) -> None:
        """Say that this node is leaving, and finish what it has."""
        grace_s = self.settings.grace_s - DRAIN_RESERVE_S
        ends_s = time.monotonic() + grace_s
        self.is_stopping = True
        self.client_server.is_draining = True
        self.log.info("node_draining", busy=self.client_server.busy)
        await asyncio.sleep(min(LISTEN_DRAIN_S, grace_s))
        self.client_server.stop_accepting()
        while self.client_server.connections and time.monotonic() < ends_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.log.info("node_drained", busy=self.client_server.busy)

    async def close(self) -> None:
        """Stop every part."""
        self.joining.cancel()
        for server in self.servers:
            await server.close()
        await self.follower.close()
        if self.core is not None:
            await cancel_and_wait(self.commanding, self.writing)
            await self.core.close()
        self.engines.close()
        await self.keepers.close()
        self.stores.close()
        self.dispatcher.close()
        self.places.close()
        self.services.close()
        await self.rpc.close()
        self.pool.close()
        self.context.term()
        self.log.info("node_stopped", node=self.settings.node_id)
