"""Tests of the coordinator, and of nodes that call it."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import testtools

from laburnumpitch.errors import NotCoordinatorError
from laburnumpitch.fleet.messages import (
    NodeRecord,
    PlaceAnswer,
    PlaceCall,
    PlaceProgress,
    TargetRecord,
)
from laburnumpitch.fleet.target_table import TargetTable
from laburnumpitch.metrics import Metrics
from laburnumpitch.relay.configuration import (
    EngineSpec,
    Limits,
    RoutingConfiguration,
    Service,
)
from laburnumpitch.relay.coordinator import (
    SLOT_OVERCOMMIT,
    Coordinator,
    make_assignment_key,
)
from laburnumpitch.relay.placement_client import Placement, PlacementClient
from laburnumpitch.relay.target_catalog import TargetCatalog
from laburnumpitch.relay.target_statistics import TargetStatistics

SERVICE = "models"
HOST = "h1"
OTHER_HOST = "h2"
SLOTS = 5
CAPACITY_TOKENS = 50_000
CONFIGURATION = RoutingConfiguration(
    1,
    (),
    (Service(SERVICE, engine=EngineSpec(SLOTS, CAPACITY_TOKENS, 1, 1.0, ("m",))),),
    Limits(),
    (),
)


def make_place_call(**changes) -> PlaceCall:
    """Return a call that requests a placement."""
    values = {
        "service": SERVICE,
        "key": "",
        "model": "m",
        "prompt_tokens": 1000,
        "shared_tokens": 0,
        "output_tokens": 10,
        "objective_s": 0.4,
        "max_backlog_s": 0.2,
        "data_centre": "dc",
        "excluded": [],
        "suspects": [],
    }
    return PlaceCall(**(values | changes))


def make_fleet_view(coordinator: str, targets: int = 2) -> SimpleNamespace:
    """Return a fleet view with some engines and a coordinator."""
    table = TargetTable(1.0)
    for number in range(targets):
        record = TargetRecord(f"t{number}", SERVICE, f"a{number}", "dc", 1, 1, SLOTS)
        table.put(record, 0.0)
    return SimpleNamespace(
        targets=table,
        configuration=CONFIGURATION,
        weight_versions={},
        assignments={make_assignment_key(SERVICE): coordinator},
        node=NodeRecord(HOST, "n1", "", "", "dc", True),
        term=1,
        builds={},
        evacuated=frozenset(),
        on_change=[],
    )


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def get_s(self) -> float:
        """Return the time."""
        return self.now_s


def make_coordinator(clock: Clock, host: str = HOST, targets: int = 2) -> Coordinator:
    """Return the coordinator at `HOST`; the service is assigned to `host`."""
    fleet_view = make_fleet_view(host, targets)
    statistics = TargetStatistics(clock.get_s)
    catalog = TargetCatalog(fleet_view, statistics, clock.get_s, 12.0)
    catalog.update()
    return Coordinator(catalog, clock.get_s, Random(1))


class CoordinatorTest(testtools.TestCase):
    """Placements that a coordinator assigns."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.coordinator = make_coordinator(self.clock)

    def request_placement(self, **changes) -> PlaceAnswer:
        """Request a placement."""
        return asyncio.run(self.coordinator.on_place_call(make_place_call(**changes)))

    def test_spreads_requests(self) -> None:
        """Simultaneous requests go to different engines."""
        self.assertEqual(
            {"t0", "t1"},
            {self.request_placement().target_id, self.request_placement().target_id},
        )

    def test_excluded_and_in_backoff(self) -> None:
        """No placement is at a target that is excluded or in backoff at the node."""
        for changes in ({"excluded": ["t0"]}, {"suspects": ["t0"]}):
            for _ in range(3):
                self.assertEqual("t1", self.request_placement(**changes).target_id)

    def test_allowed_regions(self) -> None:
        """Guards against placements outside the regions that a call allows."""
        rules = self.coordinator.catalog.region_rules
        rules.regions_by_data_centre = {"dc": "west", "east-1": "east"}
        table = self.coordinator.catalog.fleet_view.targets
        table.put(TargetRecord("t0", SERVICE, "a0", "east-1", 1, 2, SLOTS), 0.0)
        self.coordinator.catalog.update()
        for regions, allowed in ((("west",), {"t1"}), (("east",), {"t0"}), ((), {""})):
            placed = {
                self.request_placement(allowed_regions=regions).target_id
                for _ in range(3)
            }
            self.assertEqual(allowed, placed)

    def test_backoff_is_shared(self) -> None:
        """A target in backoff at one node is avoided for all nodes for a while."""
        self.request_placement(suspects=["t0"], excluded=["t1"])
        self.assertEqual({"t1"}, {self.request_placement().target_id for _ in range(3)})
        self.clock.now_s = 1.0
        self.assertIn("t0", {self.request_placement().target_id for _ in range(4)})

    def test_shedding_at_own_node(self) -> None:
        """A target that wants nothing from this node was left out for other nodes."""
        catalog = self.coordinator.catalog
        target = catalog.find_target(SERVICE, "t0")
        catalog.shedding.record(target, 10.0)
        self.assertIsNone(catalog.find_target(SERVICE, "t0"))
        answer = self.request_placement(excluded=["t1"])
        self.assertEqual("t0", answer.target_id)

    def test_leaving_at_own_node(self) -> None:
        """A target that this node knows to be leaving was placed for another node."""
        catalog = self.coordinator.catalog
        catalog.leaving.record(catalog.find_target(SERVICE, "t0"))
        for _ in range(3):
            self.assertEqual("t1", self.request_placement().target_id)

    def test_slots_full(self) -> None:
        """With all slots taken there is no placement until one is released."""
        capacity = 2 * int(SLOTS * SLOT_OVERCOMMIT)
        numbers = [
            self.request_placement(prompt_tokens=0).number for _ in range(capacity)
        ]
        answer = self.request_placement(prompt_tokens=0)
        self.assertEqual("", answer.target_id)
        self.assertGreater(answer.wait_s, 0.0)
        notice = PlaceProgress(SERVICE, [], numbers[:1])
        asyncio.run(self.coordinator.on_place_progress(notice))
        self.assertNotEqual("", self.request_placement(prompt_tokens=0).target_id)

    def test_prefill_backlog_bound(self) -> None:
        """A late request gets a target only at a smaller backlog than one on time."""
        for _ in range(2):
            self.request_placement(prompt_tokens=10_000)
        self.assertEqual(
            "", self.request_placement(prompt_tokens=1000, max_backlog_s=0.06).target_id
        )
        self.assertNotEqual("", self.request_placement(prompt_tokens=1000).target_id)

    def test_prompt_over_capacity(self) -> None:
        """A prompt over an engine's capacity runs alone; it is not refused forever."""
        answer = self.request_placement(prompt_tokens=2 * CAPACITY_TOKENS)
        self.assertNotEqual("", answer.target_id)

    def test_assigned_to_another_node(self) -> None:
        """A node that is not the coordinator any more drops its ledger."""
        self.request_placement()
        fleet_view = self.coordinator.catalog.fleet_view
        fleet_view.assignments = {make_assignment_key(SERVICE): OTHER_HOST}
        self.coordinator.drop_outdated()
        self.assertEqual({}, self.coordinator.ledgers)
        self.assertRaises(NotCoordinatorError, self.request_placement)


