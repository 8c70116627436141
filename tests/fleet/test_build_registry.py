"""The leader's record of the targets' builds."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import testtools

from laburnumpitch.fleet.build_registry import BuildRegistry
from laburnumpitch.fleet.fleet_publisher import FleetPublisher
from laburnumpitch.fleet.fleet_state import FleetState
from laburnumpitch.fleet.messages import NodeRecord, StoreBuilds, TargetRecord
from laburnumpitch.fleet.subscriptions import SubscriberState
from laburnumpitch.policy.build_history import MIN_TERM_AGE_S, RETIREMENT_S

SERVICE = "models"
OLD, NEW = "v1", "v2"
TERM = 3


class BuildRegistryTest(testtools.TestCase):
    """A registry whose proposals are committed at once, on a clock of the test."""

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 0.0
        self.state_machine = FleetState()
        self.replica = SimpleNamespace(
            require_leader=lambda: None,
            get_leader_name=lambda: "h0",
            core=SimpleNamespace(term=TERM, committed_members=[]),
            state_machine=self.state_machine,
            propose=self.propose,
        )
        self.sequence_numbers = iter(range(1, 100))

    async def propose(self, command: StoreBuilds) -> int:
        """Apply a command as if it were committed."""
        return self.state_machine.apply(command)

    def run_scenario(self, scenario) -> None:
        """Run a scenario with a leader's publisher and registry."""

        async def run() -> None:
            self.publisher = FleetPublisher(
                self.replica,
                1.0,
                list,
                lambda: None,
                lambda service: True,
                lambda: self.now_s,
            )
            self.publisher.check_term()
            self.registry = BuildRegistry(
                SimpleNamespace(publisher=self.publisher),
                lambda: [SERVICE],
                lambda: self.now_s,
            )
            await scenario()

        asyncio.run(run())

    def announce(self, build: str) -> None:
        """Apply an announcement of a target of a build."""
        number = next(self.sequence_numbers)
        record = TargetRecord(
            f"t{number}", SERVICE, f"a{number}:1", "dc", 1, number, 4, build=build
        )
        self.publisher.targets.apply_announcement(record, self.now_s)

    def follow(self, host: str, sequence: int, knows_builds: bool = True) -> None:
        """Record the call of a node that has all changes up to a sequence number."""
        node = NodeRecord(host, host, "", "", "dc", True, knows_builds)
        state = SubscriberState(node, self.now_s, sequence)
        self.publisher.subscriptions.record(state)

    async def update(self, after_s: float = 0.0) -> dict[str, bool]:
        """Let some time pass; return the builds on record after one more pass."""
        self.now_s += after_s
        await self.registry.update(self.publisher)
        return self.state_machine.state.builds.get(SERVICE, {})

    async def record_first(self) -> None:
        """Record the first build, and let streams begin on it."""
        self.announce(OLD)
        self.assertEqual({OLD: False}, await self.update(MIN_TERM_AGE_S))
        self.follow("h1", self.publisher.sequence)
        self.assertEqual({OLD: True}, await self.update())

    def test_streams_begin_before_all_nodes_know(self) -> None:
        """A further build begins streams only once every reachable node knows it."""

        async def scenario() -> None:
            await self.record_first()
            self.announce(NEW)
            self.follow("h1", self.publisher.sequence)
            self.assertEqual({OLD: True, NEW: False}, await self.update())
            self.assertEqual({OLD: True, NEW: False}, await self.update(0.1))
            self.follow("h1", self.publisher.sequence)
            self.assertEqual({OLD: True, NEW: True}, await self.update())
            self.assertEqual({OLD: True, NEW: True}, self.get_published())

        self.run_scenario(scenario)

    def get_published(self) -> dict[str, bool]:
        """Return the builds that nodes are told."""
        return self.publisher.facts.builds[SERVICE]

    def test_node_that_never_confirms(self) -> None:
        """A node that calls but gets no answers does not hold a release up."""

        async def scenario() -> None:
            await self.record_first()
            self.announce(NEW)
            self.follow("h1", 0)
            self.assertEqual({OLD: True, NEW: False}, await self.update())
            for _ in range(9):
                self.follow("h1", 0)
                self.assertEqual({OLD: True, NEW: False}, await self.update(0.1))
            self.follow("h1", 0)
            await self.update(0.1)
            self.assertEqual({OLD: True, NEW: True}, await self.update(0.1))

        self.run_scenario(scenario)

    def test_build_that_returns(self) -> None:
        """What was confirmed before a build was forgotten counts no more."""

        async def scenario() -> None:
            await self.record_first()
            self.publisher.targets.mark_gone("t1", self.now_s)
            self.announce(NEW)
            await self.update()
            self.follow("h1", self.publisher.sequence)
            await self.update()
            self.assertEqual({NEW: True}, await self.update(RETIREMENT_S))
            self.announce(OLD)
            self.follow("h1", self.publisher.sequence)
            self.assertEqual({OLD: False, NEW: True}, await self.update())
            self.assertEqual({OLD: False, NEW: True}, await self.update(0.1))

        self.run_scenario(scenario)

    def test_new_leader_waits(self) -> None:
        """It knows no nodes yet, which may rely on what its predecessor told them."""
        self.state_machine.apply(StoreBuilds(SERVICE, {OLD: True, NEW: False}))

        async def scenario() -> None:
            self.announce(OLD)
            self.announce(NEW)
            before_s = MIN_TERM_AGE_S - 0.1
            self.assertEqual({OLD: True, NEW: False}, await self.update(before_s))
            self.assertEqual({OLD: True, NEW: True}, await self.update(0.2))

        self.run_scenario(scenario)

    def test_older_software(self) -> None:
        """Nothing is recorded while a node's software cannot apply the record."""

        async def scenario() -> None:
            self.announce(OLD)
            self.follow("h1", 0, knows_builds=False)
            self.assertEqual({}, await self.update(MIN_TERM_AGE_S))
            self.publisher.update_facts()
            self.assertIsNone(self.publisher.facts.builds)
            self.follow("h1", 0)
            self.assertEqual({OLD: False}, await self.update())

        self.run_scenario(scenario)

    def test_survives_a_snapshot(self) -> None:
        """The record is part of the replicated state."""
        self.state_machine.apply(StoreBuilds(SERVICE, {OLD: True, NEW: False}))
        restored = FleetState(self.state_machine.dump())
        self.assertEqual({SERVICE: {OLD: True, NEW: False}}, restored.state.builds)
        restored.apply(StoreBuilds(SERVICE, {}))
        self.assertEqual({}, restored.state.builds)
