"""Clients' answers while a target sends bytes without end, or only signs of life."""

from __future__ import annotations

import asyncio

from laburnumpitch.errors import TargetError

from ..transport.endless_answers import CHUNKED_HEAD, ENDLESS_ANSWERS, EndlessAnswer
from .relay_case import PacedAnswer, RelayCase, make_answer
from .test_relay import CHUNKED_HEAD as SEALED_HEAD, EVENTS, make_chunk

NEIGHBOUR_REQUESTS = 20
SOUND_EVENTS = 12
SOUND_GAP_S = 0.1
"""Pause between the events of a slow stream, below the route's gap objective."""

LONG_GAP_S = 1.1
"""A pause that is longer than the time after which a retryable request goes on."""

COMPLETE_STREAM = SEALED_HEAD + make_chunk(EVENTS) + b"0\r\n\r\n"
HEARTBEAT = EndlessAnswer(CHUNKED_HEAD, make_chunk(b": alive\n\n"), 0.05)
FIELDS = EndlessAnswer(CHUNKED_HEAD, make_chunk(b"event: ping\n\n"), 0.05)
EMPTY_EVENTS = EndlessAnswer(CHUNKED_HEAD, make_chunk(b"\n\n"), 0.05)
STALLS = {"heartbeats": HEARTBEAT, "fields": FIELDS, "empty_events": EMPTY_EVENTS}


def list_scenarios(routes: tuple[str, ...], answers: dict) -> list[tuple[str, dict]]:
    """Return a scenario for each route and answer."""
    return [
        (f"{route}_{name}", {"route": route, "answer": answer})
        for route in routes
        for name, answer in answers.items()
    ]


class RetryableTest(RelayCase):
    """Requests that another target may run."""

    scenarios = list_scenarios(("read",), ENDLESS_ANSWERS) + list_scenarios(
        ("resumed",), ENDLESS_ANSWERS | STALLS
    )

    def test_next_target_answers(self) -> None:
        """The client gets the whole answer of the next target, before its deadline."""
        whole = make_answer() if self.route == "read" else COMPLETE_STREAM

        async def scenario() -> None:
            status, _, body = await self.send_request(self.route)
            self.assertEqual(200, status)
            self.assertTrue(body.endswith(b"whole" if self.route == "read" else EVENTS))
            self.assertEqual([1, 1], self.count_requests())
            await self.targets[0].closed.wait()
            rate = self.services.statistics.get("t0").failure_rate
            self.assertGreater(rate, 0.0)

        self.run_relay([[self.answer], [whole]], scenario)


class NotRetryableTest(RelayCase):
    """Requests that may run once."""

    scenarios = list_scenarios(("once", "stream"), ENDLESS_ANSWERS)

    def test_no_second_run(self) -> None:
        """The client learns of the failure, and no other target runs the request."""

        async def scenario() -> None:
            try:
                status, *_ = await self.send_request(self.route)
                self.assertIn(status, (502, 504))
            except TargetError:
                self.assertEqual("stream", self.route)
            self.assertEqual([1, 0], self.count_requests())
            await self.targets[0].closed.wait()

        self.run_relay([[self.answer], [make_answer()]], scenario)


class NeighbourTest(RelayCase):
    """Other requests of a node while one target sends bytes without end."""

    scenarios = list_scenarios(("read",), ENDLESS_ANSWERS)

    def test_others_are_served(self) -> None:
        """Requests to another target are answered meanwhile."""

        async def scenario() -> None:
            endless = asyncio.create_task(self.send_request("read"))
            while not self.targets[0].requests:
                await asyncio.sleep(0.001)
            for _ in range(NEIGHBOUR_REQUESTS):
                status, *_ = await self.send_request("once")
                self.assertEqual(200, status)
            await endless

        answers = [make_answer()] * (NEIGHBOUR_REQUESTS + 1)
        self.run_relay([[self.answer, *answers], answers], scenario)


class SlowStreamTest(RelayCase):
    """A slow stream that is sound."""

    def test_not_cut(self) -> None:
        """It reaches the client whole, from its first target."""
        events = [
            f"id: {number}\ndata: a\n\n".encode() for number in range(SOUND_EVENTS)
        ]
        chunks = [make_chunk(event) for event in events]
        slow_stream = PacedAnswer((SEALED_HEAD, *chunks, b"0\r\n\r\n"), SOUND_GAP_S)

        async def scenario() -> None:
            _, _, body = await self.send_request("resumed")
            self.assertEqual(b"".join(events), body)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[slow_stream], [COMPLETE_STREAM]], scenario)

    def test_not_retryable(self) -> None:
        """Where no other target may go on, silence ends nothing before the deadline."""
        answer = make_answer()
        paced = PacedAnswer((answer[:-2], answer[-2:]), LONG_GAP_S)
        chunk = make_chunk(EVENTS)
        paced_stream = PacedAnswer((SEALED_HEAD, chunk + b"0\r\n\r\n"), LONG_GAP_S)

        async def scenario() -> None:
            for route, body in (("once", b"whole"), ("stream", EVENTS)):
                status, _, received = await self.send_request(route)
                self.assertEqual((200, body), (status, received))
            self.assertEqual([2], self.count_requests())

        self.run_relay([[paced, paced_stream]], scenario)
