"""Real processes and engines in several regions: where requests go, and `explain`."""

from __future__ import annotations

import asyncio
import itertools
import os
from unittest import mock

import msgspec
import testtools

from harness.process import Process
from harness.soak.fleet import SoakFleet, make_run_folder
from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.explain_command import ask_node
from laburnumpitch.transport.http_client import HttpClient
from standins.platform_target import Journal, PlatformTarget

from .fleet_case import POLL_INTERVAL_S, WAIT_S

DATA_CENTRES = ("west-1", "east-1", "east-2")
BOUND, FREE = "key-of-the-restricted", "key-of-the-free"
SESSIONS = 6
"""Sessions of each organisation, at all nodes in turn."""

LINK = {"kv_capacity": 100_000, "kv_bytes": 1, "link_mbps": 1000.0}
ROUTE = {"host": "shop.example", "route_type": "streaming", "timeout_ms": 4000}
ROUTE |= {"target_latency_ms": 400, "service": "models", "sticky": True}
CONFIGURATION = {
    "version": 1,
    "routes": [
        ROUTE | {"name": "ask", "path_prefix": "/ask/"},
        ROUTE | {"name": "far", "path_prefix": "/far/", "allowed_regions": ["north"]},
    ],
    "services": [{"name": "models", "engine": LINK | {"slots": 16}}],
    "tenants": [
        {"name": "bound", "api_keys": [BOUND], "allowed_regions": ["east"]},
        {"name": "free", "api_keys": [FREE]},
    ],
}


class RegionalFleet(SoakFleet):
    """Nodes whose settings name the regions of the data centres."""

    zones = {name: name[:4] for name in DATA_CENTRES}

    def write_settings(self, host: str, is_bootstrap: bool = False) -> None:
        """Write a node's settings file."""
        super().write_settings(host, is_bootstrap)
        path = self.folder / f"{host}.toml"
        zones = ", ".join(f'{name} = "{region}"' for name, region in self.zones.items())
        path.write_text(f"zones = {{{zones}}}\n{path.read_text()}")