class SlowClient:
    """A client of another node whose answers a test delays."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.calls = 0
        self.notices: list[PlaceProgress] = []

    def start_call(self, call: PlaceCall, timeout_s: float) -> asyncio.Future:
        """Return the future of a call's answer."""
        return asyncio.ensure_future(self.call(call, timeout_s))

    async def call(self, call: PlaceCall, timeout_s: float) -> PlaceAnswer:
        """Return a placement once the test allows it."""
        self.calls += 1
        await self.may_answer.wait()
        return PlaceAnswer("t0", 7, 0.0)

    def notify(self, notice: PlaceProgress) -> None:
        """Record a notice."""
        self.notices.append(notice)


class PlacementClientTest(testtools.TestCase):
    """Calls to the coordinator at another node."""

    def run_client(self, scenario) -> None:
        """Run a scenario with a client of the coordinator at another node."""

        async def run() -> None:
            clock = Clock()
            self.clock = clock
            self.peer = SlowClient()
            pool = SimpleNamespace(get=lambda address: self.peer)
            fleet_view = make_fleet_view(OTHER_HOST)
            own = make_coordinator(clock, OTHER_HOST)
            client = PlacementClient(fleet_view, own, pool, 1, Metrics(), clock.get_s)
            try:
                await scenario(client)
            finally:
                client.close()

        asyncio.run(run())

    def test_answer(self) -> None:
        """A placement names the coordinator that assigned it."""

        async def scenario(client: PlacementClient) -> None:
            self.peer.may_answer.set()
            answer, placement = await client.request_placement(make_place_call())
            self.assertEqual("t0", answer.target_id)
            self.assertEqual(Placement(SERVICE, OTHER_HOST, 7), placement)

        self.run_client(scenario)

    def test_unresponsive_coordinator(self) -> None:
        """It is not called for a while, and a late placement is released."""

        async def scenario(client: PlacementClient) -> None:
            self.assertIsNone(await client.request_placement(make_place_call()))
            self.assertIsNone(await client.request_placement(make_place_call()))
            self.assertEqual(1, self.peer.calls)
            self.peer.may_answer.set()
            while not self.peer.notices:
                await asyncio.sleep(0.001)
            self.assertEqual([7], self.peer.notices[0].ended)
            self.clock.now_s = 1.0
            self.assertIsNotNone(await client.request_placement(make_place_call()))

        self.run_client(scenario)

    def test_cancelled_while_calling(self) -> None:
        """The placement of a cancelled request is released."""

        async def scenario(client: PlacementClient) -> None:
            sending = asyncio.create_task(client.request_placement(make_place_call()))
            while not self.peer.calls:
                await asyncio.sleep(0)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            self.peer.may_answer.set()
            while not self.peer.notices:
                await asyncio.sleep(0.001)
            self.assertEqual([7], self.peer.notices[0].ended)

        self.run_client(scenario)

    def test_progress_is_batched(self) -> None:
        """Progress within a short delay is sent in one notice."""

        async def scenario(client: PlacementClient) -> None:
            for number in range(3):
                client.report_prefill_end(Placement(SERVICE, OTHER_HOST, number))
                client.release(Placement(SERVICE, OTHER_HOST, number))
            while not self.peer.notices:
                await asyncio.sleep(0.001)
            notice = PlaceProgress(SERVICE, [0, 1, 2], [0, 1, 2])
            self.assertEqual([notice], self.peer.notices)

        self.run_client(scenario)
