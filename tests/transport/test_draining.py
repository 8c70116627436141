"""Connections of a server that is about to stop."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
WAIT_S = 10.0


class DrainingTest(testtools.TestCase):
    """A stop that is asked for while an answer is under way."""

    def test_answer_that_began_before(self) -> None:
        """It ends whole, and its connection takes no further request."""

        async def run() -> bytes:
            has_begun = asyncio.Event()
            may_end = asyncio.Event()

            async def handle(request: HttpRequest, responder: Responder) -> None:
                await responder.start(200, [])
                await responder.write(b"begun")
                has_begun.set()
                await may_end.wait()
                await responder.finish()

            server = HttpServer(HOST, 0, handle)
            await server.start()
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(REQUEST)
            await has_begun.wait()
            server.stop_accepting()
            may_end.set()
            answer = await reader.read()
            writer.close()
            await server.close()
            return answer

        answer = asyncio.run(asyncio.wait_for(run(), WAIT_S))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
