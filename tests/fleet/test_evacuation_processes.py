"""Evacuations at a fleet of real processes that are killed or suspended."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import testtools

from harness.soak.fleet import SoakFleet, make_run_folder
from harness.soak.operator import HOST, SoakOperator
from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.fleet.fleet_view import LEADER_TIMEOUT_S
from laburnumpitch.transport.http_client import HttpClient
from standins.platform_target import Journal, PlatformTarget

from .fleet_case import WAIT_S, wait_until

EVACUATED, OTHER = "dc-b", "dc"
PATH = f"/-/evacuations/{EVACUATED}"

REQUESTS = 20
"""Requests to each node; at random, all would miss one of two targets once in a million
runs."""


class ProcessCase(testtools.TestCase):
    """Base of tests with processes, and a target in each of two data centres."""

    def run_processes(self, scenario) -> None:
        """Start processes and targets, run a scenario and stop them."""
        asyncio.run(self.run_async(scenario))

    async def run_async(self, scenario) -> None:
        """Do so in an event loop."""
        self.fleet = SoakFleet(4, 3, make_run_folder())
        self.journal = Journal()
        targets = [self.make_target(name) for name in (EVACUATED, OTHER)]
        try:
            self.fleet.start()
            for target in targets:
                await target.start()
                target.address = f"127.0.0.1:{target.port}"
            self.operator = SoakOperator(self.fleet, random.Random(1))
            await self.operator.change_configuration()
            await asyncio.to_thread(self.fleet.wait_until_configured)
            await self.send_until({EVACUATED, OTHER})
            await scenario()
        finally:
            for target in targets:
                await target.crash()
            await asyncio.to_thread(self.fleet.close)
        self.fleet.remove_files()

    def make_target(self, data_centre: str) -> PlatformTarget:
        """Return a target of a data centre, not yet started."""
        target = PlatformTarget(
            data_centre,
            "shop-b",
            False,
            self.fleet.list_control_addresses,
            self.journal,
            frozenset(),
            1,
        )
        target.data_centre = data_centre
        return target

    def list_used(self) -> set[str]:
        """Return the data centres whose targets got requests."""
        return {arrival.data_centre for arrival in self.journal.arrivals}

    async def send_until(self, used: set[str]) -> None:
        """Send requests to all nodes until targets of these data centres got some."""
        self.journal.arrivals.clear()
        async with asyncio.timeout(WAIT_S):
            while self.list_used() != used:
                for host in self.fleet.hosts:
                    await self.send(host)

    async def send(self, host: str) -> int:
        """Send a request to a node and return the status, 0 without an answer."""
        client = HttpClient(f"{host}:{self.fleet.client_port}")
        headers = [("attempt-id", "a1"), ("authorization", "Bearer key-north")]
        try:
            answer = await client.request(
                "POST", "/read/x", headers, b"", first_byte_timeout_s=5.0, host=HOST
            )
            await answer.read()
            return answer.status
        except LaburnumpitchError:
            return 0
        finally:
            client.close()


class KilledProcessTest(ProcessCase):
    """Nodes are killed right after an order, and its withdrawal, was acknowledged."""

    scenarios = [
        ("leader", {"kills_all": False, "wipes": False}),
        ("all", {"kills_all": True, "wipes": False}),
        ("wiped_disk", {"kills_all": True, "wipes": True}),
    ]

    def test_change_stays(self) -> None:
        """No request reaches the data centre until the withdrawal, which stays."""

        async def scenario() -> None:
            await self.operator.send_until_acknowledged("POST", PATH)
            await asyncio.to_thread(self.restart_nodes)
            await wait_until(self.have_all_contact)
            self.journal.arrivals.clear()
            for host in self.fleet.hosts:
                for _ in range(REQUESTS):
                    self.assertEqual(200, await self.send(host))
            self.assertEqual({OTHER}, self.list_used())
            await self.operator.send_until_acknowledged("DELETE", PATH)
            await asyncio.to_thread(self.restart_nodes)
            await wait_until(self.have_all_contact)
            await self.send_until({EVACUATED, OTHER})

        self.run_processes(scenario)

    def restart_nodes(self) -> None:
        """Kill the leader or all nodes at once, and start them again."""
        fleet = self.fleet
        leader = fleet.find_leader()
        hosts = fleet.hosts if self.kills_all else [leader]
        for host in hosts:
            fleet.nodes[host].kill()
        if self.wipes:
            fleet.wipe_disk(leader)
        self.counts = {host: fleet.count_contacts(host) for host in hosts}
        for host in hosts:
            fleet.restart(host)

    def have_all_contact(self) -> bool:
        """Whether every restarted node has found a leader since."""
        return all(self.fleet.count_contacts(h) > n for h, n in self.counts.items())


class FrozenProcessTest(ProcessCase):
    """A node is suspended as it gets an order, whose operator keeps the connection."""

    def test_newer_withdrawal_stays(self) -> None:
        """The operator's next calls go to other nodes; the late order is refused."""

        async def scenario() -> None:
            host = self.fleet.hosts[-1]
            self.fleet.freeze(host)
            address = f"{host}:{self.fleet.control_port}"
            client = HttpClient(address)
            late = asyncio.create_task(
                client.request("POST", PATH, [], b"", first_byte_timeout_s=WAIT_S)
            )
            await asyncio.sleep(LEADER_TIMEOUT_S + 0.5)
            self.operator.random = SimpleNamespace(choice=lambda hosts: hosts[0])
            await self.operator.send_until_acknowledged("POST", PATH)
            await self.operator.send_until_acknowledged("DELETE", PATH)
            self.fleet.thaw(host)
            self.assertEqual(503, (await late).status)
            client.close()
            await self.send_until({EVACUATED, OTHER})

        self.run_processes(scenario)
