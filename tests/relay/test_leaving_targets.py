"""Requests that went to targets after these had said that they are leaving."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from laburnumpitch.fleet import messages
from laburnumpitch.fleet.messages import PlaceAnswer
from laburnumpitch.relay.answer_deadlines import ReservedTarget
from laburnumpitch.relay.placement_client import Placement
from laburnumpitch.relay.relay_run import RelayRun

from .relay_case import SERVICE, RelayCase, Script, make_answer
from .test_relay import CHUNKED_HEAD, EVENTS, make_chunk

DRAIN_S = 2.0
"""Time after which no request may reach a leaving target, by the users' rules."""

BACKOFF_S = 0.1
"""A pause after which a target that rejected a request may be tried again."""

FULL = 100
"""More requests than any target takes."""

LEAVING = "Server-Leaving: 1"
WHOLE = make_answer()
LEAVING_WHOLE = make_answer(extra=LEAVING)
LEAVING_HEAD = CHUNKED_HEAD.replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n\r\n".encode())
STREAM = CHUNKED_HEAD + make_chunk(EVENTS) + b"0\r\n\r\n"
LEAVING_STREAM = LEAVING_HEAD + make_chunk(EVENTS) + b"0\r\n\r\n"


def make_refusal(status: int, extra: str) -> bytes:
    """Return an answer to a request that was not run."""
    return make_answer(status, b"", seal="", extra=f"Not-Executed: 1\r\n{extra}")


ANSWERS = [
    ("plain", {"route": "read", "first": LEAVING_WHOLE}),
    ("not_idempotent", {"route": "once", "first": LEAVING_WHOLE}),
    ("stream", {"route": "stream", "first": LEAVING_STREAM}),
    ("broken_stream", {"route": "resumed", "first": LEAVING_HEAD}),
    ("error", {"route": "once", "first": make_answer(500, extra=LEAVING)}),
    ("retried_error", {"route": "read", "first": make_answer(500, extra=LEAVING)}),
    ("client_error", {"route": "read", "first": make_answer(404, extra=LEAVING)}),
    ("refusal", {"route": "once", "first": make_refusal(503, LEAVING)}),
    (
        "other_weights",
        {
            "route": "once",
            "first": make_refusal(421, f"Instance-Id: t0\r\n{LEAVING}"),
        },
    ),
    (
        "no_seal",
        {"route": "read", "first": make_answer(seal="", extra=LEAVING)},
    ),
    (
        "another_attempt",
        {"route": "read", "first": make_answer(request_id="a0", extra=LEAVING)},
    ),
]
"""First answers of a target that is leaving, and the route of their request."""


class LeavingTargetCase(RelayCase):
    """Requests to a first target that leaves, which is preferred to a second one."""

    async def start(self, scripts: list[list[Script]]) -> None:
        """Start a relay that prefers the first target even after its failures."""
        await super().start(scripts)
        for number in range(1, len(scripts)):
            self.services.statistics.get(f"t{number}").failure_rate = 0.9

    async def send_after_pause(self) -> int:
        """Send a plain request after a backoff has ended; return the status."""
        await asyncio.sleep(BACKOFF_S)
        status, *_ = await self.send_request("read")
        return status

    def announce(self, **changes) -> None:
        """Have the first target announce itself with changed fields."""
        table = self.fleet_view.targets
        record = replace(table.entries["t0"].record, **changes)
        table.apply_announcement(record, 0.0)
        self.signal_change()

    def signal_change(self) -> None:
        """Tell the node that the fleet's state has changed."""
        for callback in self.fleet_view.on_change:
            callback()


class LeavingAnswerTest(LeavingTargetCase):
    """Any answer says that its target is leaving."""

    scenarios = ANSWERS

    def test_next_request(self) -> None:
        """The next request went to the target."""

        async def scenario() -> None:
            await self.send_request(self.route)
            count = len(self.targets[1].requests)
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([1, count + 1], self.count_requests())

        other = STREAM if self.route == "resumed" else WHOLE
        self.run_relay([[self.first, WHOLE], [other, WHOLE, WHOLE]], scenario)

    def test_late_announcement(self) -> None:
        """An announcement that the target had sent before undid it."""

        async def scenario() -> None:
            await self.send_request(self.route)
            self.announce(sequence=2)
            await self.send_after_pause()
            self.assertEqual(1, len(self.targets[0].requests))

        other = STREAM if self.route == "resumed" else WHOLE
        self.run_relay([[self.first, WHOLE], [other, WHOLE, WHOLE]], scenario)

    def test_notice(self) -> None:
        """The leader was not notified, or of another incarnation."""

        async def scenario() -> None:
            await self.send_request(self.route)
            await self.wait_notices()
            expected = messages.TargetLeaving("t0", 1)
            self.assertEqual(1, self.notices.count(expected), self.notices)

        other = STREAM if self.route == "resumed" else WHOLE
        self.run_relay([[self.first], [other]], scenario)


