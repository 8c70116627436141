"""Connections of an HTTP server that is draining."""

from __future__ import annotations

import asyncio

import testtools

from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_S = 10.0
ANSWER_END = b"0\r\n\r\n"
CLOSE_HEADER = b"connection: close"


class DrainingTest(testtools.TestCase):
    """A server that stops accepting while a client keeps its connection."""

    def test_answer_in_progress(self) -> None:
        """It is completed; the next request is answered, and its connection closed."""

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
            first = await reader.readuntil(ANSWER_END)
            writer.write(REQUEST)
            second = await reader.read()
            writer.close()
            await server.close()
            self.assertNotIn(CLOSE_HEADER, first.lower())
            return second

        answer = asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
        self.assertIn(CLOSE_HEADER, answer.lower())
        self.assertTrue(answer.endswith(ANSWER_END), answer)

    def test_request_crosses_the_stop(self) -> None:
        """A request that is on its way as the server stops accepting is answered."""

        async def run() -> list[bytes]:
            async def handle(request: HttpRequest, responder: Responder) -> None:
                await responder.send(200, [], b"whole")

            server = HttpServer(HOST, 0, handle)
            await server.start()
            reader, writer = await asyncio.open_connection(HOST, server.port)
            answers = []
            for stops in (False, True):
                writer.write(REQUEST)
                if stops:
                    # The request is in the server's socket, and not read yet.
                    server.stop_accepting()
                    await server.close_idle()
                answers.append(await reader.readuntil(b"whole"))
            answers.append(await reader.read())
            writer.close()
            await server.close()
            return answers

        first, second, rest = asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
        self.assertNotIn(CLOSE_HEADER, first.lower())
        self.assertIn(CLOSE_HEADER, second.lower())
        self.assertEqual(b"", rest)

    def test_idle_connection(self) -> None:
        """An idle connection is closed, so that no request comes on it at the end."""

        async def run() -> bytes:
            async def handle(request: HttpRequest, responder: Responder) -> None:
                await responder.send(200, [], b"whole")

            server = HttpServer(HOST, 0, handle)
            await server.start()
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(REQUEST)
            await reader.readuntil(b"whole")
            server.stop_accepting()
            while server.connection_tasks:
                await server.close_idle()
            rest = await reader.read()
            writer.close()
            await server.close()
            return rest

        self.assertEqual(b"", asyncio.run(asyncio.wait_for(run(), TIMEOUT_S)))
