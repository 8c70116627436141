"""Explanations of where a request would go, compared with where it goes then."""

from __future__ import annotations

import copy
import time
from types import SimpleNamespace
from unittest import mock

import msgspec
import testscenarios
from msgspec.structs import replace as replace_record

from laburnumpitch.errors import RpcTimeoutError
from laburnumpitch.metrics import Metrics
from laburnumpitch.platform.explain_api import answer_question
from laburnumpitch.policy.placement_ledger import PLACEMENT_TTL_S
from laburnumpitch.relay.coordinator import Coordinator, make_assignment_key
from laburnumpitch.relay.explanation import Explainer
from laburnumpitch.relay.placement_client import PlacementClient
from laburnumpitch.relay.placement_explanation import PlacementExplanations

from .relay_case import API_KEY, BUILD, HOST, SERVICE, Script, make_answer
from .test_allowed_regions import RegionCase
from .test_relay import CHUNKED_HEAD, EVENTS, make_chunk

WHOLE = make_answer()
STREAM = CHUNKED_HEAD + make_chunk(EVENTS) + b"0\r\n\r\n"


class ExplanationCase(RegionCase):
    """Base of tests with two targets; the first one is preferred."""

    is_coordinator = False
    """Whether this node is the coordinator of the service."""

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start targets and a relay that can explain requests."""
        await super().start(scripts)
        view = self.fleet_view
        view.get_time_s = time.monotonic
        self.services.statistics.get("t0")
        view.term = 1
        dispatcher = self.services.dispatcher
        self.coordinator = Coordinator(self.catalog, time.monotonic, dispatcher.random)
        client = PlacementClient(
            view, self.coordinator, None, 0, Metrics(), time.monotonic
        )
        if self.is_coordinator:
            view.assignments = {make_assignment_key(SERVICE): HOST}
            dispatcher.placement_source = client
        self.explainer = Explainer(
            self.relay_api,
            client,
            PlacementExplanations(self.coordinator, dispatcher),
            None,
            0,
            Metrics(),
        )

    async def explain(self, route: str, key: str = API_KEY, **changes) -> dict:
        """Return an explanation, and check that asking for it changes nothing."""
        question = {
            "host": HOST.upper(),
            "path": f"/{route}/x?q=1",
            "api_key": key,
            "deadline_ms": 1500,
        }
        before = self.copy_state()
        body = msgspec.json.encode(question | changes)
        answer = await answer_question(self.explainer.explain, body)
        self.assertEqual(before, self.copy_state())
        self.assertNotIn(key.encode(), answer)
        return msgspec.json.decode(answer)

    def copy_state(self) -> object:
        """Return a copy of the state that sending a request changes."""
        services, dispatcher = self.services, self.services.dispatcher
        return copy.deepcopy(
            (
                services.statistics.by_target,
                services.metrics.counters,
                services.retry_limiter.windows,
                hash(dispatcher.random.getstate()),
                dispatcher.placements,
                dispatcher.queue.requests,
                dispatcher.send_windows,
                self.catalog.shedding.periods,
                self.catalog.leaving.by_target,
                [
                    (ledger.usage_by_target, ledger.entries)
                    for ledger in self.coordinator.ledgers.values()
                ],
                self.coordinator.backoff_until_s,
                self.coordinator.probe_schedule.probed_s,
            )
        )


class RuledOutTest(ExplanationCase):
    """The preferred target is ruled out for a reason."""

    scenarios = testscenarios.multiply_scenarios(
        [
            (name, {"reason": name, "expected": expected, "expected_own": expected_own})
            for name, expected, expected_own in (
                ("region", "region", "region"),
                ("leaving", "leaving", "leaving"),
                ("shedding", "shedding", "shedding"),
                ("loading", "weights: loading", "weights: loading"),
                ("build", "build", "build"),
                ("backoff", "backoff", "unreachable"),
                ("full", "full: slots", "full"),
            )
        ],
        [
            ("node", {"is_coordinator": False}),
            ("coordinator", {"is_coordinator": True}),
        ],
    )

    def test_agrees(self) -> None:
        """The reason is named, and the request goes where the explanation says."""
        route = "resumed" if self.reason == "build" else "read"

        async def scenario() -> None:
            self.rule_out()
            explanation = await self.explain(route)
            (service,) = explanation["services"]
            first, second = sorted(
                service["choice"]["targets"], key=lambda target: target["target_id"]
            )
            reason = self.expected if self.is_coordinator else self.expected_own
            self.assertEqual(
                [reason, ""], [first["excluded_by"], second["excluded_by"]]
            )
            self.assertEqual(
                ("send", "t1"),
                (service["outcome"]["action"], service["outcome"]["target_id"]),
            )
            self.assertEqual(200, (await self.send_request(route))[0])
            self.assertEqual([0, 1], self.count_requests())

        whole = STREAM if route == "resumed" else WHOLE
        self.run_relay([[whole], [whole]], scenario)

    def rule_out(self) -> None:
        """Give the first target the reason."""
        table = self.fleet_view.targets
        first = table.entries["t0"].record
        if self.reason == "region":
            self.restrict(organisation=["east"])
        elif self.reason == "leaving":
            self.catalog.leaving.record(first)
        elif self.reason == "shedding":
            self.catalog.shedding.record(first, 9.0)
        elif self.reason == "loading":
            table.put(replace_record(first, sequence=3, is_loading=True), 0.0)
        elif self.reason == "build":
            table.put(replace_record(first, sequence=3, build="v0"), 0.0)
            self.fleet_view.builds = {SERVICE: {"v0": False, BUILD: True}}
        elif self.reason == "backoff":
            self.services.statistics.record_failure(first, True)
        elif self.is_coordinator:
            ledger = self.coordinator.get_ledger(SERVICE)
            for _ in range(5):
                ledger.assign("t0", 1, time.monotonic())
        else:
            for _ in range(2 * first.slots):
                self.services.statistics.record_start(first, 0)
        self.catalog.update()


class CoordinatorStateTest(ExplanationCase):
    """What a coordinator records when it assigns a placement."""

    is_coordinator = True

    def test_probe(self) -> None:
        """Guards against an explanation that uses up the probe of a silent target."""

        async def scenario() -> None:
            table = self.fleet_view.targets
            first = table.entries["t0"].record
            table.put(replace_record(first, sequence=3, is_silent=True), 0.0)
            self.catalog.update()
            ledger = self.coordinator.get_ledger(SERVICE)
            for _ in range(5):
                ledger.assign("t1", 1, time.monotonic())
            for _ in range(2):
                (service,) = (await self.explain("read"))["services"]
                self.assertEqual("t0", service["outcome"]["target_id"])
            await self.send_request("read")
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[WHOLE], []], scenario)

    def test_expired_placements(self) -> None:
        """Placements that the next call would release do not fill a target."""

        async def scenario() -> None:
            ledger = self.coordinator.get_ledger(SERVICE)
            for _ in range(5):
                ledger.assign("t0", 1, time.monotonic() - 2 * PLACEMENT_TTL_S)
            (service,) = (await self.explain("read"))["services"]
            self.assertEqual("t0", service["outcome"]["target_id"])
            self.assertEqual(5, len(ledger.entries))
            await self.send_request("read")
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[WHOLE], []], scenario)


class RefusedTest(ExplanationCase):
    """Requests that no target can take, or that are refused before."""

    scenarios = [
        ("no_region", {"reason": "no_region", "action": "refuse", "code": "no_target"}),
        ("full", {"reason": "full", "action": "wait", "code": "overloaded"}),
        ("key", {"reason": "key", "action": "refuse", "code": "unauthenticated"}),
        ("path", {"reason": "path", "action": "refuse", "code": "not_found"}),
        ("unready", {"reason": "unready", "action": "refuse", "code": "no_lease"}),
    ]

    def test_agrees(self) -> None:
        """The refusal comes as explained, with a delay within the bounds."""

        async def scenario() -> None:
            key = "wrong" if self.reason == "key" else API_KEY
            route = "nowhere" if self.reason == "path" else "read"
            if self.reason == "no_region":
                self.restrict(route=["north"])
            elif self.reason == "unready":
                self.fleet_view.configuration = None
            has_capacity = self.reason != "full"
            with mock.patch.object(
                self.services.dispatcher, "has_capacity", lambda *_: has_capacity
            ):
                explanation = await self.explain(route, key)
                status, headers, body = await self.send_request(route, key=key)
            outcome = explanation["refusal"]
            if outcome is None:
                outcome = explanation["services"][0]["outcome"]
            self.assertEqual(
                (self.action, self.code, status, body.decode()),
                (outcome["action"], self.code, outcome["status"], outcome["code"]),
            )
            bounds_s = outcome["retry_after_s"]
            self.assertEqual(bounds_s is not None, "retry-after" in headers)
            if bounds_s:
                low_s, high_s = bounds_s
                self.assertTrue(low_s <= float(headers["retry-after"]) <= high_s)
            self.assertEqual([0, 0], self.count_requests())

        self.run_relay([[], []], scenario)


class LostCoordinatorTest(ExplanationCase):
    """A coordinator on another node that does not answer, or says what is not used."""

    def test_own_choice(self) -> None:
        """The node explains its own choice, and why the other one is not used."""

        async def scenario() -> None:
            explainer = self.explainer
            explainer.placement_client = SimpleNamespace(
                find_coordinator=lambda service: "other"
            )
            explainer.pool = SimpleNamespace(get=self.get_client)
            for error, answers in (("rpc_timeout", False), ("excluded here", True)):
                self.answers = answers
                (service,) = (await self.explain("read"))["services"]
                self.assertEqual("other", service["coordinator"])
                self.assertIn(error, service["coordinator_error"])
                self.assertEqual(HOST, service["choice"]["host"])
                self.assertEqual("t1", service["outcome"]["target_id"])

        def rule_out_first(target, call) -> str:
            return "region" if target.target_id == "t0" else ""

        async def run() -> None:
            with mock.patch.object(self.catalog, "find_exclusion", rule_out_first):
                await scenario()

        self.run_relay([[], []], run)

    def get_client(self, address: str) -> SimpleNamespace:
        """Return a client of the coordinator."""

        async def call(question, timeout_s: float):
            if not self.answers:
                raise RpcTimeoutError(address)
            explanations = self.explainer.explanations
            choice = await explanations.explain_local_choice(question.call)
            return replace_record(choice, host="other", chosen_id="t0")

        return SimpleNamespace(call=call)
