"""Late requests that are sent to a second target: which answer wins, what is left."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

import testscenarios

from laburnumpitch.errors import TargetError
from laburnumpitch.fleet.messages import PlaceCall
from laburnumpitch.relay.configuration import NON_IDEMPOTENT
from laburnumpitch.relay.repeated_sends import LOG_INTERVAL_S, RepeatedSends
from laburnumpitch.relay.second_target import make_late_copy

from .relay_case import (
    CONFIGURATION,
    CutAnswer,
    HeldClose,
    PacedAnswer,
    RelayCase,
    Script,
    make_answer,
)
from .test_relay import CHUNKED_HEAD, EVENTS, NOT_RUN, make_chunk
from .test_silent_targets import RecordingSource

USUAL_S = 0.04
"""Usual time of an answer; twice as long counts as late."""

PAUSE_S = 0.3
"""A pause that makes an answer late, and after which it still comes."""

LONG_PAUSE_S = 5.0
"""A pause after which an answer comes too late."""

DEADLINE_MS = 60_000
"""A deadline that no test reaches: it would end what should be ended before."""

FULL = 100
ENOUGH_REQUESTS = 100

FIRST = make_answer(body=b"first", seal="first")
SECOND = make_answer(body=b"second", seal="second")
SECOND_EVENTS = EVENTS.replace(b"data: ", b"data: second ")


def make_stream(events: bytes, seal: str) -> bytes:
    """Return a complete stream."""
    head = CHUNKED_HEAD.replace(b"s1", seal.encode())
    return head + make_chunk(events) + b"0\r\n\r\n"


FIRST_STREAM = make_stream(EVENTS, "first")
SECOND_STREAM = make_stream(SECOND_EVENTS, "second")
PART_OF_EVENT = CHUNKED_HEAD + make_chunk(EVENTS[:9])

READ = {"route": "read", "parts": (b"", FIRST), "second": SECOND, "body": b"second"}
STREAM = {"route": "resumed", "second": SECOND_STREAM, "body": SECOND_EVENTS}
LATE_ANSWERS = [
    ("head", READ),
    ("head_of_a_stream", {**STREAM, "parts": (b"", FIRST_STREAM)}),
    ("first_event", {**STREAM, "parts": (CHUNKED_HEAD, make_chunk(EVENTS))}),
    ("inside_the_first_event", {**STREAM, "parts": (PART_OF_EVENT, b"")}),
]
"""What is late of the first answer, and the second one."""


class HedgeCase(RelayCase):
    """A relay that knows how long answers usually take, and has share left."""

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start targets and the relay."""
        await super().start(scripts)
        routes = [replace(r, timeout_s=60.0) for r in CONFIGURATION.routes]
        self.change_configuration(routes=tuple(routes))
        self.metrics = self.services.metrics
        sends = RepeatedSends(0.2, self.metrics, time.monotonic)
        self.services.repeated_sends = sends
        now_s = time.monotonic()
        for route in ("read", "resumed", "once", "stream"):
            kind = sends.make_kind(self.make_admitted(route, 0))
            for number in range(ENOUGH_REQUESTS):
                sends.policy.usual.record(kind, f"other{number}", USUAL_S, now_s)
                sends.policy.record_request(now_s)

    async def send(self) -> tuple[int, dict, bytes]:
        """Send a request."""
        return await self.send_request(
            self.route, deadline_ms=DEADLINE_MS, prefix_hash="a:1,b:1"
        )

    def assert_released(self) -> None:
        """Check that nothing stays counted at a target."""
        self.assertEqual({}, self.services.statistics.get_loads())
        self.assertEqual({}, self.services.dispatcher.placements)
        stats = self.services.statistics.by_target.values()
        self.assertEqual([0] * len(stats), [s.pending_prefill_tokens for s in stats])

    def count_sends(self) -> list[int]:
        """Return the numbers of second sends, wins, and sends that were not made."""
        names = ("hedge.sent", "hedge.won", "hedge.suppressed")
        return [int(self.metrics.counters.get(name, 0)) for name in names]