class RegionsTest(testtools.TestCase):
    """Three nodes, three engines, and an organisation that is restricted."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = make_run_folder()
        self.fleet = RegionalFleet(3, 3, self.folder)
        self.addCleanup(self.fleet.remove_files)
        self.addCleanup(self.fleet.close)
        self.journal = Journal()
        self.targets: list[PlatformTarget] = []
        self.numbers = itertools.count()

    def test_explained_and_sent(self) -> None:
        """Guards against requests outside their regions, and wrong explanations.

        Each request is explained first, and then goes where the node has said.
        """
        self.fleet.start()
        asyncio.run(self.run_scenario())

    async def run_scenario(self) -> None:
        """Send requests before and after the allowed engines leave."""
        hosts = self.fleet.hosts
        try:
            await self.start_targets()
            for number in range(SESSIONS):
                host = hosts[number % len(hosts)]
                reached = await self.check(host, "/ask/x", BOUND, 200)
                self.assertEqual("east", reached[:4])
                await self.check(host, "/ask/x", FREE, 200)
            await self.check(hosts[0], "/far/x", BOUND, 503)
            await self.check_command(hosts[0])
            await asyncio.gather(*(target.leave(0.0) for target in self.targets[1:]))
            for host in hosts:
                await self.wait_explained(
                    host, lambda choice: len(choice["targets"]) == 1
                )
                await self.check(host, "/ask/x", BOUND, 503)
                await self.check(host, "/ask/x", FREE, 200)
            self.fleet.zones = {"west-1": "east"}
            for host in hosts:
                self.fleet.write_settings(host)
                await self.wait_explained(
                    host, lambda choice: choice["chosen_id"], BOUND
                )
                await self.check(host, "/ask/x", BOUND, 200)
        finally:
            await asyncio.gather(*(target.crash() for target in self.targets))

    async def start_targets(self) -> None:
        """Put the configuration, and start engines until all nodes know them."""
        body = msgspec.json.encode(CONFIGURATION)
        async with asyncio.timeout(WAIT_S):
            while await self.put(body) != 200:
                await asyncio.sleep(POLL_INTERVAL_S)
        for number, data_centre in enumerate(DATA_CENTRES):
            target = PlatformTarget(
                f"e{number}",
                "models",
                True,
                self.fleet.list_control_addresses,
                self.journal,
                frozenset(),
                number,
            )
            target.data_centre = data_centre
            await target.start()
            target.address = f"127.0.0.1:{target.port}"
            self.targets.append(target)
        for host in self.fleet.hosts:
            await self.wait_explained(host, lambda choice: len(choice["targets"]) == 3)

    async def put(self, body: bytes) -> int:
        """Put the configuration and return the status; 0 while the node starts."""
        client = HttpClient(self.fleet.list_control_addresses()[0])
        path = "/-/configuration"
        try:
            answer = await client.request("PUT", path, [], body, first_byte_timeout_s=5)
            await answer.read()
            return answer.status
        except (LaburnumpitchError, OSError):
            return 0
        finally:
            client.close()

    async def wait_explained(self, host: str, condition, key: str = FREE) -> None:
        """Wait until a coordinator's choice, as a node explains it, is as expected."""
        async with asyncio.timeout(WAIT_S):
            while True:
                answer = await self.explain(host, "/ask/x", key, "p:10,own:10")
                for service in answer["services"]:
                    is_used = (
                        service["coordinator"] and not service["coordinator_error"]
                    )
                    if is_used and condition(service["choice"]):
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def explain(self, host: str, path: str, key: str, pieces: str) -> dict:
        """Return a node's explanation of a request."""
        question = {"host": "shop.example", "path": path, "api_key": key}
        address = f"{host}:{self.fleet.control_port}"
        return await ask_node(address, question | {"model": "m", "pieces": pieces})

    async def check(self, host: str, path: str, key: str, expected: int) -> str:
        """Explain and send a request; return the data centre that it reached."""
        number = next(self.numbers)
        pieces = f"session-{number}:5000,own:100"
        answer = await self.explain(host, path, key, pieces)
        outcome = answer["services"][0]["outcome"]
        count = len(self.journal.arrivals)
        client = HttpClient(f"{host}:{self.fleet.client_port}")
        headers = [("attempt-id", f"a{number}"), ("authorization", f"Bearer {key}")]
        headers += [("prefix-hash", pieces), ("model", "m"), ("token-usage", "5100,0")]
        reply = await client.request(
            "POST", path, headers, b"q", first_byte_timeout_s=5, host="shop.example"
        )
        await reply.read()
        client.close()
        arrivals = self.journal.arrivals[count:]
        self.assertEqual(expected, reply.status)
        self.assertEqual(0 if expected == 200 else 503, outcome["status"])
        if expected == 503:
            low_s, high_s = outcome["retry_after_s"]
            delay_s = float(dict(reply.headers)["retry-after"])
            self.assertTrue(low_s <= delay_s <= high_s)
        reached_ids = [arrival.target_id for arrival in arrivals]
        self.assertEqual([outcome["target_id"]] if expected == 200 else [], reached_ids)
        by_id = {target.target_id: target.data_centre for target in self.targets}
        return by_id[reached_ids[0]] if reached_ids else ""

    async def check_command(self, host: str) -> None:
        """Run the command; neither its output nor the node's log has the API key."""
        arguments = ["-m", "laburnumpitch", "explain", "shop.example", "/far/x"]
        arguments += ["--control", f"{host}:{self.fleet.control_port}"]
        process = Process("explain", arguments, self.folder)
        with mock.patch.dict(os.environ, LABURNUMPITCH_API_KEY=BOUND):
            process.start()
        self.assertEqual(0, await asyncio.to_thread(process.wait_exit))
        output = process.read_output()
        self.assertIn("refused (status 503, no_target", output)
        self.assertNotIn(BOUND, output + self.fleet.nodes[host].read_output())
