"""Answers of an HTTP server whose handler raises an unexpected error."""

from __future__ import annotations

import asyncio

import h11
import testtools

from laburnumpitch.transport.http_server import HttpServer

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

ERRORS = {
    "value": ValueError("x"),
    "key": KeyError("x"),
    "timeout": asyncio.TimeoutError(),
    "connection": ConnectionResetError("of another connection"),
    "protocol": h11.LocalProtocolError("x"),
    "header": None,
}
"""Errors by name; None stands for an answer whose headers cannot be sent."""


class FailingHandlerTest(testtools.TestCase):
    """A request that was read whole, and the error of its handler."""

    scenarios = [(name, {"error": error}) for name, error in ERRORS.items()]

    def exchange(self, handle) -> bytes:
        """Return all that a server with a handler sends to a request."""

        async def run() -> bytes:
            server = HttpServer(HOST, 0, handle)
            await server.start()
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(REQUEST)
            answer = await reader.read()
            writer.close()
            await server.close()
            return answer

        return asyncio.run(run())

    def test_answered_without_a_promise(self) -> None:
        """The client gets 500, which does not state whether the request ran."""

        async def handle(request, responder) -> None:
            if self.error is None:
                await responder.send(200, [("x", "a\nb")], b"whole")
            raise self.error

        answer = self.exchange(handle)
        self.assertTrue(answer.startswith(b"HTTP/1.1 500 "), answer)
        self.assertNotIn(b"not_run", answer)

    def test_started_answer_is_cut(self) -> None:
        """An answer that has begun does not look complete."""

        async def handle(request, responder) -> None:
            await responder.start(200, [])
            await responder.write(b"beginning")
            raise self.error or ValueError("x")

        answer = self.exchange(handle)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"), answer)