class SecondWinsTest(HedgeCase):
    """The first answer is late, and the second target answers at once."""

    scenarios = LATE_ANSWERS
    target_builds = {1: "v2"}
    builds_on_record = {"v1": True, "v2": True}

    def test_whole_second_answer(self) -> None:
        """Nothing of the first answer is delivered, and its target is left."""

        async def scenario() -> None:
            source = RecordingSource(0.0)
            self.services.dispatcher.placement_source = source
            status, headers, body = await self.send()
            self.assertEqual((200, self.body), (status, body))
            self.assertEqual("second", headers["server-seal"])
            self.assertEqual([1, 1], self.count_requests())
            await self.targets[0].closed.wait()
            self.assert_released()
            self.assertEqual([0, 1], sorted(source.released))
            self.assertEqual([1, 1, 0], self.count_sends())
            retries = self.services.retry_limiter.windows["shop"].retries
            self.assertEqual(1, len(retries))
            left_ms = [
                int(t.requests[0].lower().partition(b"deadline-ms: ")[2].split()[0])
                for t in self.targets
            ]
            self.assertLess(left_ms[1], left_ms[0])
            if self.route == "resumed":
                origin, _ = self.stream_origins.known["a1"]
                self.assertEqual("v2", origin.build)

        first = PacedAnswer(self.parts, LONG_PAUSE_S)
        self.run_relay([[first], [self.second]], scenario)


