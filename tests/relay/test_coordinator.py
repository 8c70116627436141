"""Places that one node hands out, and nodes that get no answer."""

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
from laburnumpitch.relay.board import TargetBoard
from laburnumpitch.relay.configuration import (
    EngineSize,
    Limits,
    RoutingConfiguration,
    Service,
)
from laburnumpitch.relay.coordinator import SLOTS_SHARE, Coordinator, make_duty
from laburnumpitch.relay.place_client import Place, PlaceClient
from laburnumpitch.relay.target_view import TargetView

SERVICE = "models"
HOST = "h1"
OTHER = "h2"
SLOTS = 5
ROOM_TOKENS = 50_000
CONFIGURATION = RoutingConfiguration(
    1,
    (),
    (Service(SERVICE, engine=EngineSize(SLOTS, ROOM_TOKENS, 1, 1.0, ("m",))),),
    Limits(),
    (),
)


def make_call(**changes) -> PlaceCall:
    """Return a request for a place."""
    values = {
        "service": SERVICE,
        "key": "",
        "model": "m",
        "prompt_tokens": 1000,
        "shared_tokens": 0,
        "output_tokens": 10,
        "objective_s": 0.4,
        "is_late": False,
        "data_centre": "dc",
        "excluded": [],
        "suspects": [],
    }
    return PlaceCall(**(values | changes))


def make_follower(coordinator: str, targets: int = 2) -> SimpleNamespace:
    """Return a node's view of some engines."""
    table = TargetTable(1.0)
    for number in range(targets):
        record = TargetRecord(f"t{number}", SERVICE, f"a{number}", "dc", 1, 1, SLOTS)
        table.put(record, 0.0)
    return SimpleNamespace(
        targets=table,
        configuration=CONFIGURATION,
        weight_versions={},
        assignments={make_duty(SERVICE): coordinator},
        node=NodeRecord(HOST, "n1", "", "", "dc", True),
        term=1,
        on_change=[],
    )


class Clock:
    """Time that a test moves."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def get_s(self) -> float:
        """Return the time."""
        return self.now_s


def make_coordinator(clock: Clock, host: str = HOST, targets: int = 2) -> Coordinator:
    """Return a coordinator, or a node that is none if the host is another."""
    follower = make_follower(host, targets)
    board = TargetBoard(clock.get_s)
    view = TargetView(follower, board, clock.get_s, 12.0)
    view.update()
    return Coordinator(view, clock.get_s, Random(1))


class CoordinatorTest(testtools.TestCase):
    """What a coordinator gives."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.coordinator = make_coordinator(self.clock)

    def ask(self, **changes) -> PlaceAnswer:
        """Ask for a place."""
        return asyncio.run(self.coordinator.on_place(make_call(**changes)))

    def test_spreads(self) -> None:
        """Requests that come together go to different engines."""
        self.assertEqual({"t0", "t1"}, {self.ask().target_id, self.ask().target_id})

    def test_excluded_and_suspected(self) -> None:
        """A node gets no target that it has tried, or that failed it."""
        for changes in ({"excluded": ["t0"]}, {"suspects": ["t0"]}):
            for _ in range(3):
                self.assertEqual("t1", self.ask(**changes).target_id)

    def test_suspicion_is_shared(self) -> None:
        """What failed one node is avoided by all for a while."""
        self.ask(suspects=["t0"], excluded=["t1"])
        self.assertEqual({"t1"}, {self.ask().target_id for _ in range(3)})
        self.clock.now_s = 1.0
        self.assertIn("t0", {self.ask().target_id for _ in range(4)})

    def test_full(self) -> None:
        """Beyond the slots nobody gets a place, until one is given back."""
        most = 2 * int(SLOTS * SLOTS_SHARE)
        numbers = [self.ask(prompt_tokens=0).number for _ in range(most)]
        answer = self.ask(prompt_tokens=0)
        self.assertEqual("", answer.target_id)
        self.assertGreater(answer.wait_s, 0.0)
        notice = PlaceProgress(SERVICE, [], numbers[:1])
        asyncio.run(self.coordinator.on_progress(notice))
        self.assertNotEqual("", self.ask(prompt_tokens=0).target_id)

    def test_unread_prompts_bound(self) -> None:
        """A late request gets what one that can be on time leaves over."""
        for _ in range(2):
            self.ask(prompt_tokens=10_000)
        self.assertEqual("", self.ask(prompt_tokens=1000, is_late=True).target_id)
        self.assertNotEqual("", self.ask(prompt_tokens=1000).target_id)

    def test_large_prompts_go_alone(self) -> None:
        """A prompt over an engine's room is not refused for good."""
        answer = self.ask(prompt_tokens=2 * ROOM_TOKENS)
        self.assertNotEqual("", answer.target_id)

    def test_another_node_has_the_duty(self) -> None:
        """A node that is not named gives nothing, and forgets what it had."""
        self.ask()
        follower = self.coordinator.view.follower
        follower.assignments = {make_duty(SERVICE): OTHER}
        self.coordinator.on_change()
        self.assertEqual({}, self.coordinator.ledgers)
        self.assertRaises(NotCoordinatorError, self.ask)


