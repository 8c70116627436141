"""Nodes that used a target after another node had heard that it is leaving."""

from __future__ import annotations

import asyncio

from laburnumpitch.transport.http_client import HttpClient
from standins.platform_target import Journal, PlatformTarget

from .fleet_case import (
    POLL_INTERVAL_S,
    WAIT_S,
    Fleet,
    FleetCase,
    make_configuration,
)

DRAIN_S = 2.0
"""Time after which no request may reach a leaving target, by the users' rules."""

REQUESTS = 20
"""Requests to each node; at random, all would miss one of two targets once in a million
runs."""


class ToldNodesTest(FleetCase):
    """A target says that it is leaving in an answer to one node."""

    async def start_targets(self, fleet: Fleet) -> None:
        """Start two targets, and wait until every node has sent requests to both."""
        await fleet.put_configuration(fleet.hosts[0], make_configuration(1))
        self.journal = Journal()
        self.targets = []
        for number in range(2):
            target = PlatformTarget(
                f"e{number}",
                "shop",
                False,
                lambda: [n.settings.control_address for n in fleet.nodes.values()],
                self.journal,
                frozenset(),
                number,
            )
            await target.start()
            target.address = f"127.0.0.1:{target.port}"
            self.targets.append(target)
        async with asyncio.timeout(WAIT_S):
            for host in fleet.hosts:
                for target in self.targets:
                    await self.send_until_reached(fleet, host, target)

    async def send_until_reached(
        self, fleet: Fleet, host: str, target: PlatformTarget
    ) -> None:
        """Send requests to a node until one has reached a target."""
        count = self.count_arrivals(target)
        while self.count_arrivals(target) == count:
            if await self.send(fleet, host) != 200:
                await asyncio.sleep(POLL_INTERVAL_S)

    def count_arrivals(self, target: PlatformTarget) -> int:
        """Return the number of requests that have reached a target."""
        return sum(a.target_id == target.target_id for a in self.journal.arrivals)

    async def send(self, fleet: Fleet, host: str) -> int:
        """Send a request to a node and return the status of its answer."""
        client = HttpClient(fleet.nodes[host].settings.client_address)
        try:
            answer = await client.request(
                "POST",
                "/r/x",
                [("attempt-id", "a1"), ("deadline-ms", "1000")],
                b"body",
                first_byte_timeout_s=WAIT_S,
                host="shop.example",
            )
            await answer.read()
            return answer.status
        finally:
            client.close()

    def test_other_nodes(self) -> None:
        """Another node sent requests to the target."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            self.targets = []
            try:
                await self.start_targets(fleet)
                leaving = self.targets[0]
                leaving.says_leaving = True
                await self.send_until_reached(fleet, fleet.hosts[0], leaving)
                await asyncio.sleep(DRAIN_S)
                count = self.count_arrivals(leaving)
                for host in fleet.hosts:
                    for _ in range(REQUESTS):
                        self.assertEqual(200, await self.send(fleet, host))
                self.assertEqual(count, self.count_arrivals(leaving))
            finally:
                for target in self.targets:
                    await target.crash()

        self.run_fleet(3, 2, scenario)