class FirstWinsTest(HedgeCase):
    """The first answer comes while the second target has the request."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("read", {"route": "read", "first": FIRST, "body": b"first"}),
            ("stream", {"route": "resumed", "first": FIRST_STREAM, "body": EVENTS}),
        ],
        [
            ("silent", {"second": None}),
            ("refuses", {"second": NOT_RUN}),
            ("breaks_off", {"second": CutAnswer(b"", False)}),
            ("error", {"second": make_answer(500)}),
        ],
    )

    def test_first_answer(self) -> None:
        """It is delivered, whatever the second target does, which is left."""

        async def scenario() -> None:
            status, headers, body = await self.send()
            self.assertEqual((200, self.body), (status, body))
            self.assertEqual([1, 1], self.count_requests())
            if self.second is None:
                await self.targets[1].closed.wait()
            self.assert_released()
            self.assertEqual([1, 0, 0], self.count_sends())

        first = PacedAnswer((b"", self.first), PAUSE_S)
        self.run_relay([[first], [self.second]], scenario)


class FirstFailsTest(HedgeCase):
    """The first target fails while the second one has the request."""

    route = "read"
    scenarios = [
        ("breaks_off", {"first": HeldClose()}),
        ("error", {"first": PacedAnswer((b"", make_answer(500)), PAUSE_S)}),
        ("refuses", {"first": PacedAnswer((b"", NOT_RUN), PAUSE_S)}),
    ]

    def test_waits_for_the_second(self) -> None:
        """The second answer is delivered, and no third send is made."""

        async def scenario() -> None:
            sending = asyncio.create_task(self.send())
            while not self.targets[1].requests:
                await asyncio.sleep(0.01)
            self.targets[0].release.set()
            status, _, body = await sending
            self.assertEqual((200, b"second"), (status, body))
            self.assertEqual([1, 1, 0], self.count_requests())
            self.assert_released()

        second = PacedAnswer((b"", SECOND), 2 * PAUSE_S)
        self.run_relay([[self.first], [second], [SECOND]], scenario)


class BothFailTest(HedgeCase):
    """Neither target gives a good answer."""

    route = "read"
    scenarios = [
        (
            "break_off",
            {"first": HeldClose(), "second": CutAnswer(b"", False), "status": 502},
        ),
        (
            "first_may_have_run",
            {"first": HeldClose(), "second": NOT_RUN, "status": 502},
        ),
        (
            "errors",
            {
                "first": PacedAnswer((b"", make_answer(500)), PAUSE_S),
                "second": make_answer(500),
                "status": 500,
            },
        ),
        (
            "neither_has_run",
            {
                "first": PacedAnswer((b"", NOT_RUN), PAUSE_S),
                "second": NOT_RUN,
                "status": 503,
            },
        ),
    ]

    def test_status(self) -> None:
        """It states that the request has not run only if both targets said so."""

        async def scenario() -> None:
            sending = asyncio.create_task(self.send())
            while not self.targets[1].requests:
                await asyncio.sleep(0.01)
            self.targets[0].release.set()
            status, *_ = await sending
            self.assertEqual(self.status, status)
            self.assertEqual([1, 1], self.count_requests())
            self.assert_released()

        self.run_relay([[self.first], [self.second]], scenario)


class WinnerBreaksOffTest(HedgeCase):
    """The second answer wins and then breaks off."""

    route = "read"

    def test_no_third_target(self) -> None:
        """The target that was left counts as one that may have run the request."""

        async def scenario() -> None:
            status, *_ = await self.send()
            self.assertEqual(502, status)
            self.assertEqual([1, 1, 0], self.count_requests())
            self.assert_released()

        scripts = [[None], [CutAnswer(FIRST[:-2], False)], [SECOND]]
        self.run_relay(scripts, scenario)


class ClientLeavesTest(HedgeCase):
    """The client disconnects while two targets have its request."""

    scenarios = [("read", {"route": "read"}), ("stream", {"route": "resumed"})]

    def test_both_are_left(self) -> None:
        """Both connections are closed, and both placements released."""

        async def scenario() -> None:
            source = RecordingSource(0.0)
            self.services.dispatcher.placement_source = source
            sending = asyncio.create_task(self.send())
            while not self.targets[1].requests:
                await asyncio.sleep(0.01)
            sending.cancel()
            for target in self.targets:
                await target.closed.wait()
            self.assert_released()
            self.assertEqual([0, 1], sorted(source.released))

        self.run_relay([[None], [None]], scenario)


class CountsTest(HedgeCase):
    """An operator reads what the second sends cost and brought."""

    route = "read"

    def test_log_line(self) -> None:
        """One line has the requests, the second sends, the wins and the reasons."""
        lines = []

        async def scenario() -> None:
            sends = self.services.repeated_sends
            sends.log = SimpleNamespace(info=lambda event, **line: lines.append(line))
            await self.send()
            sends.record_suppressed("share")
            sends.logged_s -= LOG_INTERVAL_S
            await self.send()
            expected = {
                "requests": 2,
                "sent": 1,
                "won": 1,
                "share": 0.5,
                "against_share": 1,
            }
            self.assertEqual(expected, {name: lines[0][name] for name in expected})
            self.assertEqual(1, len(lines))

        scripts = [[PacedAnswer((b"", FIRST), LONG_PAUSE_S), FIRST], [SECOND, SECOND]]
        self.run_relay(scripts, scenario)


class NotSentTest(HedgeCase):
    """A second target cannot be connected to."""

    route = "read"

    def test_saves_are_cancelled(self) -> None:
        """Nothing waits for kept context that this send would have saved."""
        cancelled = []

        async def scenario() -> None:
            planner = self.services.planner
            planner.cancel_saves = lambda admitted, plan: cancelled.append(admitted)
            self.targets[1].server.close()
            status, _, body = await self.send()
            self.assertEqual((200, b"first"), (status, body))
            self.assertEqual(1, len(cancelled))
            self.assert_released()
            self.assertEqual([0, 0, 0], self.count_sends())

        self.run_relay([[PacedAnswer((b"", FIRST), PAUSE_S)], []], scenario)


class NoSecondSendTest(HedgeCase):
    """A late request that must stay at its first target."""

    scenarios = testscenarios.multiply_scenarios(
        [("read", {"route": "read"}), ("stream", {"route": "resumed"})],
        [
            (reason, {"reason": reason})
            for reason in (
                "off",
                "one_attempt",
                "full",
                "loaded",
                "cold",
                "leaving",
                "shedding",
                "suspect_target",
                "suspect_piece",
                "suspect_request",
                "no_budget",
                "no_share",
                "all_slow",
            )
        ],
    ) + [
        ("non_idempotent", {"route": "once", "reason": "kind"}),
        ("stream_that_cannot_be_resumed", {"route": "stream", "reason": "kind"}),
    ]

    def prepare(self) -> None:
        """Bring about the reason."""
        services, view = self.services, self.services.fleet_view
        catalog = services.dispatcher.catalog
        _, second = catalog.get_targets("shop")
        sends = services.repeated_sends
        if self.reason == "off":
            services.repeated_sends = None
        elif self.reason == "one_attempt":
            routes = [replace(r, max_targets=1) for r in view.configuration.routes]
            self.change_configuration(routes=tuple(routes))
        elif self.reason in ("full", "loaded"):
            # Without the first target, others would still place requests there.
            running = FULL if self.reason == "full" else second.slots
            services.statistics.get("t1").running = running
        elif self.reason == "cold":
            view.targets.update("t1", cold_s=1.0)
            services.dispatcher.on_fleet_change()
        elif self.reason == "leaving":
            catalog.leaving.record(second)
        elif self.reason == "shedding":
            catalog.shedding.record(second, 30.0)
        elif self.reason == "suspect_target":
            services.statistics.record_failure(second, True)
        elif self.reason == "suspect_piece":
            view.suspect_pieces = frozenset(("a",))
        elif self.reason == "suspect_request":
            admitted = self.make_admitted(self.route, 0)
            organisation = view.configuration.organisations[0]
            request = replace(admitted.request, path=f"/{self.route}/x", query="q=1")
            request = replace(request, body=b"body")
            admitted = replace(admitted, request=request, organisation=organisation)
            view.suspect_requests = frozenset((admitted.fingerprint,))
        elif self.reason == "no_budget":
            services.retry_limiter.ratio = services.retry_limiter.slack = 0.0
        elif self.reason == "no_share":
            sends.policy.share = 0.0
        elif self.reason == "all_slow":
            kind = sends.make_kind(self.make_admitted(self.route, 0))
            for number in range(3 * ENOUGH_REQUESTS):
                sends.policy.start(-number, kind, "other", 0.0)

    def test_first_target_answers(self) -> None:
        """Its answer is awaited, and no other target gets the request."""

        async def scenario() -> None:
            self.prepare()
            try:
                status, _, body = await self.send()
            except TargetError as error:
                self.fail(error.detail)
            is_stream = self.route in ("stream", "resumed")
            expected = EVENTS if is_stream else b"first"
            self.assertEqual((200, expected), (status, body))
            self.assertEqual([1, 0], self.count_requests())
            is_decided = self.reason not in ("off", "kind", "one_attempt")
            self.assertEqual([0, 0, int(is_decided)], self.count_sends())

        whole = FIRST_STREAM if self.route in ("stream", "resumed") else FIRST
        first = PacedAnswer((b"", whole), PAUSE_S)
        self.run_relay([[first], [SECOND]], scenario)


class LatePlacementTest(HedgeCase):
    """The coordinator is asked for a second target."""

    def test_smaller_backlog(self) -> None:
        """It is used only if its backlog is smaller than for the first send."""

        async def scenario() -> None:
            make_call = self.services.dispatcher.make_place_call
            admitted = self.make_admitted("resumed", 10)
            first = make_call(admitted, frozenset(), "")
            second = make_call(make_late_copy(admitted), frozenset(), "")
            self.assertLess(second.max_backlog_s, first.max_backlog_s)

        self.run_relay([[]], scenario)


class ChangedWhileAskingTest(HedgeCase):
    """The request may no longer be repeated when its second target is found."""

    scenarios = [
        ("kind", {"route": "read", "changes": "kind"}),
        ("suspect", {"route": "read", "changes": "suspect"}),
    ]

    def test_not_sent(self) -> None:
        """The placement is released, and the first answer delivered."""

        async def scenario() -> None:
            source = RecordingSource(0.0)
            request_placement = source.request_placement

            async def change(call: PlaceCall):
                result = await request_placement(call)
                if len(source.assigned) == 2 and self.changes == "kind":
                    routes = self.services.fleet_view.configuration.routes
                    changed = [replace(r, kind=NON_IDEMPOTENT) for r in routes]
                    self.change_configuration(version=2, routes=tuple(changed))
                elif len(source.assigned) == 2:
                    self.fleet_view.suspect_pieces = frozenset(("a",))
                return result

            source.request_placement = change
            self.services.dispatcher.placement_source = source
            status, _, body = await self.send()
            self.assertEqual((200, b"first"), (status, body))
            self.assertEqual([1, 0], self.count_requests())
            self.assertEqual(["t0", "t1"], source.assigned)
            self.assertEqual([0, 1], sorted(source.released))
            self.assert_released()

        self.run_relay([[PacedAnswer((b"", FIRST), PAUSE_S)], [SECOND]], scenario)


class BegunStreamTest(HedgeCase):
    """A stream is silent after its first event."""

    route = "resumed"

    def test_stays_at_its_target(self) -> None:
        """The events of two targets are not mixed."""
        half = len(EVENTS) // 2
        parts = (
            CHUNKED_HEAD + make_chunk(EVENTS[:half]),
            make_chunk(EVENTS[half:]) + b"0\r\n\r\n",
        )

        async def scenario() -> None:
            status, _, body = await self.send()
            self.assertEqual((200, EVENTS), (status, body))
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[PacedAnswer(parts, PAUSE_S)], [SECOND_STREAM]], scenario)
