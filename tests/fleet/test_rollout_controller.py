"""Orders to load weights that are answered, lost or late."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from types import SimpleNamespace

import testtools
from msgspec.structs import replace

from laburnumpitch.errors import NotLeaderError, TargetTimeoutError
from laburnumpitch.fleet.engine_client import ACCEPTED, BUSY, EngineReport, WeightOrder
from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.fleet.rollout_controller import RolloutController
from laburnumpitch.fleet.target_table import TargetTable
from laburnumpitch.policy.weight_history import WeightHistory

MODEL = "m"
WAIT_S = 15.0
"""Time limit for a condition; longer than `MAX_ROLLOUT_S`."""

MAX_ROLLOUT_S = 12.0
"""Time in which a version must be rolled out, as in the smallest deployment."""


@dataclass
class StandInEngine:
    """An engine that loads at once, or fails its first orders."""

    lost_orders: int = 0
    """Number of first orders that are carried out, but not answered."""
    ignored_orders: int = 0
    """Number of first orders that never arrive."""
    version: int = 1
    order_count: int = 0
    tokens: list[int] = field(default_factory=list)

    def handle_order(self, order: WeightOrder) -> str:
        """Carry out or fail an order."""
        order.before_write()
        if self.ignored_orders:
            self.ignored_orders -= 1
            raise TargetTimeoutError("no answer")
        if order.after_orders != self.order_count:
            return BUSY
        self.order_count += 1
        self.version = order.version
        self.tokens.append(order.token)
        if self.lost_orders:
            self.lost_orders -= 1
            raise TargetTimeoutError("no answer")
        return ACCEPTED


class StandInEngines:
    """Calls to stand-in engines.

    Args:
        engines: Engines by target.
    """

    def __init__(self, engines: dict[str, StandInEngine]) -> None:
        self.engines = engines
        self.loading = 0
        self.max_loading = 0

    async def read_report(self, target: TargetRecord) -> EngineReport:
        """Return an engine's state."""
        engine = self.engines[target.target_id]
        return EngineReport(engine.order_count, False, {MODEL: engine.version})

    async def order_weights(self, target: TargetRecord, order: WeightOrder) -> str:
        """Send an engine an order."""
        return self.engines[target.target_id].handle_order(order)


class StandInPublisher:
    """A leader's publisher with some engines.

    Args:
        engines: Names of the engines.
    """

    def __init__(self, engines: list[str]) -> None:
        self.term = 3
        self.is_leader = True
        self.targets = TargetTable(1.0)
        for name in engines:
            record = TargetRecord(name, "s", name, "dc", 1, 1, 4)
            self.targets.put(replace(record, versions={MODEL: 1}), 0.0)
        state = SimpleNamespace(weights={MODEL: 2})
        self.replica = SimpleNamespace(
            core=SimpleNamespace(term=3, leader_since_s=time.monotonic()),
            state_machine=SimpleNamespace(state=state),
        )
        self.max_loading = 0
        self.weight_history = WeightHistory()
        self.weight_history.record(state.weights, time.monotonic())

    def check_term(self) -> None:
        """Check that this node leads."""
        if not self.is_leader:
            raise NotLeaderError("")

    def update_target(self, target_id: str, **changes) -> None:
        """Apply a change by the controller; record how many engines load at once."""
        self.targets.update(target_id, **changes)
        loading = sum(record.is_loading for record in self.targets.get_records())
        self.max_loading = max(self.max_loading, loading)

    def has_only_newer_than(self, version: int) -> bool:
        """Whether every engine has weights newer than a version."""
        return min(self.list_versions()) > version

    def list_versions(self) -> set[int]:
        """Return the weight versions that are published to the nodes."""
        return {record.versions[MODEL] for record in self.targets.get_records()}


class RolloutTest(testtools.TestCase):
    """Five engines that get a new version."""

    scenarios = [
        ("all_answer", {"engine": {}}),
        ("an_answer_is_lost", {"engine": {"lost_orders": 1}}),
        ("orders_never_arrive", {"engine": {"ignored_orders": 2}}),
    ]

    def run_controller(
        self, publisher: StandInPublisher, engines: StandInEngines, condition
    ) -> None:
        """Run a rollout controller until a condition holds."""

        async def run() -> None:
            replica_manager = SimpleNamespace(
                publisher=publisher, node=SimpleNamespace(host="n1")
            )
            controller = RolloutController(
                replica_manager, engines, 0.0, MAX_ROLLOUT_S, time.monotonic
            )
            task = asyncio.create_task(controller.run())
            async with asyncio.timeout(WAIT_S):
                while not condition():
                    await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(run())

    def test_rollout(self) -> None:
        """Each engine loads once, two at a time, under the term's token."""
        names = [f"e{number}" for number in range(5)]
        publisher = StandInPublisher(names)
        engines = StandInEngines({name: StandInEngine(**self.engine) for name in names})
        self.run_controller(
            publisher, engines, lambda: publisher.list_versions() == {2}
        )
        for engine in engines.engines.values():
            self.assertEqual([3], engine.tokens)
        self.assertEqual(2, publisher.max_loading)

    def test_versions_in_succession(self) -> None:
        """Guards against engines that keep an old version while new ones are set.

        The first engines were due again with each version, and loaded first.
        """
        names = [f"e{number}" for number in range(5)]
        publisher = StandInPublisher(names)
        engines = StandInEngines({name: StandInEngine(**self.engine) for name in names})
        handle_order = engines.order_weights
        weights = publisher.replica.state_machine.state.weights

        async def set_version_after_order(target: TargetRecord, order) -> str:
            try:
                return await handle_order(target, order)
            finally:
                weights[MODEL] += 1

        engines.order_weights = set_version_after_order
        self.run_controller(
            publisher, engines, lambda: publisher.has_only_newer_than(1)
        )

    def test_lost_lease(self) -> None:
        """No order is sent once another node may lead."""
        publisher = StandInPublisher(["e0"])
        engine = StandInEngine()
        engines = StandInEngines({"e0": engine})
        read_report = engines.read_report

        async def lose_lease(target: TargetRecord) -> EngineReport:
            publisher.is_leader = False
            return await read_report(target)

        engines.read_report = lose_lease
        self.run_controller(publisher, engines, lambda: not publisher.is_leader)
        self.assertEqual([], engine.tokens)
