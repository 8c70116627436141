"""`laburnumpitch explain` on real processes, compared with the next real choice."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from unittest import mock

import msgspec
import testtools

from harness.process import Process
from harness.soak.fleet import SoakFleet, make_run_folder
from laburnumpitch.transport.http_client import HttpClient
from standins.platform_target import Journal, PlatformTarget

from .fleet_case import POLL_INTERVAL_S, WAIT_S

HOST = "shop.example"
KEY = "key-of-the-restricted"
MODEL = "m"
DATA_CENTRES = ("west-1", "east-1", "east-2")
SESSIONS = 4
ENGINE = {
    "slots": 16,
    "kv_capacity": 100_000,
    "kv_bytes": 1,
    "link_mbps": 1000.0,
    "models": [{"name": MODEL}],
}
ROUTE = {
    "host": HOST,
    "route_type": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 400,
    "service": "models",
    "sticky": True,
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        ROUTE | {"name": "ask", "path_prefix": "/ask/"},
        ROUTE | {"name": "far", "path_prefix": "/far/", "allowed_regions": ["north"]},
    ],
    "services": [{"name": "models", "engine": ENGINE}],
    "tenants": [{"name": "bound", "api_keys": [KEY], "allowed_regions": ["east"]}],
}


class RegionalFleet(SoakFleet):
    """Real nodes whose settings name regions."""

    def write_settings(self, host: str, is_bootstrap: bool = False) -> None:
        """Write a node's settings file."""
        super().write_settings(host, is_bootstrap)
        path = self.folder / f"{host}.toml"
        zones = ", ".join(f'{name} = "{name[:4]}"' for name in DATA_CENTRES)
        text = path.read_text()
        path.write_text(
            text.replace('zone = "dc"', f'zone = "dc"\nzones = {{{zones}}}')
        )


class ExplainTest(testtools.TestCase):
    """Three nodes, and engines in several data centres."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = make_run_folder()
        self.fleet = RegionalFleet(3, 3, self.folder)
        self.addCleanup(self.fleet.remove_files)
        self.addCleanup(self.fleet.close)
        self.journal = Journal()
        self.targets: list[PlatformTarget] = []
        self.attempts = 0

    def test_agrees_with_the_next_choice(self) -> None:
        """Guards against an explanation that differs from what the node does then."""
        self.fleet.start()
        asyncio.run(self.run_scenario())

    async def run_scenario(self) -> None:
        """Explain requests and send them."""
        try:
            await self.prepare()
            for number in range(SESSIONS):
                host = self.fleet.hosts[number % 3]
                pieces = f"session-{number}:5000,own:100"
                answer = await self.explain(host, "/ask/x", pieces)
                (service,) = answer["services"]
                self.assertEqual("", service["coordinator_error"])
                ruled_out = {
                    target["data_centre"]: target["excluded_by"]
                    for target in service["choice"]["targets"]
                }
                self.assertEqual(
                    {"west-1": "region", "east-1": "", "east-2": ""}, ruled_out
                )
                count = len(self.journal.arrivals)
                status, _ = await self.send(host, "/ask/x", pieces)
                self.assertEqual(200, status)
                (arrival,) = self.journal.arrivals[count:]
                self.assertEqual(service["outcome"]["target_id"], arrival.target_id)
            await self.check_refusal()
        finally:
            for target in self.targets:
                await target.crash()

    async def check_refusal(self) -> None:
        """Explain and send a request for which no target is allowed."""
        host = self.fleet.hosts[0]
        answer = await self.explain(host, "/far/x", "p:10,own:10")
        outcome = answer["services"][0]["outcome"]
        count = len(self.journal.arrivals)
        status, headers = await self.send(host, "/far/x", "p:10,own:10")
        self.assertEqual(("refuse", status), (outcome["action"], outcome["status"]))
        low_s, high_s = outcome["retry_after_s"]
        self.assertTrue(low_s <= float(headers["retry-after"]) <= high_s)
        self.assertEqual(count, len(self.journal.arrivals))
        text = await self.run_command(host, "/far/x", "p:10,own:10")
        self.assertIn("allowed regions none", text)
        self.assertIn("refused (status 503, no_target", text)

    async def prepare(self) -> None:
        """Put the configuration, and start targets until requests reach the engines."""
        body = msgspec.json.encode(CONFIGURATION)
        async with asyncio.timeout(WAIT_S):
            while not await self.put(body):
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
                while not await self.is_ready(host):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def put(self, body: bytes) -> bool:
        """Put the configuration; return whether it is acknowledged."""
        client = HttpClient(self.fleet.list_control_addresses()[0])
        try:
            answer = await client.request(
                "PUT", "/-/configuration", [], body, first_byte_timeout_s=WAIT_S
            )
            await answer.read()
            return answer.status == 200
        except Exception:
            # The node has not started yet.
            return False
        finally:
            client.close()

    async def is_ready(self, host: str) -> bool:
        """Whether a node knows all targets, and asks a coordinator for them."""
        answer = await self.explain(host, "/ask/x", "p:10,own:10")
        if not answer["services"]:
            return False
        (service,) = answer["services"]
        is_used = bool(service["coordinator"]) and not service["coordinator_error"]
        return is_used and len(service["choice"]["targets"]) == len(DATA_CENTRES)

    async def explain(self, host: str, path: str, pieces: str) -> dict:
        """Return an explanation as JSON."""
        return json.loads(await self.run_command(host, path, pieces, "--json"))

    async def run_command(self, host: str, path: str, pieces: str, *flags: str) -> str:
        """Run the command in a process and return its output."""
        arguments = ["-m", "laburnumpitch", "explain", HOST, path]
        arguments += ["--control", f"{host}:{self.fleet.control_port}"]
        arguments += ["--pieces", pieces, "--model", MODEL, *flags]
        self.attempts += 1
        process = Process(f"explain-{self.attempts}", arguments, Path(self.folder))
        with mock.patch.dict(os.environ, LABURNUMPITCH_API_KEY=KEY):
            process.start()
        code = await asyncio.to_thread(process.wait_exit)
        output = process.read_output()
        self.assertEqual(0, code, output)
        self.assertNotIn(KEY, output)
        node = self.fleet.nodes[host]
        self.assertNotIn(KEY, node.read_output())
        return output

    async def send(
        self, host: str, path: str, pieces: str
    ) -> tuple[int, dict[str, str]]:
        """Send a request; return the status and the headers of its answer."""
        self.attempts += 1
        client = HttpClient(f"{host}:{self.fleet.client_port}")
        tokens = sum(int(part.partition(":")[2]) for part in pieces.split(","))
        try:
            answer = await client.request(
                "POST",
                path,
                [
                    ("attempt-id", f"a{self.attempts}"),
                    ("authorization", f"Bearer {KEY}"),
                    ("model", MODEL),
                    ("prefix-hash", pieces),
                    ("token-usage", f"{tokens},0"),
                ],
                b"question",
                first_byte_timeout_s=WAIT_S,
                host=HOST,
            )
            await answer.read()
        finally:
            client.close()
        return answer.status, dict(answer.headers)
