"""Requests whose target is silent for a moment and goes on."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import testscenarios

from laburnumpitch.fleet.messages import PlaceAnswer, PlaceCall
from laburnumpitch.relay.answer_deadlines import AnswerDeadlines
from laburnumpitch.relay.placement_client import Placement
from laburnumpitch.relay.target_statistics import INITIAL_BACKOFF_S

from .relay_case import CONFIGURATION, HOST, PacedAnswer, RelayCase, Script, make_answer
from .test_relay import CHUNKED_HEAD, EVENTS, make_chunk

PAUSE_S = 1.1
"""A pause after which a request that may run again looks for another target."""

DEADLINE_S = 6.0
"""A deadline that no pause reaches."""

REQUESTS = 20
"""Requests that fall silent together."""

FULL = 100
"""More requests than any target takes."""

WHOLE = make_answer()
FIRST_EVENT = make_chunk(EVENTS[: len(EVENTS) // 2])
LAST_EVENT = make_chunk(EVENTS[len(EVENTS) // 2 :]) + b"0\r\n\r\n"

ANSWERS = [
    ("before_the_head", {"route": "read", "parts": (b"", WHOLE)}),
    ("in_the_body", {"route": "read", "parts": (WHOLE[:-2], WHOLE[-2:])}),
    (
        "in_a_body_without_length",
        {
            "route": "read",
            "parts": (CHUNKED_HEAD + b"2\r\nwh\r\n", b"3\r\nole\r\n0\r\n\r\n"),
        },
    ),
    (
        "before_the_stream",
        {"route": "resumed", "parts": (b"", CHUNKED_HEAD + FIRST_EVENT + LAST_EVENT)},
    ),
    (
        "before_the_first_event",
        {"route": "resumed", "parts": (CHUNKED_HEAD, FIRST_EVENT + LAST_EVENT)},
    ),
    (
        "between_events",
        {"route": "resumed", "parts": (CHUNKED_HEAD + FIRST_EVENT, LAST_EVENT)},
    ),
    (
        "in_an_event",
        {
            "route": "resumed",
            "parts": (
                CHUNKED_HEAD + FIRST_EVENT + LAST_EVENT[:9],
                LAST_EVENT[9:],
            ),
        },
    ),
]
"""Answers with a pause, and the route of their request."""


class SilentTargetCase(RelayCase):
    """Requests to a first target that is silent, beside a second one."""

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start targets and a relay whose routes allow the pauses."""
        await super().start(scripts)
        routes = [replace(r, timeout_s=DEADLINE_S) for r in CONFIGURATION.routes]
        self.change_configuration(routes=tuple(routes))

    async def send(self) -> tuple[int, bytes]:
        """Send a request and return the status and the body of its answer."""
        status, _, body = await self.send_request(
            self.route, deadline_ms=int(DEADLINE_S * 1000), prefix_hash="a:1,b:1"
        )
        return status, body

    def get_whole_body(self) -> bytes:
        """Return the body of the route's answer."""
        return b"whole" if self.route == "read" else EVENTS

    def make_whole_answer(self) -> bytes:
        """Return an answer without a pause."""
        return (
            WHOLE if self.route == "read" else CHUNKED_HEAD + FIRST_EVENT + LAST_EVENT
        )

    def make_second_answer(self) -> bytes:
        """Return what another target answers after the first part of the answer."""
        if self.parts[0].startswith(CHUNKED_HEAD + FIRST_EVENT):
            return CHUNKED_HEAD + LAST_EVENT
        return self.make_whole_answer()

    async def assert_whole_answer(self) -> None:
        """Check that a request is answered whole, and that nothing stays counted."""
        self.assertEqual((200, self.get_whole_body()), await self.send())
        self.assertEqual({}, self.services.statistics.get_loads())
        self.assertEqual({}, self.services.dispatcher.placements)


class NoOtherTargetTest(SilentTargetCase):
    """The second target cannot take the request."""

    scenarios = testscenarios.multiply_scenarios(
        ANSWERS,
        [
            (reason, {"reason": reason})
            for reason in ("full", "unreachable", "suspect", "no_budget", "gone")
        ],
    )

    def prepare(self) -> None:
        """Bring about the reason."""
        services = self.services
        targets = services.dispatcher.catalog.get_targets("shop")
        if self.reason == "full":
            services.statistics.get("t1").running = FULL
        elif self.reason == "unreachable":
            services.statistics.record_failure(targets[1], True)
        elif self.reason == "suspect":
            services.fleet_view.suspect_pieces = frozenset(("a",))
        elif self.reason == "no_budget":
            services.retry_limiter.ratio = services.retry_limiter.slack = 0.0
        elif self.reason == "gone":
            services.fleet_view.targets.mark_gone("t1", 0.0)
            services.dispatcher.on_fleet_change()

    def test_first_target_answers(self) -> None:
        """The request waits for its target, and gets its whole answer."""

        async def scenario() -> None:
            self.prepare()
            self.assertEqual((200, self.get_whole_body()), await self.send())
            self.assertEqual([1, 0], self.count_requests())
            loads = self.services.statistics.get_loads()
            self.assertNotIn("t0", loads)
            self.assertEqual({}, self.services.dispatcher.placements)

        first = PacedAnswer(self.parts, PAUSE_S)
        self.run_relay([[first], [self.make_whole_answer()]], scenario)


