"""Every way in which a request might reach a target that is evacuated by then."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from laburnumpitch.errors import EvacuatedError, TargetError
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
        """Each is refused at once, not only the first of the queue."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            self.fill(FULL)
            admitted = self.make_admitted("once", 0)
            deadline_s = self.get_deadline_s() + 1e6
            first, second = (
                asyncio.create_task(dispatcher.acquire(admitted, excluded, deadline_s))
                for excluded in (frozenset(), frozenset({"t1"}))
            )
            while dispatcher.count_queued() < 2:
                await asyncio.sleep(0)
            for evacuated, request in ((["t0"], second), (["t0", "t1"], first)):
                self.evacuate(*evacuated)
                with self.assertRaises(EvacuatedError):
                    await request

        self.run_relay([[], []], scenario)


class Coordinator:
    """Places each request at the first target."""

    def __init__(self) -> None:
        self.released = []

    async def request_placement(self, call):
        """Return a placement at the first target."""
        return PlaceAnswer("t0", 1, 0.0), Placement(SERVICE, "", 1)

    def release(self, placement) -> None:
        """Record the release."""
        self.released.append(placement.number)


class OtherTargetTest(EvacuationCase):
    """The first of two targets is evacuated; the second one gets the request."""

    def check_request(self, prepare, proceed=lambda: None) -> None:
        """Check that a request reaches the second target only, and is counted once."""

        async def scenario() -> None:
            self.evacuate()
            prepare()
            request = asyncio.create_task(self.send_request("read"))
            while not (self.services.dispatcher.count_queued() or request.done()):
                await asyncio.sleep(0)
            proceed()
            self.assertEqual(200, (await request)[0])
            self.assertEqual([0, 1], self.count_requests())
            self.assertEqual({}, self.services.statistics.get_loads())

        self.run_relay([[WHOLE], [WHOLE]], scenario)

    def test_queued(self) -> None:
        """The request waited for a target with capacity."""

        def proceed() -> None:
            self.evacuate("t0")
            self.fill(0)
            self.services.dispatcher.wake_queues()

        self.check_request(lambda: self.fill(FULL), proceed)

    def test_about_to_be_sent(self) -> None:
        """The order comes while kept context is planned."""

        async def plan(admitted, target, version) -> ContextPlan:
            self.evacuate("t0")
            return ContextPlan("none")

        def prepare() -> None:
            routes = [replace(r, has_context=True) for r in CONFIGURATION.routes]
            self.change_configuration(routes=tuple(routes))
            self.services.planner.plan = plan

        self.check_request(prepare)

    def test_placed_by_coordinator(self) -> None:
        """The coordinator was not told, and its placement is released."""
        coordinator = Coordinator()

        def prepare() -> None:
            self.evacuate("t0")
            self.services.dispatcher.placement_source = coordinator

        self.check_request(prepare)
        self.assertEqual([1], coordinator.released)

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


class RunningTest(EvacuationCase):
    """A request runs as data centres are evacuated."""

    scenarios = [
        ("whole", {"script": PacedAnswer((WHOLE[:-2], WHOLE[-2:]), 0.1)}),
        ("broken", {"script": CutAnswer(b"HTTP/1.1 200 OK", False), "status": 502}),
        ("stream", {"script": CutAnswer(STREAM_HEAD, False), "status": 0}),
    ]
    status = 200

    def test_left_to_end(self) -> None:
        """Its own target delivers; the other one gets no retry, and no probe."""

        async def scenario() -> None:
            self.evacuate("t1")
            second = self.fleet_view.targets.entries["t1"].record
            self.services.statistics.record_failure(second, True)
            route = "read" if self.status else "resumed"
            request = asyncio.create_task(self.send_request(route))
            while not self.count_requests()[0]:
                await asyncio.sleep(0)
            self.evacuate("t0", "t1")
            try:
                self.assertEqual(self.status, (await request)[0])
            except TargetError:
                self.assertEqual(0, self.status)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[self.script], [WHOLE]], scenario)
