"""Tests of what a client receives for complete and broken answers of targets."""

from __future__ import annotations

import asyncio
import time

from laburnumpitch.errors import TargetError
from laburnumpitch.fleet.crash_messages import TargetDied
from laburnumpitch.transport.http_server import Headers

from .relay_case import Crash, RelayCase, make_answer

NOT_RUN = make_answer(503, b"full", seal="", extra="Not-Executed: 1")
MISDIRECTED = make_answer(421, b"", seal="", extra="Instance-Id: other")
CUT_ANSWER = make_answer(length=50)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
UNFRAMED_HEAD = CHUNKED_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")


def make_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


COMPLETE_STREAM = CHUNKED_HEAD + make_chunk(EVENTS) + b"0\r\n\r\n"
BROKEN_STREAM = CHUNKED_HEAD + make_chunk(EVENTS[:20])
RESUMED_STREAM = CHUNKED_HEAD + make_chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n"


class AnswerTest(RelayCase):
    """The client's answer for the answers of one or two targets."""

    scenarios = [
        ("complete", {"route": "once", "scripts": [[make_answer()]], "status": 200}),
        (
            "error_answer_of_the_target",
            {"route": "once", "scripts": [[make_answer(500)]], "status": 500},
        ),
        (
            "cut_non_retryable",
            {
                "route": "once",
                "scripts": [[CUT_ANSWER], [make_answer()]],
                "status": 502,
            },
        ),
        (
            "cut_retryable",
            {
                "route": "read",
                "scripts": [[CUT_ANSWER], [make_answer()]],
                "status": 200,
            },
        ),
        (
            "not_run_tries_next_target",
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
            "unconfirmed_not_run_status",
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
            "retryable_error_then_success",
            {
                "route": "read",
                "scripts": [[make_answer(500)], [make_answer()]],
                "status": 200,
            },
        ),
        (
            "retryable_error_twice",
            {
                "route": "read",
                "scripts": [[make_answer(500)], [make_answer(500)]],
                "status": 500,
            },
        ),
    ]

    def test_answer(self) -> None:
        """The status is correct, and a non-retryable request runs at most once."""

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


class LateCopyTest(RelayCase):
    """A second copy of an answer that comes when its connection is in use again."""

    scenarios = [
        ("retryable", {"route": "read", "status": 200}),
        ("non_retryable", {"route": "once", "status": 502}),
        ("stream", {"route": "stream", "status": 502}),
    ]

    def test_copy_answers_nothing(self) -> None:
        """The next request never gets it, and runs no second time unless it may."""
        first, second = b"id: 1\ndata: first\n\n", b"id: 1\ndata: second\n\n"
        copy = make_answer(body=first, request_id="first")
        own = make_answer(body=second, request_id="second")

        async def scenario() -> None:
            status, _, body = await self.send_request(self.route, request_id="first")
            self.assertEqual((200, first), (status, body))
            status, headers, body = await self.send_request(
                self.route, request_id="second"
            )
            self.assertEqual(self.status, status)
            self.assertNotEqual(first, body)
            self.assertEqual(status == 200, "server-seal" in headers)
            runs = 2 if self.route == "read" else 1
            self.assertEqual(1 + runs, sum(self.count_requests()))

        self.run_relay([[copy, copy + own], [own]], scenario)


class HeadersTest(RelayCase):
    """Headers of the request to a target."""

    def test_client_cannot_set_system_headers(self) -> None:
        """Headers that only the system sets are removed from a client's request."""
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

    def test_deadline_is_remaining_time(self) -> None:
        """A target gets no more time than the client has left."""

        async def scenario() -> None:
            await self.send_request("once")
            head = self.targets[0].requests[0].lower()
            left = int(head.partition(b"deadline-ms: ")[2].partition(b"\r\n")[0])
            self.assertTrue(1000 < left <= 1500, left)

        self.run_relay([[make_answer()]], scenario)


class TimeoutTest(RelayCase):
    """Targets that do not answer, and clients that disconnect."""

    def test_target_without_answer(self) -> None:
        """The client gets 504 at its deadline, since the request may have run."""

        async def scenario() -> None:
            status, _, _ = await self.send_request("once")
            self.assertEqual(504, status)
            self.assertEqual(1, sum(self.count_requests()))

        self.run_relay([[None], [make_answer()]], scenario)

    def test_client_disconnects(self) -> None:
        """The connection to the target is closed."""

        async def scenario() -> None:
            sending = asyncio.create_task(self.send_request("once"))
            while not self.targets[0].requests:
                await asyncio.sleep(0.01)
            sending.cancel()
            await self.targets[0].closed.wait()

        self.run_relay([[None]], scenario)