class OtherTargetTest(SilentTargetCase):
    """The second target can take the request."""

    scenarios = ANSWERS

    def test_second_target_answers(self) -> None:
        """It answers, after the connection to the silent target was closed."""

        async def scenario() -> None:
            await self.assert_whole_answer()
            self.assertEqual([1, 1], self.count_requests())
            self.assertEqual(
                1, len(self.services.retry_limiter.windows["shop"].retries)
            )

        second = self.make_second_answer()
        first = PacedAnswer((self.parts[0], self.parts[1]), 2 * PAUSE_S)
        self.run_relay([[first], [second]], scenario)


class RecordingSource:
    """A coordinator that assigns the first target that is not excluded.

    Args:
        delay_s: Time that each answer after the first takes.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.assigned: list[str] = []
        """Targets in the sequence of their placements."""
        self.released: list[int] = []
        """Numbers of the placements that were released."""

    async def request_placement(self, call: PlaceCall) -> tuple[PlaceAnswer, Placement]:
        """Return a placement."""
        if self.assigned:
            await asyncio.sleep(self.delay_s)
        target_id = next(t for t in ("t0", "t1") if t not in call.excluded)
        number = len(self.assigned)
        self.assigned.append(target_id)
        placement = Placement(call.service, HOST, number)
        return PlaceAnswer(target_id, number, 0.0), placement

    def report_prefill_end(self, placement: Placement) -> None:
        """Ignore the end of a prefill."""

    def release(self, placement: Placement) -> None:
        """Record that a placement is released."""
        self.released.append(placement.number)


class PlacementTest(SilentTargetCase):
    """Placements of a request whose target is silent."""

    scenarios = testscenarios.multiply_scenarios(
        ANSWERS,
        [
            ("leaves", {"delay_s": 0.0, "pause_s": 3 * PAUSE_S, "requests": [1, 1]}),
            ("goes_on", {"delay_s": 1.0, "pause_s": 1.4, "requests": [1, 0]}),
        ],
    )

    def test_released_once(self) -> None:
        """Both placements are released, also if the silent target goes on meanwhile."""

        async def scenario() -> None:
            source = RecordingSource(self.delay_s)
            self.services.dispatcher.placement_source = source
            await self.assert_whole_answer()
            self.assertEqual(self.requests, self.count_requests())
            self.assertEqual(["t0", "t1"], source.assigned)
            self.assertEqual([0, 1], sorted(source.released))

        second = self.make_second_answer()
        self.run_relay([[PacedAnswer(self.parts, self.pause_s)], [second]], scenario)


class LateCapacityTest(SilentTargetCase):
    """The second target gets capacity while the first one is silent."""

    scenarios = ANSWERS

    def test_leaves_then(self) -> None:
        """The request goes there as soon as it can."""

        async def scenario() -> None:
            stats = self.services.statistics.get("t1")
            stats.running = FULL
            sending = asyncio.create_task(self.send())
            while not self.services.statistics.is_possibly_unreachable(
                self.services.dispatcher.catalog.get_targets("shop")[0]
            ):
                await asyncio.sleep(0.01)
            stats.running = 0
            self.assertEqual((200, self.get_whole_body()), await sending)
            self.assertEqual([1, 1], self.count_requests())

        second = self.make_second_answer()
        self.run_relay([[PacedAnswer(self.parts, 3 * PAUSE_S)], [second]], scenario)


class CommonPauseTest(SilentTargetCase):
    """Many requests at one target fall silent in one pause."""

    def test_one_backoff(self) -> None:
        """The pause counts as one failure to reach the target."""

        async def scenario() -> None:
            services = self.services
            services.retry_limiter.ratio = services.retry_limiter.slack = 0.0
            first, _ = services.dispatcher.catalog.get_targets("shop")
            for _ in range(REQUESTS):
                deadlines = AnswerDeadlines(
                    services, self.get_deadline_s(), lambda: 1, lambda: ""
                )
                deadlines.start(first, self.make_admitted("read", 10), set())
                await deadlines.extend()
            stats = services.statistics.get("t0")
            self.assertEqual(2 * INITIAL_BACKOFF_S, stats.backoff_s)

        self.run_relay([[], []], scenario)