class OtherStatementTest(LeavingTargetCase):
    """Answers that do not say that the target is leaving."""

    scenarios = [
        ("zero", {"first": make_answer(extra="Server-Leaving: 0")}),
        ("empty", {"first": make_answer(extra="Server-Leaving: ")}),
        (
            "another_target",
            {"first": make_answer(extra=f"Instance-Id: t7\r\n{LEAVING}")},
        ),
    ]

    def test_next_request(self) -> None:
        """The next request did not go to the preferred target."""

        async def scenario() -> None:
            await self.send_request("read")
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([2, 0], self.count_requests())

        self.run_relay([[self.first, WHOLE], [WHOLE]], scenario)


class NewIncarnationTest(LeavingTargetCase):
    """The target starts anew after it has left."""

    def test_next_request(self) -> None:
        """A new incarnation counted as leaving."""

        async def scenario() -> None:
            await self.send_request("read")
            self.announce(born_ms=2, sequence=1)
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([2, 0], self.count_requests())

        self.run_relay([[LEAVING_WHOLE, WHOLE], [WHOLE]], scenario)


class OnlyLeavingTargetsTest(LeavingTargetCase):
    """All targets of a service say that they are leaving."""

    def test_before_the_drain(self) -> None:
        """A request was refused while a target still serves."""

        async def scenario() -> None:
            await self.send_request("read")
            self.assertEqual(200, await self.send_after_pause())

        self.run_relay([[LEAVING_WHOLE, LEAVING_WHOLE]], scenario)

    def test_after_the_drain(self) -> None:
        """A request reached the target too late, or was not refused as not run."""

        async def scenario() -> None:
            await self.send_request("read")
            await asyncio.sleep(DRAIN_S)
            status, *_ = await self.send_request("once")
            self.assertEqual(503, status)
            self.assertEqual([1], self.count_requests())

        self.run_relay([[LEAVING_WHOLE, LEAVING_WHOLE]], scenario)


class ToldByLeaderTest(LeavingTargetCase):
    """Another node has seen the answer."""

    def test_next_request(self) -> None:
        """The next request went to the target."""

        async def scenario() -> None:
            self.fleet_view.targets.update("t0", has_said_leaving=True)
            self.signal_change()
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([0, 1], self.count_requests())

        self.run_relay([[WHOLE], [WHOLE]], scenario)


class WaitingRequestTest(LeavingTargetCase):
    """A request waits for a target that says meanwhile that it is leaving."""

    def record_answer(self) -> None:
        """Record that the first target has said that it is leaving."""
        record = self.fleet_view.targets.entries["t0"].record
        self.services.record_leaving(record)

    def test_reserved(self) -> None:
        """A request went to a target that was reserved for it before."""

        async def scenario() -> None:
            admitted = self.make_admitted("read", 0)
            run = RelayRun(self.services, admitted, None)
            target = await run.acquire()
            self.assertEqual("t0", target.target_id)
            run.deadlines.reserved = ReservedTarget(target, admitted)
            self.record_answer()
            self.assertEqual("t1", (await run.acquire()).target_id)
            self.assertEqual(0, self.services.statistics.get("t0").running)

        self.run_relay([[], []], scenario)

    def test_queued(self) -> None:
        """A request left the queue for the target."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            statistics = self.services.statistics
            for target_id in ("t0", "t1"):
                statistics.get(target_id).running = FULL
            request = asyncio.create_task(self.send_request("read"))
            while not dispatcher.count_queued():
                await asyncio.sleep(0)
            self.record_answer()
            for target_id in ("t0", "t1"):
                statistics.get(target_id).running = 0
            dispatcher.wake_queues()
            status, *_ = await request
            self.assertEqual(200, status)
            self.assertEqual([0, 1], self.count_requests())

        self.run_relay([[WHOLE], [WHOLE]], scenario)


class PlacementTest(LeavingTargetCase):
    """A coordinator that has not heard of it places requests at the target."""

    def test_placed_at_leaving_target(self) -> None:
        """The coordinator was not told, or its placement was used."""
        calls = []

        class Coordinator:
            """Places each request at the first target."""

            async def request_placement(self, call):
                """Return a placement at the first target."""
                calls.append(call)
                return PlaceAnswer("t0", 1, 0.0), Placement(SERVICE, "", 1)

            def report_prefill_end(self, placement) -> None:
                """Ignore the report."""

            def release(self, placement) -> None:
                """Ignore the report."""

        async def scenario() -> None:
            await self.send_request("read")
            self.services.dispatcher.placement_source = Coordinator()
            self.assertEqual(200, await self.send_after_pause())
            self.assertEqual([1, 1], self.count_requests())
            self.assertEqual([["t0"]], [call.excluded for call in calls])

        self.run_relay([[LEAVING_WHOLE, WHOLE], [WHOLE]], scenario)
