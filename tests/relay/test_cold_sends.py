"""Requests to targets that are cold, through the relay and at the coordinator."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import testtools

from laburnumpitch.errors import ColdTargetError
from laburnumpitch.fleet.messages import PlaceAnswer, PlaceCall, TargetRecord
from laburnumpitch.policy.cold_admission import GRANT_VALIDITY_S, ColdBounds
from laburnumpitch.relay.answer_deadlines import AnswerDeadlines, ReservedTarget
from laburnumpitch.relay.configuration import Service
from laburnumpitch.relay.coordinator import RETRY_DELAY_S
from laburnumpitch.relay.placement_client import Placement

from .relay_case import SERVICE, CutAnswer, RelayCase, make_answer
from .test_coordinator import (
    CONFIGURATION,
    SERVICE as PLACED_SERVICE,
    Clock,
    make_coordinator,
    make_place_call,
)

RATE_PER_S = 5.9
COLD_S = 30.0
LATE_S = GRANT_VALIDITY_S + 0.1
GRANT = PlaceAnswer("t0", 1, 0.0, is_cold_grant=True)
PLAIN = PlaceAnswer("t0", 1, 0.0)
ONE_EACH = ColdBounds(1.5, 5.0)
"""Bounds with which each of two nodes may send one request without a grant."""

NO_SHARE = ColdBounds(1.0, 0.0)
WHOLE = make_answer()


class ScriptedCoordinator:
    """A coordinator with given answers, some of which take long."""

    def __init__(self, case: ColdSendsCase, answers: list) -> None:
        self.case = case
        self.answers = answers
        self.calls: list[PlaceCall] = []
        self.released: list[Placement] = []

    async def request_placement(self, call: PlaceCall):
        """Return the next answer, after its delay."""
        self.calls.append(call)
        if not self.answers:
            return None
        answer, delay_s = self.answers.pop(0)
        self.case.offset_s += delay_s
        return answer, Placement(SERVICE, "h", answer.number)

    def release(self, placement: Placement) -> None:
        """Record a released placement."""
        self.released.append(placement)

    def report_prefill_end(self, placement: Placement) -> None:
        """Ignore a prefill."""


class ColdSendsCase(RelayCase):
    """Base of tests of a service that limits the requests to cold targets."""

    def run_cold(self, targets: int, answers: list, bounds: ColdBounds, scenario):
        """Run a scenario with a coordinator's answers."""
        self.offset_s = 0.0

        async def run() -> None:
            self.change_configuration(
                services=(Service(SERVICE, 0, None, None, 3, 5.9),)
            )
            dispatcher = self.dispatcher = self.services.dispatcher
            self.cold, self.sends = dispatcher.catalog.cold, dispatcher.cold_sends
            self.cold.bounds = bounds
            self.sends.get_clock_s = lambda: time.monotonic() + self.offset_s
            self.coordinator = ScriptedCoordinator(self, answers)
            dispatcher.placement_source = self.coordinator
            await scenario()

        self.run_relay([[WHOLE, WHOLE, WHOLE]] * targets, run)

    def make_cold(self, *target_ids: str) -> None:
        """Make targets cold."""
        for target_id in target_ids:
            self.cold.record_answer(self.get_target(target_id), COLD_S)

    def get_target(self, target_id: str) -> TargetRecord:
        """Return a target."""
        return self.fleet_view.targets.entries[target_id].record


class GrantTest(ColdSendsCase):
    """Grants that a node uses in time, or does not."""

    def test_expired(self) -> None:
        """It is not used, and asking again is no failure of the target.

        Guards against sends that a suspended node makes long after the grant.
        """

        async def scenario() -> None:
            self.make_cold("t0")
            status, _, _ = await self.send_request("once")
            self.assertEqual(200, status)
            self.assertEqual([1], self.count_requests())
            self.assertEqual(2, len(self.coordinator.calls))
            self.assertEqual([], self.coordinator.calls[1].suspects)
            self.assertEqual([], self.coordinator.calls[1].excluded)
            self.assertEqual(0.0, self.services.statistics.get("t0").failure_rate)
            self.assertEqual({}, self.sends.permits)

        self.run_cold(1, [(GRANT, LATE_S), (GRANT, 0.0)], NO_SHARE, scenario)

    def test_coordinator_does_not_know(self) -> None:
        """Its placement is not used; it is told by the next call."""

        async def scenario() -> None:
            self.make_cold("t0")
            await self.send_request("once")
            await self.send_request("once")
            self.assertEqual([0, 2], self.count_requests())
            self.assertEqual(["t0"], list(self.coordinator.calls[1].cold))
            self.assertEqual([1], [p.number for p in self.coordinator.released])

        self.run_cold(2, [(PLAIN, 0.0)], NO_SHARE, scenario)

    def test_became_cold_after_the_placement(self) -> None:
        """It gets nothing more without a grant; a grant that is used ends."""

        async def scenario() -> None:
            admitted = self.make_admitted("once", prompt_tokens=0)
            target = self.get_target("t0")
            self.assertTrue(self.sends.take_grant(admitted, target, PLAIN, 0.0))
            check = self.sends.add_check(admitted, target, None)
            check()
            self.make_cold("t0")
            self.assertRaises(ColdTargetError, check)
            asked_s = self.sends.get_clock_s()
            self.assertTrue(self.sends.take_grant(admitted, target, GRANT, asked_s))
            check()
            self.assertRaises(ColdTargetError, check)

        self.run_cold(1, [], NO_SHARE, scenario)

    def test_reservation(self) -> None:
        """A silent target is not left for a cold one whose grant has expired."""

        async def scenario() -> None:
            self.make_cold("t1")
            admitted = self.make_admitted("read", prompt_tokens=0)
            deadlines = AnswerDeadlines(
                self.services, self.get_deadline_s(), lambda: 1, str
            )
            deadlines.start(self.get_target("t0"), admitted, set())
            target, copy = self.get_target("t1"), replace(admitted)
            deadlines.reserved = ReservedTarget(target, copy)
            answer = PlaceAnswer("t1", 1, 0.0, is_cold_grant=True)
            self.sends.take_grant(copy, target, answer, self.sends.get_clock_s())
            self.assertEqual(target, deadlines.find_reserved_target())
            self.offset_s += LATE_S
            self.assertIsNone(deadlines.find_reserved_target())

        self.run_cold(2, [], NO_SHARE, scenario)


