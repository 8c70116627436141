"""Reservations of another target that were made before something changed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import testscenarios

from laburnumpitch.errors import TargetError
from laburnumpitch.fleet.messages import PlaceCall
from laburnumpitch.relay.answer_deadlines import AnswerDeadlines

from .relay_case import CONFIGURATION, PacedAnswer, RelayCase, Script, make_answer
from .test_relay import CHUNKED_HEAD, EVENTS, make_chunk

PAUSE_S = 1.15
"""A pause a little longer than the time after which another target is looked for."""

PLACEMENT_S = 0.3
"""Time of a placement, in which the silent target goes on."""

DEADLINE_S = 8.0
"""A deadline that no pause reaches."""

WHOLE = make_answer()


class SlowCoordinator:
    """A coordinator that does not answer, later at each call after the first."""

    def __init__(self) -> None:
        self.calls = 0
        self.second_ended = asyncio.Event()

    async def request_placement(self, call: PlaceCall) -> None:
        """Return no answer, so that the node chooses the target."""
        self.calls += 1
        if self.calls > 1:
            await asyncio.sleep(PLACEMENT_S)
            self.second_ended.set()


class StaleReservationCase(RelayCase):
    """Base of tests of two targets and routes that allow the pauses."""

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start targets and a relay whose coordinator is slow."""
        await super().start(scripts)
        routes = [replace(r, timeout_s=DEADLINE_S) for r in CONFIGURATION.routes]
        self.change_configuration(routes=tuple(routes))
        self.coordinator = SlowCoordinator()
        self.services.dispatcher.placement_source = self.coordinator

    async def send(self, route: str) -> tuple[int, bytes]:
        """Send a request and return the status and the body of its answer."""
        status, _, body = await self.send_request(
            route, deadline_ms=int(DEADLINE_S * 1000)
        )
        return status, body


class GoingOnTest(StaleReservationCase):
    """The silent target goes on while the reservation is made, and is silent again."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("answer", {"route": "read", "parts": (b"", WHOLE[:-2], WHOLE[-2:])}),
            (
                "stream",
                {
                    "route": "resumed",
                    "parts": (b"", CHUNKED_HEAD, make_chunk(EVENTS) + b"0\r\n\r\n"),
                },
            ),
        ],
        [("no_budget", {"is_gone": False}), ("gone", {"is_gone": True})],
    )

    def test_first_target_answers(self) -> None:
        """The request waits for its target, as no other one may have it by then."""

        async def scenario() -> None:
            sending = asyncio.create_task(self.send(self.route))
            await self.coordinator.second_ended.wait()
            self.prevent_retry()
            body = b"whole" if self.route == "read" else EVENTS
            self.assertEqual((200, body), await sending)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[PacedAnswer(self.parts, PAUSE_S)], [WHOLE]], scenario)

    def prevent_retry(self) -> None:
        """Let no other target have the request."""
        services = self.services
        if self.is_gone:
            services.fleet_view.targets.mark_gone("t1", 0.0)
            services.dispatcher.on_fleet_change()
        else:
            services.retry_limiter.ratio = services.retry_limiter.slack = 0.0


class OtherBuildTest(StaleReservationCase):
    """A build begins a stream while a target of another build is reserved."""

    target_builds = {1: "v2"}
    builds_on_record = {"v1": True, "v2": True}

    def test_stream_is_not_joined(self) -> None:
        """The stream breaks off, since no target of its build is left."""

        async def scenario() -> None:
            with self.assertRaises(TargetError):
                await self.send("resumed")
            self.assertEqual([1, 0], self.count_requests())
            self.assertEqual({}, self.services.statistics.get_loads())

        comment = make_chunk(b": comment\n\n")
        broken = PacedAnswer((CHUNKED_HEAD, comment + b"broken\r\n"), PAUSE_S)
        second = CHUNKED_HEAD + make_chunk(EVENTS) + b"0\r\n\r\n"
        self.run_relay([[broken], [second]], scenario)


class ChangedFleetTest(StaleReservationCase):
    """The fleet changes after a target was reserved."""

    scenarios = [
        ("unchanged", {"reason": "", "is_kept": True, "is_taken": True}),
        ("no_budget", {"reason": "no_budget", "is_kept": False, "is_taken": True}),
        ("suspect", {"reason": "suspect", "is_kept": False, "is_taken": True}),
        *(
            (reason, {"reason": reason, "is_kept": False, "is_taken": False})
            for reason in ("gone", "replaced", "unreachable", "other_build")
        ),
    ]

    def test_released(self) -> None:
        """The reservation is kept only if the target may still run the request."""

        async def scenario() -> None:
            deadlines = await self.reserve()
            self.bring_about()
            deadline_s = await deadlines.extend()
            self.assertEqual(self.is_kept, deadline_s <= time.monotonic())
            self.assertEqual(self.is_kept, deadlines.reserved is not None)
            self.assertEqual(
                ["t1"] if self.is_kept else [],
                list(self.services.statistics.get_loads()),
            )

        self.run_relay([[], []], scenario)

    def test_taken(self) -> None:
        """A request takes the target only if it may still run it."""

        async def scenario() -> None:
            deadlines = await self.reserve()
            self.bring_about()
            self.assertEqual(self.is_taken, deadlines.take_reserved() is not None)
            self.assertEqual(
                ["t1"] if self.is_taken else [],
                list(self.services.statistics.get_loads()),
            )

        self.run_relay([[], []], scenario)

    async def reserve(self) -> AnswerDeadlines:
        """Return the deadlines of a request that has reserved the second target."""
        self.build = ""
        deadlines = AnswerDeadlines(
            self.services, self.get_deadline_s(), lambda: 1, lambda: self.build
        )
        first, _ = self.services.dispatcher.catalog.get_targets("shop")
        deadlines.start(first, self.make_admitted("resumed", 10), set())
        deadline_s = await deadlines.extend()
        self.assertLessEqual(deadline_s, time.monotonic())
        return deadlines

    def bring_about(self) -> None:
        """Change the fleet."""
        services = self.services
        _, second = services.dispatcher.catalog.get_targets("shop")
        if self.reason == "no_budget":
            services.retry_limiter.ratio = services.retry_limiter.slack = 0.0
        elif self.reason == "suspect":
            services.crash_reports.is_suspect = lambda admitted: True
        elif self.reason == "gone":
            services.fleet_view.targets.mark_gone("t1", 0.0)
            services.dispatcher.on_fleet_change()
        elif self.reason == "replaced":
            services.statistics.mark_replaced(second)
        elif self.reason == "unreachable":
            services.statistics.record_failure(second, True)
        elif self.reason == "other_build":
            self.build = "v0"
