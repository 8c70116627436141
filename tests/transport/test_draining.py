"""Connections of an HTTP server that is draining."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_S = 10.0


class DrainingTest(testtools.TestCase):
    """A server that stops accepting while an answer is in progress."""

    def test_answer_in_progress(self) -> None:
        """The answer is completed, and its connection is then closed."""

        async def run() -> bytes:
            has_started = asyncio.Event()
            may_finish = asyncio.Event()

            async def handle(request: HttpRequest, responder: Responder) -> None:
                await responder.start(200, [])
                await responder.write(b"begun")
                has_started.set()
                await may_finish.wait()
                await responder.finish()

            server = HttpServer(HOST, 0, handle)
            await server.start()
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(REQUEST)
            await has_started.wait()
            server.stop_accepting()
            may_finish.set()
            answer = await reader.read()
            writer.close()
            await server.close()
            return answer

        answer = asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
