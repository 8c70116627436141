"""A node that is out of step takes streams up while targets of a new build join."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from laburnumpitch.errors import TargetTimeoutError
from laburnumpitch.fleet.messages import PlaceCall
from laburnumpitch.fleet_node import FleetNode

from .fleet_case import WAIT_S, Fleet, wait_until
from .test_joined_streams import CONFIGURATION, NEW, OLD, JoinedStreamBase

ENGINE = {
    "slots": 16,
    "kv_capacity": 100_000,
    "kv_bytes": 1,
    "link_mbps": 1000.0,
    "models": [{"name": "m"}],
}
ENGINE_CONFIGURATION = msgspec.json.encode(
    msgspec.json.decode(CONFIGURATION)
    | {"services": [{"name": "models", "engine": ENGINE}]}
)


class OutOfStepTest(JoinedStreamBase):
    """The last node gets no changes from the leader for a time."""

    configuration = ENGINE_CONFIGURATION

    def suspend_view(self, node: FleetNode) -> None:
        """Keep a node from following the leader, as if it had just woken up.

        The coordinator does not answer it in time either.
        """
        node.fleet_view.task.cancel()
        node.relay.placement_client.request_placement = self.place_nothing

    async def place_nothing(self, call: PlaceCall) -> None:
        """Answer for a coordinator that is too slow."""

    def cut_off(self, node: FleetNode) -> None:
        """Keep a node from calling any other node."""

        async def fail(*_: Any, **__: Any) -> None:
            raise TargetTimeoutError("cut off")

        node.leader_client.call = fail
        node.relay.stream_origins.ask = self.know_nothing

    async def know_nothing(self, host: str, attempt_id: str) -> None:
        """Answer for a node that cannot be reached."""

    async def check_taken_up_at(self, fleet: Fleet, host: str, begun: dict) -> None:
        """Take streams up at a node; each goes on at its build, or is refused."""
        joined = {}
        for attempt, build in begun.items():
            status, next_attempt = await self.send(fleet, host, attempt, reads_all=True)
            found = self.get_build(next_attempt)
            if found not in ("", build):
                joined[attempt] = (build, found)
            if not found:
                self.assertEqual(503, status)
        self.assertEqual({}, joined)

    def run_scenario(self, disturb, restart) -> None:
        """Begin streams, put one node out of step, and take the streams up there.

        Args:
            disturb: Puts the node out of step.
            restart: Lets targets of the new build join, and begins streams.
        """

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            try:
                await self.start_targets(fleet, OLD, OLD)
                node = fleet.nodes[fleet.hosts[3]]
                disturb(node)
                begun = await restart(fleet)
                self.assertGreater(len(begun), 0)
                await self.check_taken_up_at(fleet, fleet.hosts[3], begun)
            finally:
                await self.close_targets()

        self.run_fleet(4, 3, scenario)

    async def let_new_target_join(self, fleet: Fleet) -> dict[str, str]:
        """Add a target of the new build, and begin streams on all at other nodes."""
        await self.add_target(fleet, NEW)
        async with asyncio.timeout(WAIT_S):
            await self.begin_everywhere(fleet, fleet.hosts[0], {OLD, NEW})
        return await self.begin_streams(fleet, fleet.hosts[:3])

    async def restart_target(self, fleet: Fleet) -> dict[str, str]:
        """Begin streams at the old build, then restart targets with the new one."""
        begun = await self.begin_streams(fleet, fleet.hosts[:3])
        for target in self.targets:
            await target.crash()
            target.build = NEW
            await target.start()
        await wait_until(
            lambda: all(
                record.build == NEW
                for record in fleet.nodes[
                    fleet.hosts[0]
                ].fleet_view.targets.get_records()
            )
        )
        return begun

    def test_new_target_while_cut_off(self) -> None:
        """Streams of a new target do not go on at the old build."""
        self.run_scenario(self.cut_off, self.let_new_target_join)

    def test_new_target_while_standing_still(self) -> None:
        """A node that woke up learns the builds of streams before its targets."""
        self.run_scenario(self.suspend_view, self.let_new_target_join)

    def test_same_id_with_another_build(self) -> None:
        """Guards against a target that is taken for its earlier incarnation.

        A node that woke up knew its old announcement, and went on with the streams of
        the old build there.
        """
        self.keeps_ids = True
        self.run_scenario(self.suspend_view, self.restart_target)

    def test_restart_before_the_announcement(self) -> None:
        """The same on nodes in step, before the target has announced itself anew."""
        self.keeps_ids = True

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            try:
                await self.start_targets(fleet, OLD, OLD)
                begun = await self.begin_streams(fleet)
                for target in self.targets:
                    target.announces = False
                    await target.crash()
                    target.build = NEW
                    await target.start()
                for host in fleet.hosts:
                    await self.check_taken_up_at(fleet, host, begun)
            finally:
                await self.close_targets()

        self.run_fleet(3, 3, scenario)