class LocalTest(ColdSendsCase):
    """A node without an answer of the coordinator."""

    def test_all_cold(self) -> None:
        """Each target gets its share; the other requests are refused as not run."""

        async def scenario() -> None:
            self.make_cold("t0", "t1")
            results = await asyncio.gather(
                *(self.send_request("once") for _ in range(4))
            )
            self.assertEqual([200, 200, 503, 503], sorted(r[0] for r in results))
            self.assertEqual([1, 1], self.count_requests())

        self.run_cold(2, [], ONE_EACH, scenario)

    def test_not_its_share(self) -> None:
        """A node that was not chosen for a target sends it nothing."""

        async def scenario() -> None:
            self.fleet_view.hosts = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
            self.make_cold("t0")
            await self.send_request("once")
            self.assertEqual([0, 1], self.count_requests())

        self.run_cold(2, [], ONE_EACH, scenario)


class StatementTest(RelayCase):
    """What the answers of targets tell the node."""

    scenarios = [
        ("cold", {"script": make_answer(extra="Cold-Ms: 2500"), "is_cold": True}),
        ("warm", {"script": make_answer(extra="Cold-Ms: 0"), "is_cold": False}),
        ("none", {"script": make_answer(extra="Cold-Ms: nan"), "is_cold": False}),
        (
            "of_another_target",
            {
                "script": make_answer(extra="Cold-Ms: 2500\r\nInstance-Id: t9"),
                "is_cold": False,
            },
        ),
        ("broken", {"script": CutAnswer(b"HTTP/1.1 ", True), "is_cold": True}),
    ]

    def test_answer(self) -> None:
        """It counts as cold by its own word, or after a broken connection."""

        async def scenario() -> None:
            self.change_configuration(
                services=(Service(SERVICE, 0, None, None, 3, 5.9),)
            )
            await self.send_request("once")
            target = self.fleet_view.targets.entries["t0"].record
            catalog = self.services.dispatcher.catalog
            self.assertEqual(self.is_cold, catalog.cold.is_cold(target))

        self.run_relay([[self.script]], scenario)


class CoordinatorTest(testtools.TestCase):
    """Grants of a coordinator for two targets, one of them cold."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.coordinator = make_coordinator(self.clock)
        self.view = self.coordinator.catalog.fleet_view
        service = replace(
            CONFIGURATION.services[0], cold_start_s=3.0, cold_rate_per_s=5.9
        )
        self.view.configuration = replace(CONFIGURATION, services=(service,))
        self.view.get_time_s = self.clock.get_s
        self.view.get_contact_age_s = lambda: self.contact_age_s
        self.view.contact_since_s = 0.0
        self.contact_age_s = 0.0
        self.coordinator.drop_outdated()
        self.coordinator.catalog.update()
        self.clock.now_s = 100.0

    def place(self, **changes) -> PlaceAnswer:
        """Request a placement; the first target is cold as the call says."""
        changes = {"cold": {"t0": COLD_S}, "prompt_tokens": 0} | changes
        return asyncio.run(self.coordinator.on_place_call(make_place_call(**changes)))

    def test_grants(self) -> None:
        """A cold target gets its rate, marked as grants, and a warm one the rest."""
        answers = []
        for _ in range(200):
            self.clock.now_s += 0.01
            answer = self.place()
            self.coordinator.ledgers[PLACED_SERVICE].release(answer.number)
            answers.append(answer)
        granted = [a for a in answers if a.is_cold_grant]
        self.assertEqual({"t0"}, {a.target_id for a in granted})
        self.assertLessEqual(len(granted), 2 * RATE_PER_S)
        self.assertGreater(len(granted), RATE_PER_S)
        self.assertEqual({"t1"}, {a.target_id for a in answers if not a.is_cold_grant})

    def test_without_contact(self) -> None:
        """A coordinator that another one may have replaced grants nothing."""
        self.contact_age_s = 1.0
        for _ in range(50):
            self.clock.now_s += 0.1
            answer = self.place(excluded=["t1"])
            self.assertEqual("", answer.target_id)

    def test_retry_delay(self) -> None:
        """Requests that wait for grants do not call as often as they can."""
        self.assertGreaterEqual(
            self.place(excluded=["t1"]).wait_s, RETRY_DELAY_S[1] * 0.7
        )
