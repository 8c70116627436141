"""Answers without end: the client ends them in time, with little memory."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.errors import TargetError, TargetTimeoutError
from laburnumpitch.policy.client_budget import MAX_WINDOW_BYTES
from laburnumpitch.transport.http_client import BODY_BUDGET, HttpAnswer, HttpClient
from laburnumpitch.transport.http_connection import HttpConnection

from .endless_answers import SCENARIOS, EndlessServer

HEAD_TIMEOUT_S = 0.3
TOTAL_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 256 * 1024
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