class StreamTest(RelayCase):
    """Complete and broken streams."""

    async def read_stream(self, route: str) -> tuple[int, Headers, bytes, bool]:
        """Return status, headers, body and whether the stream is complete."""
        try:
            status, headers, body = await self.send_request(route)
            return status, headers, body, True
        except TargetError:
            return 200, [], b"", False

    def test_complete(self) -> None:
        """Events arrive unchanged."""

        async def scenario() -> None:
            status, _, body, is_complete = await self.read_stream("stream")
            self.assertEqual((200, EVENTS, True), (status, body, is_complete))

        self.run_relay([[COMPLETE_STREAM]], scenario)

    def test_broken_non_resumable(self) -> None:
        """A stream that may not be resumed does not look complete."""

        async def scenario() -> None:
            *_, is_complete = await self.read_stream("stream")
            self.assertFalse(is_complete)
            self.assertEqual([1, 0], self.count_requests())

        self.run_relay([[BROKEN_STREAM], [COMPLETE_STREAM]], scenario)

    def test_resumed(self) -> None:
        """A stream is resumed after its last complete event, with the first headers."""

        async def scenario() -> None:
            _, headers, body, is_complete = await self.read_stream("resumed")
            self.assertEqual((EVENTS, True), (body, is_complete))
            self.assertEqual("s1", headers["server-seal"])
            self.assertIn(b"last-event-id: 1\r\n", self.targets[1].requests[0].lower())
            await self.wait_notices()
            deaths = [n for n in self.notices if isinstance(n, TargetDied)]
            self.assertEqual(1, len(deaths))

        rest = RESUMED_STREAM.replace(b"s1", b"s2")
        self.run_relay([[Crash(BROKEN_STREAM)], [rest]], scenario)


class UnframedStreamTest(RelayCase):
    """Streams that end with their connection, without a length or chunks."""

    scenarios = [
        ("complete", {"route": "stream", "events": EVENTS, "is_complete": True}),
        (
            "ends_inside_an_event",
            {"route": "stream", "events": EVENTS[:20], "is_complete": False},
        ),
        (
            "ends_inside_an_event_and_is_resumed",
            {"route": "resumed", "events": EVENTS[:20], "is_complete": True},
        ),
        (
            "chunked_and_ends_inside_an_event",
            {
                "route": "stream",
                "head": CHUNKED_HEAD,
                "events": make_chunk(EVENTS[:20]) + b"0\r\n\r\n",
                "is_complete": False,
            },
        ),
    ]
    head = UNFRAMED_HEAD

    def test_stream(self) -> None:
        """A stream that ends inside an event was broken off, and is resumed or cut."""

        async def scenario() -> None:
            try:
                _, _, body = await self.send_request(self.route)
            except TargetError:
                body = None
            self.assertEqual(EVENTS if self.is_complete else None, body)

        self.run_relay([[self.head + self.events], [RESUMED_STREAM]], scenario)


class RefusalTest(RelayCase):
    """Requests that the configuration does not allow."""

    def test_unknown_key_and_route(self) -> None:
        """An unknown key or route is refused without calling a target."""

        async def scenario() -> None:
            status, *_ = await self.send_request("once", key="other")
            self.assertEqual(401, status)
            status, *_ = await self.send_request("nowhere")
            self.assertEqual(404, status)
            self.assertEqual([0], self.count_requests())

        self.run_relay([[make_answer()]], scenario)


class NoTargetTest(RelayCase):
    """A service whose targets are unreachable."""

    def test_refused_as_not_run(self) -> None:
        """The refusal states that the request has not run and when to retry."""

        async def scenario() -> None:
            self.targets[0].server.close()
            await self.targets[0].server.wait_closed()
            status, headers, _ = await self.send_request("once")
            self.assertEqual(503, status)
            self.assertTrue(0 <= float(headers["retry-after"]) <= 0.5)

        self.run_relay([[]], scenario)


class StoppingNodeTest(RelayCase):
    """A stopping node took a request on an open connection and cut it at its end."""

    scenarios = [
        ("may_last_too_long", {"left_s": 1.0, "status": 503, "sent": 0}),
        ("ends_in_time", {"left_s": 60.0, "status": 200, "sent": 1}),
    ]

    def test_request(self) -> None:
        """It is refused as not run, for another node at once, if it may be cut."""

        async def scenario() -> None:
            self.services.stop_deadline.start(time.monotonic() + self.left_s)
            self.services.stop_deadline.refuse_long()
            status, headers, _ = await self.send_request("stream")
            self.assertEqual(self.status, status)
            self.assertEqual(self.sent, sum(self.count_requests()))
            if status == 503:
                self.assertEqual("0.000", headers["retry-after"])

        self.run_relay([[COMPLETE_STREAM]], scenario)
