"""Answers of targets, whole and broken, and what the client gets of them."""

from __future__ import annotations

import asyncio

from laburnumpitch.errors import TargetError
from laburnumpitch.fleet.messages import TargetDied
from laburnumpitch.transport.http_server import Headers

from .relay_case import RelayCase, make_answer

NOT_RUN = make_answer(503, b"full", seal="", extra="Not-Executed: 1")
MISDIRECTED = make_answer(421, b"", seal="", extra="Instance-Id: other")
CUT = make_answer(length=50)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def make_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


WHOLE_STREAM = CHUNKED + make_chunk(EVENTS) + b"0\r\n\r\n"
BROKEN_STREAM = CHUNKED + make_chunk(EVENTS[:20])
REST_OF_STREAM = CHUNKED + make_chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n"


class AnswerTest(RelayCase):
    """What a client gets for the answers of one or two targets."""

    scenarios = [
        ("whole", {"route": "once", "scripts": [[make_answer()]], "status": 200}),
        (
            "own_failure_of_a_target",
            {"route": "once", "scripts": [[make_answer(500)]], "status": 500},
        ),
        (
            "cut_once_only",
            {"route": "once", "scripts": [[CUT], [make_answer()]], "status": 502},
        ),
        (
            "cut_repeatable",
            {"route": "read", "scripts": [[CUT], [make_answer()]], "status": 200},
        ),
        (
            "not_run_goes_on",
            {"route": "once", "scripts": [[NOT_RUN], [make_answer()]], "status": 200},
        ),
        (
            "not_run_anywhere",
            {"route": "once", "scripts": [[NOT_RUN], [NOT_RUN]], "status": 503},
        ),
        (
            "other_target_at_the_address",
            {
                "route": "once",
                "scripts": [[MISDIRECTED], [make_answer()]],
                "status": 200,
            },
        ),
        (
            "answer_of_another_request",
            {
                "route": "once",
                "scripts": [[make_answer(request_id="zz")], [make_answer()]],
                "status": 502,
            },
        ),
        (
            "success_without_a_seal",
            {"route": "once", "scripts": [[make_answer(seal="")]], "status": 502},
        ),
        (
            "promise_without_certainty",
            {"route": "once", "scripts": [[make_answer(503)]], "status": 502},
        ),
        (
            "not_http",
            {"route": "once", "scripts": [[b"\0\1\2\r\n\r\n"]], "status": 502},
        ),
        (
            "encoded",
            {
                "route": "once",
                "scripts": [[make_answer(extra="Content-Encoding: gzip")]],
                "status": 502,
            },
        ),
        (
            "repeatable_failure_then_success",
            {
                "route": "read",
                "scripts": [[make_answer(500)], [make_answer()]],
                "status": 200,
            },
        ),
        (
            "repeatable_failure_twice",
            {
                "route": "read",
                "scripts": [[make_answer(500)], [make_answer(500)]],
                "status": 500,
            },
        ),
    ]

    def test_answer(self) -> None:
        """The status is true, and a request that may run once runs once."""

        async def scenario() -> None:
            status, headers, _ = await self.send_request(self.route)
            self.assertEqual(self.status, status)
            if status in (502, 503):
                self.assertNotIn("server-seal", headers)
            ran = [script for target in self.scripts for script in target]
            may_have_run = [s for s in ran if s not in (NOT_RUN, MISDIRECTED)]
            if self.route == "once" and may_have_run:
                self.assertEqual(
                    len(ran) - len(may_have_run) + 1, sum(self.count_requests())
                )

        self.run_relay(self.scripts, scenario)


