"""Streams were joined from two versions of the targets' software."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence

from laburnumpitch.errors import TargetError
from laburnumpitch.transport.http_client import HttpClient
from standins.platform_target import Journal, PlatformTarget

from .fleet_case import (
    POLL_INTERVAL_S,
    WAIT_S,
    Fleet,
    FleetCase,
    make_configuration,
    wait_until,
)

OLD, NEW = "v1", "v2"
STREAMS = 12
"""Number of streams that clients take up again; at random, all would meet the build
that began them once in 4,096 runs."""

CONFIGURATION = make_configuration(
    1,
    routes=[
        {
            "name": "ask",
            "host": "shop.example",
            "path_prefix": "/ask/",
            "route_type": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "gap_target_ms": 300,
            "service": "models",
            "max_attempts": 2,
            "sticky": False,
            "resumable": True,
        }
    ],
    services=[{"name": "models"}],
)


class JoinedStreamBase(FleetCase):
    """Clients that take streams up again, and targets of some builds."""

    configuration = CONFIGURATION
    keeps_ids = False
    """Whether all incarnations of a target have one id."""

    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()
        self.journal = Journal()

    async def start_targets(self, fleet: Fleet, *builds: str) -> None:
        """Start a target of each build, and wait until streams begin at all of them."""
        await fleet.put_configuration(fleet.hosts[0], self.configuration)
        self.targets = []
        for build in builds:
            await self.add_target(fleet, build)
        async with asyncio.timeout(WAIT_S):
            for host in fleet.hosts:
                await self.begin_everywhere(fleet, host, set(builds))

    async def add_target(self, fleet: Fleet, build: str) -> None:
        """Start a target of a build."""
        number = len(self.targets)
        target = PlatformTarget(
            f"e{number}",
            "models",
            True,
            lambda: [n.settings.control_address for n in fleet.nodes.values()],
            self.journal,
            frozenset(),
            number,
        )
        target.build = build
        target.keeps_id = self.keeps_ids
        await target.start()
        target.address = f"127.0.0.1:{target.port}"
        self.targets.append(target)

    async def begin_everywhere(self, fleet: Fleet, host: str, builds: set[str]) -> None:
        """Begin streams at a node until one has begun at each build."""
        begun = set()
        while begun != builds:
            status, attempt = await self.send(fleet, host)
            if status == 200:
                begun.add(self.get_build(attempt))
            else:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_ready(self, fleet: Fleet, build: str) -> None:
        """Wait until the first node follows a leader and begins streams at a build."""
        host = fleet.hosts[0]
        await wait_until(lambda: fleet.nodes[host].fleet_view.has_leader_contact)
        async with asyncio.timeout(WAIT_S):
            await self.begin_everywhere(fleet, host, {build})

    async def take_up(self, fleet: Fleet, attempt: str) -> None:
        """Take a stream up again, and once more after a refusal, as clients do."""
        status = 503
        while status == 503:
            status, _ = await self.send(fleet, fleet.hosts[0], attempt, reads_all=True)
        self.assertEqual(200, status)

    def get_build(self, attempt: str) -> str:
        """Return the build that ran an attempt; empty if none did."""
        for arrival in self.journal.arrivals:
            if arrival.attempt == attempt and arrival.has_run:
                return arrival.build
        return ""

    async def send(
        self, fleet: Fleet, host: str, begun_by: str = "", reads_all: bool = False
    ) -> tuple[int, str]:
        """Send a request and read its first event, or its whole answer.

        Returns:
            The status, or 0 if the answer broke off, and the attempt's identifier.
        """
        attempt = f"a{next(self.numbers)}"
        headers = [("attempt-id", attempt), ("deadline-ms", "8000")]
        if begun_by:
            headers += [("resumes", begun_by), ("last-event-id", "1")]
        client = HttpClient(fleet.nodes[host].settings.client_address)
        try:
            answer = await client.request(
                "POST",
                "/ask/x",
                headers,
                b"question",
                first_byte_timeout_s=WAIT_S,
                host="shop.example",
            )
            if reads_all:
                await answer.read()
            else:
                await anext(answer.iterate_body())
                answer.close()
            return answer.status, attempt
        except TargetError:
            return 0, attempt
        finally:
            client.close()

    async def begin_streams(
        self, fleet: Fleet, at: Sequence[str] = ()
    ) -> dict[str, str]:
        """Begin streams at nodes, all by default; return the build of each attempt."""
        begun = {}
        hosts = itertools.cycle(at or fleet.hosts)
        async with asyncio.timeout(WAIT_S):
            while len(begun) < STREAMS:
                status, attempt = await self.send(fleet, next(hosts))
                if status == 200:
                    begun[attempt] = self.get_build(attempt)
        return begun

    async def close_targets(self) -> None:
        """Stop the targets."""
        for target in self.targets:
            await target.crash()


class JoinedStreamTest(JoinedStreamBase):
    """Streams are taken up again at other nodes, while two builds serve."""

    def test_taken_up_at_another_node(self) -> None:
        """Each stream goes on at the build that began it."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            try:
                await self.start_targets(fleet, OLD, NEW)
                begun = await self.begin_streams(fleet)
                gone_on = {}
                for number, attempt in enumerate(begun):
                    host = fleet.hosts[(number + 1) % len(fleet.hosts)]
                    status, next_attempt = await self.send(
                        fleet, host, attempt, reads_all=True
                    )
                    self.assertEqual(200, status)
                    gone_on[attempt] = self.get_build(next_attempt)
                self.assertEqual(begun, gone_on)
            finally:
                await self.close_targets()

        self.run_fleet(3, 3, scenario)

    def test_taken_up_after_the_first_node_is_gone(self) -> None:
        """Other nodes know which build began the streams of a node that has ended."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            try:
                await self.start_targets(fleet, OLD, NEW)
                begun = await self.begin_streams(fleet, fleet.hosts[3:])
                await fleet.stop(fleet.hosts[3])
                gone_on = {}
                for number, attempt in enumerate(begun):
                    status, next_attempt = await self.send(
                        fleet, fleet.hosts[number % 3], attempt, reads_all=True
                    )
                    self.assertEqual(200, status)
                    gone_on[attempt] = self.get_build(next_attempt)
                self.assertEqual(begun, gone_on)
            finally:
                await self.close_targets()

        self.run_fleet(4, 3, scenario)

    def test_taken_up_after_all_nodes_restarted(self) -> None:
        """A stream of the build that has left does not go on at the other one."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            try:
                await self.start_targets(fleet, OLD, NEW)
                begun = await self.begin_streams(fleet)
                old_attempts = [a for a, build in begun.items() if build == OLD]
                await fleet.stop()
                await self.targets[0].crash()
                await fleet.start()
                await self.wait_ready(fleet, NEW)
                for attempt in old_attempts:
                    status, next_attempt = await self.send(
                        fleet, fleet.hosts[0], attempt, reads_all=True
                    )
                    self.assertEqual("", self.get_build(next_attempt))
                    self.assertEqual(503, status)
            finally:
                await self.close_targets()

        self.run_fleet(3, 3, scenario)

    def test_one_build_after_all_nodes_restarted(self) -> None:
        """Streams go on if only one build can have begun them."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            try:
                await self.start_targets(fleet, OLD)
                begun = await self.begin_streams(fleet)
                await fleet.stop()
                await fleet.start()
                await self.wait_ready(fleet, OLD)
                async with asyncio.timeout(WAIT_S):
                    for attempt in begun:
                        await self.take_up(fleet, attempt)
            finally:
                await self.close_targets()

        self.run_fleet(3, 3, scenario)
