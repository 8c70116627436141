"""Every way in which a request might reach a target that is evacuated by then."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from laburnumpitch.errors import EvacuatedError
from laburnumpitch.fleet.messages import PlaceAnswer
from laburnumpitch.relay.answer_deadlines import ReservedTarget
from laburnumpitch.relay.placement_client import Placement
from laburnumpitch.relay.relay_run import RelayRun
from laburnumpitch.relay.request import ContextPlan

from .relay_case import (
    CONFIGURATION,
    SERVICE,
    CutAnswer,
    PacedAnswer,
    RelayCase,
    make_answer,
)
from .test_relay import CHUNKED_HEAD, EVENTS, make_chunk

FULL = 100
"""More requests than any target takes."""

WHOLE = make_answer()
STREAM_HEAD = CHUNKED_HEAD + make_chunk(EVENTS[: EVENTS.index(b"\n\n") + 2])


class EvacuationCase(RelayCase):
    """Base of tests with each target in a data centre of its own name."""

    def evacuate(self, *target_ids: str) -> None:
        """Evacuate the data centres of targets; end that of all others."""
        view = self.fleet_view
        for record in view.targets.get_records():
            view.targets.update(record.target_id, data_centre=record.target_id)
        view.evacuated = frozenset(target_ids)
        for callback in view.on_change:
            callback()

    def fill(self, running: int) -> None:
        """Set the number of requests that run at each target."""
        for number in range(len(self.targets)):
            self.services.statistics.get(f"t{number}").running = running


class RefusalTest(EvacuationCase):
    """All targets are evacuated."""

    def test_new_request(self) -> None:
        """It is refused at once, and served again after the withdrawal."""

        async def scenario() -> None:
            self.evacuate("t0")
            status, headers, body = await self.send_request("read")
            self.assertEqual((503, b"evacuated"), (status, body))
            self.assertIn("retry-after", headers)
            counters = self.services.metrics.counters
            self.assertEqual(1, counters["evacuation.refused"])
            self.evacuate()
            self.assertEqual(200, (await self.send_request("read"))[0])

        self.run_relay([[WHOLE]], scenario)

    def test_queued_requests(self) -> None:
        """All of them are refused at once, not only the first of the queue."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            self.fill(FULL)
            requests = [
                asyncio.create_task(
                    dispatcher.acquire(
                        self.make_admitted("once", 0),
                        frozenset(excluded),
                        self.get_deadline_s() + 1e6,
                    )
                )
                for excluded in ((), ("t1",))
            ]
            while dispatcher.count_queued() < len(requests):
                await asyncio.sleep(0)
            self.evacuate("t0")
            with self.assertRaises(EvacuatedError):
                await requests[1]
            self.assertFalse(requests[0].done())
            self.evacuate("t0", "t1")
            with self.assertRaises(EvacuatedError):
                await requests[0]

        self.run_relay([[], []], scenario)


class OtherTargetTest(EvacuationCase):
    """The first of two targets is evacuated after it was chosen."""

    async def check_sent_elsewhere(self, route: str = "read") -> None:
        """Check that a request is served by the second target only."""
        self.assertEqual(200, (await self.send_request(route))[0])
        self.assertEqual([0, 1], self.count_requests())
        self.assertEqual({}, self.services.statistics.get_loads())

    def test_queued(self) -> None:
        """A request waited for a target with capacity."""

        async def scenario() -> None:
            self.fill(FULL)
            request = asyncio.create_task(self.check_sent_elsewhere())
            while not self.services.dispatcher.count_queued():
                await asyncio.sleep(0)
            self.evacuate("t0")
            self.fill(0)
            self.services.dispatcher.wake_queues()
            await request

        self.run_relay([[WHOLE], [WHOLE]], scenario)

    def test_about_to_be_sent(self) -> None:
        """Kept context was planned, or a connection opened, when the order came."""

        async def plan(admitted, target, version) -> ContextPlan:
            self.evacuate("t0")
            return ContextPlan("none")

        async def scenario() -> None:
            routes = [replace(r, has_context=True) for r in CONFIGURATION.routes]
            self.change_configuration(routes=tuple(routes))
            self.evacuate()
            self.services.planner.plan = plan
            await self.check_sent_elsewhere()

        self.run_relay([[WHOLE], [WHOLE]], scenario)

    def test_placed_by_coordinator(self) -> None:
        """The coordinator was not told, and its placement is released."""
        released = []

        class Coordinator:
            """Places each request at the first target."""

            async def request_placement(self, call):
                """Return a placement at the first target."""
                return PlaceAnswer("t0", 1, 0.0), Placement(SERVICE, "", 1)

            def release(self, placement) -> None:
                """Record the release."""
                released.append(placement.number)

        async def scenario() -> None:
            self.evacuate("t0")
            self.services.dispatcher.placement_source = Coordinator()
            await self.check_sent_elsewhere()
            self.assertEqual([1], released)

        self.run_relay([[WHOLE], [WHOLE]], scenario)

    def test_reserved(self) -> None:
        """It was reserved for a request whose target is silent."""

        async def scenario() -> None:
            admitted = self.make_admitted("read", 0)
            run = RelayRun(self.services, admitted, None)
            target = await run.acquire()
            run.deadlines.reserved = ReservedTarget(target, admitted)
            self.evacuate("t0")
            self.assertEqual("t1", (await run.acquire()).target_id)
            self.assertEqual(0, self.services.statistics.get("t0").running)

        self.run_relay([[], []], scenario)

    def test_suspect(self) -> None:
        """It would be probed, since it failed before and the other one is full."""

        async def scenario() -> None:
            first = self.services.dispatcher.catalog.get_targets(SERVICE)[0]
            self.services.statistics.record_failure(first, True)
            self.evacuate("t0")
            self.services.statistics.get("t1").running = FULL
            status, *_ = await self.send_request("read")
            self.assertEqual((503, [0, 0]), (status, self.count_requests()))

        self.run_relay([[WHOLE], [WHOLE]], scenario)


class RetryTest(EvacuationCase):
    """The only other target is evacuated while the first one has the request."""

    scenarios = [
        ("answer", {"route": "read", "beginning": b"HTTP/1.1 200 OK\r\n"}),
        ("stream", {"route": "resumed", "beginning": STREAM_HEAD}),
    ]

    def test_no_retry(self) -> None:
        """The request fails with its target; the other one does not get it."""

        async def scenario() -> None:
            self.evacuate("t1")
            if self.route == "resumed":
                await self.assert_broken()
            else:
                self.assertEqual(502, (await self.send_request(self.route))[0])
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[CutAnswer(self.beginning, False)], [WHOLE]], scenario)

    async def assert_broken(self) -> None:
        """Check that a stream breaks off."""
        try:
            await self.send_request(self.route)
        except Exception as error:
            self.assertEqual("target_failed", error.code)
        else:
            self.fail("the stream has ended")


class RunningTest(EvacuationCase):
    """The target of a running request is evacuated."""

    def test_left_to_end(self) -> None:
        """The answer is delivered."""

        async def scenario() -> None:
            request = asyncio.create_task(self.send_request("read"))
            while not self.count_requests()[0]:
                await asyncio.sleep(0)
            self.evacuate("t0")
            self.assertEqual(200, (await request)[0])

        self.run_relay([[PacedAnswer((WHOLE[:-2], WHOLE[-2:]), 0.1)]], scenario)
