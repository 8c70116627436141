"""The first start of a fleet whose first seed is cut off, lost or restarted."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from laburnumpitch.fleet.bootstrap import MAX_DISCOVERY_S, MIN_DISCOVERY_S
from laburnumpitch.fleet.founding import ClusterFounding
from laburnumpitch.fleet.founding_messages import (
    AcceptFounding,
    FoundedCluster,
    PrepareFounding,
)

from .fleet_case import WAIT_S, Fleet, FleetCase, make_configuration, wait_until

EARLY_S = 0.3
"""Time after the start in which no seed has proposed a cluster yet."""


class FirstStartTest(FleetCase):
    """Faults of the seeds in the first seconds."""

    async def check_one_cluster(self, fleet: Fleet, host: str) -> None:
        """Check that all running nodes apply a configuration in one cluster."""
        async with asyncio.timeout(WAIT_S):
            await fleet.put_configuration(host, make_configuration(7))
        await wait_until(lambda: fleet.list_versions() == {7})
        clusters = {node.bootstrap.cluster_id for node in fleet.nodes.values()}
        self.assertEqual(1, len(clusters))

    def test_seed_that_is_cut_off_founds_no_cluster(self) -> None:
        """Guards against two clusters, each with a leader of its own.

        The first seed founded one with itself as the only voter.
        """

        async def scenario(fleet: Fleet) -> None:
            await fleet.start(fleet.hosts[0])
            await asyncio.sleep(MAX_DISCOVERY_S + 1.0)
            self.assertEqual("", fleet.nodes[fleet.hosts[0]].bootstrap.cluster_id)
            await fleet.start(*fleet.hosts[1:])
            await self.check_one_cluster(fleet, fleet.hosts[1])

        self.run_fleet(4, 4, scenario)

    def test_lost_seed(self) -> None:
        """Guards against a fleet that never starts.

        The other seeds waited for the first one, which had answered them.
        """

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await asyncio.sleep(EARLY_S)
            await fleet.stop(fleet.hosts[0])
            await self.check_one_cluster(fleet, fleet.hosts[1])
            fleet.wipe(fleet.hosts[0])
            await fleet.start(fleet.hosts[0])
            await self.check_one_cluster(fleet, fleet.hosts[2])

        self.run_fleet(4, 4, scenario)

    def test_all_restart_before_the_founding(self) -> None:
        """Nodes that end before the cluster is founded found it after their restart."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await asyncio.sleep(EARLY_S)
            await fleet.stop()
            self.assertLess(EARLY_S, MIN_DISCOVERY_S)
            await fleet.start()
            await self.check_one_cluster(fleet, fleet.hosts[0])

        self.run_fleet(4, 3, scenario)


class KeptVoteTest(FleetCase):
    """A seed's vote across a restart of its process."""

    def make_founding(self, folder: Path, is_first_start: bool) -> ClusterFounding:
        """Return the founding of a seed."""
        return ClusterFounding("a", ("a", "b", "c"), is_first_start, folder, None, 0)

    def test_restart(self) -> None:
        """A seed keeps its promise; one with an empty disk never votes."""
        cluster = FoundedCluster("c1", [])

        async def vote(founding: ClusterFounding, round_number: int) -> bool:
            call = PrepareFounding(round_number, "b")
            return (await founding.on_prepare(call)).is_granted

        async def scenario() -> None:
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                founding = self.make_founding(folder, True)
                founding.start()
                self.assertTrue(await vote(founding, 5))
                await founding.on_accept(AcceptFounding(5, "b", cluster))
                restarted = self.make_founding(folder, False)
                self.assertFalse(await vote(restarted, 4))
                self.assertEqual(cluster, restarted.acceptor.vote.value)
                self.assertTrue(await vote(restarted, 6))
            with tempfile.TemporaryDirectory() as name:
                self.assertFalse(await vote(self.make_founding(Path(name), False), 9))

        asyncio.run(scenario())
