"""A target that becomes cold in a fleet of real nodes."""

from __future__ import annotations

import asyncio

from standins.platform_target import PlatformTarget

from . import test_leaving_targets
from .fleet_case import Fleet, make_configuration, wait_until

COLD_MS = 60_000
RATE_PER_S = 4.0
LIMIT = int(RATE_PER_S * 1.5 + 5)
REQUESTS = 20
"""Requests of each of nine clients."""


class ColdTargetTest(test_leaving_targets.ToldNodesTest):
    """One of two targets announces that it is cold."""

    def test_other_nodes(self) -> None:
        """All nodes together send it no more than its limit, and some requests."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            self.targets = []
            try:
                await self.start_targets(fleet)
                service = {"name": "shop", "cold_per_s": RATE_PER_S}
                await fleet.put_configuration(
                    fleet.hosts[0], make_configuration(2, services=[service])
                )
                cold = self.targets[0]
                cold.cold_remaining_ms = COLD_MS
                await wait_until(lambda: self.is_known(fleet, cold))
                first = len(self.journal.arrivals)
                await self.load(fleet)
                while not self.count_cold(cold, first):
                    self.assertEqual(200, await self.send(fleet, fleet.hosts[0]))
                arrivals = self.journal.arrivals[first:]
                times = [a.at_s for a in arrivals if a.target_id == cold.target_id]
                most = max(sum(s <= t <= s + 1.0 for t in times) for s in times)
                self.assertLessEqual(most, LIMIT)
            finally:
                for target in self.targets:
                    await target.crash()

        self.run_fleet(3, 2, scenario)

    def is_known(self, fleet: Fleet, target: PlatformTarget) -> bool:
        """Whether all nodes know that a target is cold."""
        catalogs = [node.relay.dispatcher.catalog for node in fleet.nodes.values()]
        return all(target.target_id in c.cold.cold_ids for c in catalogs)

    def count_cold(self, target: PlatformTarget, first: int) -> int:
        """Return the number of requests that have reached a target since then."""
        arrivals = self.journal.arrivals[first:]
        return sum(a.target_id == target.target_id for a in arrivals)

    async def load(self, fleet: Fleet) -> None:
        """Send requests through all nodes, some at once."""

        async def send_some(host: str) -> None:
            for _ in range(REQUESTS):
                self.assertEqual(200, await self.send(fleet, host))

        await asyncio.gather(*(send_some(host) for host in fleet.hosts * 3))
