"""Answers that are written, and that the client has not read yet."""

from __future__ import annotations

import asyncio
import socket

from structlog.testing import capture_logs

from laburnumpitch.transport import http_server
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder
from laburnumpitch.transport.server_connection import ServerConnection

from .server_case import REQUEST, TEST_TIMEOUT_S, ServerCase

SOCKET_BUFFER_BYTES = 4096
"""Size of the socket buffers, so that an answer does not fit into them."""

SLOW_BYTES = 256
"""Bytes that a slow client reads in one pass of the event loop."""

LONG_ANSWER = b"x" * 60 * 1024
"""Fits into the buffer of the transport, where it may wait without blocking."""

LONG_S = 1000.0
"""Longer than every timeout of a server."""


async def answer_at_length(request: HttpRequest, responder: Responder) -> None:
    """Answer a request with `LONG_ANSWER`."""
    await responder.send(200, [], LONG_ANSWER)


class UnsentCase(ServerCase):
    """Base of tests of an answer that does not fit into the socket buffers."""

    async def get_unsent_answer(
        self, is_stopping: bool
    ) -> tuple[HttpServer, socket.socket, ServerConnection]:
        """Return a connection with a complete answer that is not sent."""
        server = await self.start_server(answer_at_length)
        client = await self.connect(server, SOCKET_BUFFER_BYTES)
        (connection,) = server.connections
        server_socket = connection.writer.get_extra_info("socket")
        server_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        if is_stopping:
            server.stop_accepting()
        responder = connection.responder
        client.sendall(REQUEST)
        await self.wait_until(lambda: responder.has_finished)
        self.assertLess(responder.sent_bytes, responder.written_bytes)
        return server, client, connection


class SlowClientTest(UnsentCase):
    """A server ends while a client reads an answer slowly."""

    scenarios = [
        ("drained_after_last", {"is_stopping": True, "drains": True}),
        ("drained_kept", {"is_stopping": False, "drains": True}),
        ("closed_after_last", {"is_stopping": True, "drains": False}),
        ("closed_kept", {"is_stopping": False, "drains": False}),
    ]

    def test_answer_is_sent(self) -> None:
        """Nothing is unsent once the server has closed, so the process may exit."""

        async def run() -> tuple[int, bytes]:
            self.patch(http_server, "CLOSE_FLUSH_TIMEOUT_S", TEST_TIMEOUT_S)
            server, client, connection = await self.get_unsent_answer(self.is_stopping)
            read_task = asyncio.create_task(self.read_slowly(client))
            if self.drains:
                server.stop_accepting()
                while server.connection_tasks:
                    await server.close_idle()
            await server.close()
            unsent_bytes = connection.writer.transport.get_write_buffer_size()
            return unsent_bytes, await read_task

        unsent_bytes, received = self.run_async(run())
        self.assertEqual(0, unsent_bytes)
        self.assertTrue(received.endswith(LONG_ANSWER))

    async def read_slowly(self, client: socket.socket) -> bytes:
        """Return what a client receives up to the end, read in small parts."""
        received = b""
        while data := await self.loop.sock_recv(client, SLOW_BYTES):
            received += data
            await asyncio.sleep(0)
        return received


class SilentClientTest(UnsentCase):
    """A client that reads nothing more of an answer."""

    scenarios = [
        ("after_last", {"is_stopping": True}),
        ("kept", {"is_stopping": False}),
    ]

    def test_close_ends(self) -> None:
        """The server closes all the same."""

        async def run() -> int:
            server, _, _ = await self.get_unsent_answer(self.is_stopping)
            await server.close()
            return len(server.connection_tasks)

        self.assertEqual(0, self.run_async(run()))

    def test_connection_ends(self) -> None:
        """The connection is given up after a time, and the answer logged as unsent."""

        async def run() -> None:
            server, _, _ = await self.get_unsent_answer(self.is_stopping)
            while server.connection_tasks:
                # The connection's timeouts follow one another.
                self.jump(LONG_S)
                await asyncio.sleep(0)
            await server.close()

        with capture_logs() as lines:
            self.run_async(run())
        causes = [line.get("cause") for line in lines]
        self.assertIn("unsent", causes)
