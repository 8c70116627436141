"""Connections of an HTTP server that is draining."""

from __future__ import annotations

import asyncio
import contextlib

import testtools

from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .server_case import ANSWER_BODY, ServerCase

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


class CrossingRequestTest(ServerCase):
    """A request that arrives some passes of the event loop around `close_idle`."""

    scenarios = [(f"pass_{passes}", {"passes": passes}) for passes in range(-3, 6)]

    def test_what_was_read_is_answered(self) -> None:
        """A request that the server has read from its socket is answered."""

        async def run() -> tuple[bytes, int]:
            server = await self.start_server()
            client = await self.connect(server)
            await self.exchange(client)
            (connection,) = server.connections
            await self.wait_until(lambda: not connection.responder.has_started)
            received_before_s = connection.reader.last_received_s
            server.stop_accepting()
            if self.passes < 0:
                client.sendall(REQUEST)
                await self.wait_passes(-self.passes)
            close_task = asyncio.create_task(server.close_idle())
            if self.passes >= 0:
                await self.wait_passes(self.passes)
                with contextlib.suppress(ConnectionError):
                    client.sendall(REQUEST)
            received = b""
            with contextlib.suppress(ConnectionError):
                received = await self.read_answer(client, ANSWER_BODY)
            await close_task
            await server.close()
            return received, connection.reader.last_received_s > received_before_s

        received, has_arrived = self.run_async(run())
        self.assertEqual(has_arrived, received.endswith(ANSWER_BODY), received)

    async def wait_passes(self, passes: int) -> None:
        """Wait for a number of passes of the event loop."""
        for _ in range(passes):
            await asyncio.sleep(0)
