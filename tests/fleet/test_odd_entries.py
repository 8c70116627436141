"""One odd entry, report or command made nodes lose requests or each other."""

from __future__ import annotations

import asyncio
import json
import time

import msgspec

from laburnumpitch.errors import CodecError, TargetError
from laburnumpitch.fleet.messages import StoreConfiguration, StoreWeights
from laburnumpitch.fleet_node import FleetNode
from laburnumpitch.transport.http_client import HttpClient
from laburnumpitch.transport.http_server import Responder
from standins.platform_target import MODEL, Journal, PlatformTarget

from .fleet_case import WAIT_S, Fleet, FleetCase, make_configuration, wait_until

DAY_MS = 24 * 3600 * 1000
DEEP = b"[" * 900 + b"]" * 900
"""JSON that a decoder reads or refuses, depending on the stack of its caller."""

REQUESTS = 30
"""Requests after the odd entries; enough that each node tries each target."""

ENTRY = {
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "dc",
    "state": "ready",
    "version": "v1",
    "slots": 16,
    "sequence": 1,
    "models": [],
}
"""An entry whose odd value is added; nothing listens at its address."""

ODD_ENTRIES = {
    "port-above-range": {"address": "127.0.0.1:99999"},
    "port-zero": {"address": "127.0.0.1:0"},
    "host-with-an-empty-label": {"address": "a..b:80"},
    "host-outside-ascii": {"address": "é:80"},
    "identifier-%C3%A9": {},
    "identifier-%0D%0Ax": {},
    "sequence-of-400-digits": {"sequence": msgspec.Raw(b"9" * 400)},
    "slots-of-70-bits": {"slots": msgspec.Raw(b"%d" % 2**70)},
    "negative-version": {"models": [{"name": "m", "version": -1}]},
    "deep": {"extra": msgspec.Raw(DEEP)},
    "endless-cold-time": {"cold_remaining_ms": 1e305},
}
"""Odd values by the identifier of the entry, as it is written in the path."""


def list_ended_loops(node: FleetNode) -> list[str]:
    """Return the names of a node's long-lived tasks that have ended."""
    manager = node.replica_manager
    tasks = {
        "fleet view": node.fleet_view.task,
        "publisher": manager.publisher_task,
        "replica manager": manager.join_task,
        "replica": manager.replica.tasks[0],
        "replica ticks": manager.replica.tasks[1],
        "rollout controller": node.rollout_task,
        "snapshot file": node.snapshot_task,
        "bootstrap": node.bootstrap_task,
    }
    ended = [name for name, task in tasks.items() if task.done()]
    # The RPC server receives in a callback of the event loop.
    return ended + ["rpc server"] * node.rpc_server.socket.is_closed


class OddReporter(PlatformTarget):
    """An engine whose report states a weight version of 70 bits."""

    report_count = 0
    """Number of reports that were read."""

    async def send_report(self, responder: Responder) -> None:
        """Send the odd report."""
        self.report_count += 1
        models = [{"name": MODEL, "version": 2**70}]
        report = {"models": models, "busy": False, "sequence": 0}
        await responder.send(200, [], json.dumps(report).encode())


class OddCase(FleetCase):
    """A fleet with sound targets, which something odd is sent to."""

    async def start_target(
        self,
        fleet: Fleet,
        number: int,
        make_target: type[PlatformTarget] = PlatformTarget,
        has_weights: bool = False,
    ) -> PlatformTarget:
        """Start a target and wait until each node knows it."""
        target = make_target(
            f"t{number}",
            "shop",
            has_weights,
            lambda: [n.settings.control_address for n in fleet.nodes.values()],
            Journal(),
            frozenset(),
            number,
        )
        await target.start()
        target.address = f"127.0.0.1:{target.port}"
        self.targets.append(target)
        await wait_until(lambda: self.is_known(fleet, target))
        return target

    def is_known(self, fleet: Fleet, target: PlatformTarget) -> bool:
        """Whether each node knows a target that is not gone."""
        return all(
            target.target_id
            in {record.target_id for record in node.fleet_view.targets.get_records()}
            for node in fleet.nodes.values()
        )

    async def put_entry(self, fleet: Fleet, number: int, path: str, body: bytes) -> int:
        """Put an entry at one of the nodes; return the status, 0 without an answer."""
        host = fleet.hosts[number % len(fleet.hosts)]
        try:
            status, _ = await fleet.call(host, "PUT", f"/-/instances/{path}", body)
        except TargetError:
            return 0
        return status

    async def send(self, fleet: Fleet, number: int) -> int:
        """Send a request at one of the nodes; return the status, 0 without an answer.

        A refusal that states that it was not run is repeated, as clients do.
        """
        host = fleet.hosts[number % len(fleet.hosts)]
        client = HttpClient(fleet.nodes[host].settings.client_address)
        headers = [("attempt-id", f"a{number}"), ("deadline-ms", "3000")]
        status = 503
        try:
            while status == 503:
                answer = await client.request(
                    "POST",
                    "/r/x",
                    headers,
                    b"x",
                    first_byte_timeout_s=5.0,
                    host="shop.example",
                )
                await answer.read()
                status = answer.status
            return status
        except TargetError:
            return 0
        finally:
            client.close()

    def run_with_targets(self, scenario) -> None:
        """Run a scenario on a fleet with a configuration and two sound targets."""

        async def run(fleet: Fleet) -> None:
            self.targets: list[PlatformTarget] = []
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(1))
            try:
                for number in range(2):
                    await self.start_target(fleet, number)
                await scenario(fleet)
                for node in fleet.nodes.values():
                    self.assertEqual([], list_ended_loops(node))
            finally:
                for target in self.targets:
                    await target.crash()

        self.run_fleet(3, 3, run)


