"""Answers without end: the client ends them in time, with little memory."""

from __future__ import annotations

import asyncio

import testscenarios
import testtools

from laburnumpitch.errors import TargetError, TargetTimeoutError
from laburnumpitch.policy.client_budget import MAX_WINDOW_BYTES
from laburnumpitch.transport.http_client import BODY_BUDGET, HttpAnswer, HttpClient
from laburnumpitch.transport.http_connection import HttpConnection

from .endless_answers import SCENARIOS, EndlessServer

HEAD_TIMEOUT_S = 0.3
TOTAL_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 256 * 1024
MAX_EXTENSIONS = 100
"""More calls for a next deadline than any answer here has use for."""

TEST_TIMEOUT_S = 8.0


class RecordingClient(HttpClient):
    """Keeps the connection that it opened, to see what was received on it."""

    async def connect(self, timeout_s: float) -> HttpConnection:
        """Open a connection and keep it."""
        self.connection = await super().connect(timeout_s)
        return self.connection


async def read_answer(
    client: HttpClient, max_answer_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Request and read a whole answer."""
    answer: HttpAnswer = await client.request(
        "GET",
        "/",
        [],
        b"",
        first_byte_timeout_s=HEAD_TIMEOUT_S,
        total_timeout_s=TOTAL_TIMEOUT_S,
        max_answer_bytes=max_answer_bytes,
    )
    return await answer.read()


class EndlessAnswerTest(testtools.TestCase):
    """One answer without end of each kind."""

    scenarios = SCENARIOS

    def test_ends(self) -> None:
        """The call fails, the connection is closed, and few bytes were received."""

        async def run() -> None:
            server = EndlessServer(self.answer)
            client = RecordingClient(await server.start())
            try:
                await read_answer(client)
                self.fail("the answer ended")
            except TargetError:
                pass
            connection = client.connection
            received = connection.answer_bytes + connection.unread_bytes
            self.assertLess(received, MAX_ANSWER_BYTES + 2 * MAX_WINDOW_BYTES)
            self.assertEqual(0, BODY_BUDGET.used_bytes)
            await server.closed.wait()
            server.close()

        asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))


class FloodTest(testtools.TestCase):
    """Answers whose bytes come faster than they are read."""

    scenarios = [row for row in SCENARIOS if row[0] in ("chunks", "unframed_body")]

    def test_ends_at_the_deadline(self) -> None:
        """Without a bound in bytes, the deadline ends the reading."""

        async def run() -> None:
            server = EndlessServer(self.answer)
            client = HttpClient(await server.start())
            answer = await client.request(
                "GET",
                "/",
                [],
                b"",
                first_byte_timeout_s=HEAD_TIMEOUT_S,
                total_timeout_s=TOTAL_TIMEOUT_S,
                max_answer_bytes=2**40,
            )
            try:
                async for _ in answer.iterate_body():
                    # The client's other work lets further bytes arrive.
                    await asyncio.sleep(0)
                self.fail("the answer ended")
            except TargetTimeoutError:
                answer.close()
            await server.closed.wait()
            server.close()

        asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))


class MissedDeadlineTest(testtools.TestCase):
    """A deadline that is asked for again once it was missed, and has passed then, too.

    Guards against a node that never runs another task after a freeze: data went on to
    arrive, so the missed deadline was asked for in a loop that waited for nothing.
    """

    scenarios = testscenarios.multiply_scenarios(
        [row for row in SCENARIOS if row[0] in ("chunks", "unframed_body")],
        [("same", {"extension_s": None}), ("now", {"extension_s": 0.0})],
    )

    def test_ends(self) -> None:
        """The reading ends, although data goes on to arrive."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            deadline_s = loop.time() + TOTAL_TIMEOUT_S
            extensions = 0

            async def extend() -> float:
                nonlocal extensions
                extensions += 1
                if extensions > MAX_EXTENSIONS:
                    raise AssertionError("asked for without end")
                if self.extension_s is None:
                    return deadline_s
                return loop.time() + self.extension_s

            server = EndlessServer(self.answer)
            client = HttpClient(await server.start())
            answer = await client.request(
                "GET",
                "/",
                [],
                b"",
                first_byte_timeout_s=HEAD_TIMEOUT_S,
                max_answer_bytes=2**40,
                extend_deadline=extend,
            )
            answer.deadline_s = deadline_s
            try:
                async for _ in answer.iterate_body():
                    # The client's other work lets further bytes arrive.
                    await asyncio.sleep(0)
                self.fail("the answer ended")
            except TargetTimeoutError:
                answer.close()
            await server.closed.wait()
            server.close()

        asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))


class ArrivedMeanwhileTest(testtools.TestCase):
    """An answer that arrives while the deadline after a missed one is chosen."""

    def test_is_read(self) -> None:
        """It is read, although the chosen deadline has passed."""

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            await asyncio.sleep(2 * HEAD_TIMEOUT_S)
            writer.write(b"whole")
            writer.close()

        async def run() -> None:
            loop = asyncio.get_running_loop()

            async def extend() -> float:
                while not client.connection.unread_bytes:
                    await asyncio.sleep(0.01)
                return loop.time()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = RecordingClient(f"127.0.0.1:{port}")
            answer = await client.request(
                "GET",
                "/",
                [],
                b"",
                first_byte_timeout_s=HEAD_TIMEOUT_S,
                extend_deadline=extend,
            )
            answer.deadline_s = loop.time() + HEAD_TIMEOUT_S
            self.assertEqual(b"whole", await answer.read())
            server.close()

        asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))
