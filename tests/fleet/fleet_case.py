"""Runs complete nodes of a fleet in one process, each at its own loopback address."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec
import testtools

from harness.ports import release_ports, reserve_port
from laburnumpitch.fleet_node import FleetNode
from laburnumpitch.platform.settings_file import FleetSettings
from laburnumpitch.transport.http_client import HttpClient

WAIT_S = 20.0
"""Time limit for a condition; far more than a machine under load needs."""

POLL_INTERVAL_S = 0.02
"""Interval between checks of a condition, and between attempts of a refused call."""


CATCH_UP_S = 4.0
"""Time that a new node has to replace a lost one."""


def make_configuration(version: int, **changes) -> bytes:
    """Return a configuration with one route."""
    document = {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "shop.example",
                "path_prefix": "/r/",
                "route_type": "idempotent",
                "timeout_ms": 1000,
                "service": "shop",
            }
        ],
        "services": [{"name": "shop"}],
    }
    return msgspec.json.encode(document | changes)


class Fleet:
    """Nodes of one fleet; the first ones have a disk.

    Args:
        node_count: Number of nodes.
        disk_count: Number of nodes with a disk.
        tolerated_losses: Number of nodes with a disk that may be lost at the same time.
    """

    def __init__(
        self, node_count: int, disk_count: int, tolerated_losses: int = 1
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="laburnumpitch-fleet-"))
        self.ports = [reserve_port() for _ in range(5)]
        self.hosts = [f"127.0.1.{number + 1}" for number in range(node_count)]
        self.disk_count = disk_count
        self.tolerated_losses = tolerated_losses
        self.nodes: dict[str, FleetNode] = {}
        self.has_started = False
        self.seeds = tuple(self.hosts[:3])

    def make_settings(self, host: str) -> FleetSettings:
        """Return a node's settings."""
        client, ready, control, rpc, metrics = self.ports
        has_disk = self.hosts.index(host) < self.disk_count
        return FleetSettings(
            node_id=f"node-{host}",
            host=host,
            data_centre="dc",
            client_address=f"{host}:{client}",
            readiness_address=f"{host}:{ready}",
            control_address=f"{host}:{control}",
            rpc_port=rpc,
            metrics_port=metrics,
            seed_hosts=self.seeds,
            is_first_start=not self.has_started,
            data_folder=str(self.folder / host) if has_disk else "",
            announce_interval_s=0.4,
            termination_grace_s=3.0,
            retry_ratio=0.2,
            retry_window_s=10.0,
            retry_slack=50.0,
            outdated_weights_s=12.0,
            order_lease_s=0.5,
            tolerated_losses=self.tolerated_losses,
            catch_up_s=CATCH_UP_S,
        )

    async def start(self, *hosts: str) -> None:
        """Start nodes; all of them by default."""
        for host in hosts or self.hosts:
            node = FleetNode(self.make_settings(host), str(self.folder))
            node.reload_seed_hosts = lambda: None
            self.nodes[host] = node
            await node.start()

    async def stop(self, *hosts: str) -> None:
        """Stop nodes without draining them; all of them by default."""
        self.has_started = True
        for host in hosts or list(self.nodes):
            await self.nodes.pop(host).close()

    def wipe(self, host: str) -> None:
        """Empty a node's disk."""
        shutil.rmtree(self.folder / host)

    async def close(self) -> None:
        """Stop all nodes and remove their files."""
        await self.stop()
        shutil.rmtree(self.folder)
        release_ports(self.ports)

    def get_leader(self) -> FleetNode | None:
        """Return the node that leads."""
        for node in self.nodes.values():
            replica = node.replica_manager.replica if node.replica_manager else None
            if replica is not None and replica.is_leader:
                return node
        return None

    async def call(
        self, host: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Call a node's control interface."""
        client = HttpClient(self.nodes[host].settings.control_address)
        try:
            answer = await client.request(
                method, path, [], body, first_byte_timeout_s=5.0
            )
            return answer.status, await answer.read()
        finally:
            client.close()

    async def put_configuration(self, host: str, body: bytes) -> None:
        """Put a configuration, and again until it is acknowledged, as operators do."""
        while (await self.call(host, "PUT", "/-/configuration", body))[0] == 503:
            await asyncio.sleep(POLL_INTERVAL_S)

    def list_versions(self) -> set[int]:
        """Return the configuration versions in force over all nodes."""
        found = [node.fleet_view.configuration for node in self.nodes.values()]
        return {item.version if item else 0 for item in found}

    def list_voters(self) -> set[str]:
        """Return the hosts of the voters in the leader's members."""
        leader = self.get_leader()
        if leader is None:
            return set()
        core = leader.replica_manager.replica.core
        return {member.name for member in core.members if member.is_voter}


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


class FleetCase(testtools.TestCase):
    """Runs a scenario against a fleet."""

    def run_fleet(
        self, node_count: int, disk_count: int, scenario, tolerated_losses: int = 1
    ) -> None:
        """Start a fleet, run a scenario against it and stop the fleet."""

        async def run() -> None:
            self.fleet = Fleet(node_count, disk_count, tolerated_losses)
            try:
                await scenario(self.fleet)
            finally:
                await self.fleet.close()

        asyncio.run(run())