class OddEntryTest(OddCase):
    """Odd entries are put at the nodes among those of sound targets."""

    def test_requests_are_served(self) -> None:
        """Each odd entry is refused, and no request is sent to one."""

        async def scenario(fleet: Fleet) -> None:
            statuses = {}
            for number, (path, changes) in enumerate(ODD_ENTRIES.items()):
                entry = {**ENTRY, "born": int(time.time() * 1000), **changes}
                body = msgspec.json.encode(entry)
                statuses[path] = await self.put_entry(fleet, number, path, body)
            served = await asyncio.gather(
                *(self.send(fleet, number) for number in range(REQUESTS))
            )
            self.assertEqual([200] * REQUESTS, served)
            self.assertEqual(dict.fromkeys(ODD_ENTRIES, 400), statuses)
            await self.start_target(fleet, 2)
            self.assertTrue(all(self.is_known(fleet, t) for t in self.targets))

        self.run_with_targets(scenario)

    def test_sound_targets_stay(self) -> None:
        """An entry from the far future neither replaces a target nor hides it."""

        async def scenario(fleet: Fleet) -> None:
            sound = self.targets[0]
            future_ms = int(time.time() * 1000) + 2 * DAY_MS
            entry = {**ENTRY, "address": sound.address, "born": future_ms}
            body = msgspec.json.encode(entry)
            for number, path in enumerate(("other", sound.target_id)):
                self.assertEqual(400, await self.put_entry(fleet, number, path, body))
            await self.start_target(fleet, 2)
            self.assertTrue(all(self.is_known(fleet, t) for t in self.targets))
            self.assertEqual(200, await self.send(fleet, 0))

        self.run_with_targets(scenario)


class OddReportTest(OddCase):
    """An engine's report has a number that cannot be sent to other nodes."""

    def test_nodes_keep_the_leader(self) -> None:
        """The nodes go on to learn new targets while the leader reads the report."""

        async def scenario(fleet: Fleet) -> None:
            odd = await self.start_target(fleet, 2, OddReporter, True)
            body = b'{"model":"%s","version":2}' % MODEL.encode()
            call = fleet.call(fleet.hosts[0], "POST", "/-/version-put", body)
            self.assertEqual(200, (await call)[0])
            await wait_until(lambda: odd.report_count >= 2)
            await self.start_target(fleet, 3)
            views = [node.fleet_view for node in fleet.nodes.values()]
            self.assertTrue(all(view.has_leader_contact for view in views))
            self.assertEqual(200, await self.send(fleet, 0))

        self.run_with_targets(scenario)


class OddCommandTest(OddCase):
    """A command for the replicated log that cannot be encoded."""

    def test_replica_goes_on(self) -> None:
        """The command fails; the replica still leads and commits the next one."""

        async def scenario(fleet: Fleet) -> None:
            replica = fleet.get_leader().replica_manager.replica
            for command in (StoreConfiguration(2**64, b""), StoreWeights("m", 10**400)):
                try:
                    async with asyncio.timeout(WAIT_S):
                        await replica.propose(command)
                    self.fail("the command was committed")
                except CodecError:
                    self.assertFalse(replica.is_failed)
            self.assertEqual(3, await replica.propose(StoreWeights("m", 3)))

        self.run_with_targets(scenario)


class OddConfigurationTest(OddCase):
    """Operators put configurations with odd numbers."""

    def test_next_one_is_in_force(self) -> None:
        """Each is refused, and the next sound one is in force at all nodes."""

        async def scenario(fleet: Fleet) -> None:
            bodies = [
                make_configuration(2).replace(b'"version":2', b'"version":' + version)
                for version in (b"-1", b"%d" % 2**63, b"%d" % 2**64, b"9" * 400)
            ]
            bodies.append(make_configuration(2, extra=msgspec.Raw(DEEP)))
            for number, body in enumerate(bodies):
                host = fleet.hosts[number % len(fleet.hosts)]
                answer = await fleet.call(host, "PUT", "/-/configuration", body)
                self.assertEqual(400, answer[0])
            await fleet.put_configuration(fleet.hosts[0], make_configuration(2))
            await wait_until(lambda: fleet.list_versions() == {2})
            self.assertEqual(200, await self.send(fleet, 0))

        self.run_with_targets(scenario)


class OddVersionTest(OddCase):
    """An operator names weight versions that the replicated log cannot hold."""

    def test_next_one_is_known(self) -> None:
        """Each is refused, and the next sound one is known to all nodes."""

        async def scenario(fleet: Fleet) -> None:
            path = "/-/version-put"
            versions = ("-1", str(2**63), str(2**70), "9" * 400)
            statuses = set()
            for number, version in enumerate(versions):
                host = fleet.hosts[number % len(fleet.hosts)]
                body = b'{"model":"m","version":%s}' % version.encode()
                statuses.add((await fleet.call(host, "POST", path, body))[0])
            self.assertEqual({400}, statuses)
            body = b'{"model":"m","version":2}'
            answer = await fleet.call(fleet.hosts[0], "POST", path, body)
            self.assertEqual(200, answer[0])
            views = [node.fleet_view for node in fleet.nodes.values()]
            await wait_until(
                lambda: all(view.weight_versions == {"m": 2} for view in views)
            )

        self.run_with_targets(scenario)