class HeadersTest(RelayCase):
    """What a target is told."""

    def test_system_headers_are_the_system_s(self) -> None:
        """What a client sends in their place never reaches a target."""
        forged = {
            "tenant": "other",
            "kv_retention": "h1",
            "kv_from": "1.2.3.4:5/6",
            "pin_ms": "100",
            "cache_salt": "x",
            "request_priority": "0",
            "expect_instance": "zz",
        }

        async def scenario() -> None:
            await self.send_request("once", **forged)
            head = self.targets[0].requests[0].lower()
            for value in (b"other", b"kv-", b"pin-ms", b"cache-salt", b"zz", b"secret"):
                self.assertNotIn(value, head)
            self.assertIn(b"tenant: org\r\n", head)
            self.assertIn(b"expect-instance: t0\r\n", head)
            self.assertIn(b"attempt-id: a1\r\n", head)
            self.assertIn(b"post /once/x?q=1 http/1.1", head)
            self.assertTrue(head.endswith(b"body"))

        self.run_relay([[make_answer()]], scenario)

    def test_deadline_is_what_is_left(self) -> None:
        """A target never gets more time than the client has."""

        async def scenario() -> None:
            await self.send_request("once")
            head = self.targets[0].requests[0].lower()
            left = int(head.partition(b"deadline-ms: ")[2].partition(b"\r\n")[0])
            self.assertTrue(1000 < left <= 1500, left)

        self.run_relay([[make_answer()]], scenario)


class TimeTest(RelayCase):
    """Targets that do not answer, and clients that leave."""

    def test_silent_target(self) -> None:
        """The client is answered at its deadline, without a promise."""

        async def scenario() -> None:
            status, _, _ = await self.send_request("once")
            self.assertEqual(504, status)
            self.assertEqual(1, sum(self.count_requests()))

        self.run_relay([[None], [make_answer()]], scenario)

    def test_client_that_leaves(self) -> None:
        """Its target's connection is closed."""

        async def scenario() -> None:
            sending = asyncio.create_task(self.send_request("once"))
            while not self.targets[0].requests:
                await asyncio.sleep(0.01)
            sending.cancel()
            await self.targets[0].closed.wait()

        self.run_relay([[None]], scenario)


class StreamTest(RelayCase):
    """Streams, whole and broken."""

    async def read_stream(self, route: str) -> tuple[int, Headers, bytes, bool]:
        """Return status, headers, body and whether the stream ended whole."""
        try:
            status, headers, body = await self.send_request(route)
            return status, headers, body, True
        except TargetError:
            return 200, [], b"", False

    def test_whole(self) -> None:
        """Events arrive as they were sent."""

        async def scenario() -> None:
            status, _, body, is_complete = await self.read_stream("stream")
            self.assertEqual((200, EVENTS, True), (status, body, is_complete))

        self.run_relay([[WHOLE_STREAM]], scenario)

    def test_broken(self) -> None:
        """A stream that may not go on elsewhere does not look complete."""

        async def scenario() -> None:
            *_, is_complete = await self.read_stream("stream")
            self.assertFalse(is_complete)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[BROKEN_STREAM], [WHOLE_STREAM]], scenario)

    def test_resumed(self) -> None:
        """A stream goes on after its last whole event, under its first headers."""

        async def scenario() -> None:
            _, headers, body, is_complete = await self.read_stream("resumed")
            self.assertEqual((EVENTS, True), (body, is_complete))
            self.assertEqual("s1", headers["server-seal"])
            self.assertIn(b"last-event-id: 1\r\n", self.targets[1].requests[0].lower())
            deaths = [n for n in self.notices if isinstance(n, TargetDied)]
            self.assertEqual(1, len(deaths))

        rest = REST_OF_STREAM.replace(b"s1", b"s2")
        self.run_relay([[BROKEN_STREAM], [rest]], scenario)


class RefusalTest(RelayCase):
    """Requests that the configuration does not allow."""

    def test_unknown_key_and_route(self) -> None:
        """Neither reaches a target."""

        async def scenario() -> None:
            status, *_ = await self.send_request("once", key="other")
            self.assertEqual(401, status)
            status, *_ = await self.send_request("nowhere")
            self.assertEqual(404, status)
            self.assertEqual([0], self.count_requests())

        self.run_relay([[make_answer()]], scenario)


class NoTargetTest(RelayCase):
    """A service whose targets cannot be reached."""

    def test_refused_as_not_run(self) -> None:
        """The client is told when to come back."""

        async def scenario() -> None:
            self.targets[0].server.close()
            await self.targets[0].server.wait_closed()
            status, headers, _ = await self.send_request("once")
            self.assertEqual(503, status)
            self.assertTrue(0 <= float(headers["retry-after"]) <= 0.5)

        self.run_relay([[]], scenario)