class SlowClient:
    """Another node, which answers once it is allowed to."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.calls = 0
        self.notices: list[PlaceProgress] = []

    async def call(self, call: PlaceCall, timeout_s: float) -> PlaceAnswer:
        """Give a place."""
        self.calls += 1
        await self.may_answer.wait()
        return PlaceAnswer("t0", 7, 0.0)

    def notify(self, notice: PlaceProgress) -> None:
        """Take news."""
        self.notices.append(notice)


class PlaceClientTest(testtools.TestCase):
    """A node that asks another one."""

    def run_client(self, scenario) -> None:
        """Run a scenario with a client of a coordinator at another node."""

        async def run() -> None:
            clock = Clock()
            self.clock = clock
            self.peer = SlowClient()
            pool = SimpleNamespace(get=lambda address: self.peer)
            follower = make_follower(OTHER)
            own = make_coordinator(clock, OTHER)
            client = PlaceClient(follower, own, pool, 1, Metrics(), clock.get_s)
            try:
                await scenario(client)
            finally:
                client.close()

        asyncio.run(run())

    def test_answer(self) -> None:
        """A place is named by who gave it."""

        async def scenario(client: PlaceClient) -> None:
            self.peer.may_answer.set()
            answer, place = await client.ask(make_call())
            self.assertEqual("t0", answer.target_id)
            self.assertEqual(Place(SERVICE, OTHER, 7), place)

        self.run_client(scenario)

    def test_silent_coordinator(self) -> None:
        """It is not asked again for a while, and a late place is given back."""

        async def scenario(client: PlaceClient) -> None:
            self.assertIsNone(await client.ask(make_call()))
            self.assertIsNone(await client.ask(make_call()))
            self.assertEqual(1, self.peer.calls)
            self.peer.may_answer.set()
            while not self.peer.notices:
                await asyncio.sleep(0.001)
            self.assertEqual([7], self.peer.notices[0].ended)
            self.clock.now_s = 1.0
            self.assertIsNotNone(await client.ask(make_call()))

        self.run_client(scenario)

    def test_client_leaves_while_asking(self) -> None:
        """The place of a request that is cancelled is given back."""

        async def scenario(client: PlaceClient) -> None:
            asking = asyncio.create_task(client.ask(make_call()))
            while not self.peer.calls:
                await asyncio.sleep(0)
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)
            self.peer.may_answer.set()
            while not self.peer.notices:
                await asyncio.sleep(0.001)
            self.assertEqual([7], self.peer.notices[0].ended)

        self.run_client(scenario)

    def test_news_goes_together(self) -> None:
        """News of some moments is one notice."""

        async def scenario(client: PlaceClient) -> None:
            for number in range(3):
                client.note_read(Place(SERVICE, OTHER, number))
                client.give_back(Place(SERVICE, OTHER, number))
            while not self.peer.notices:
                await asyncio.sleep(0.001)
            notice = PlaceProgress(SERVICE, [0, 1, 2], [0, 1, 2])
            self.assertEqual([notice], self.peer.notices)

        self.run_client(scenario)
