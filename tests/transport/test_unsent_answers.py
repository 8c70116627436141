"""Answers that are written, and that the client has not read yet."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from structlog.testing import capture_logs

from laburnumpitch.transport import http_server, server_connection
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder
from laburnumpitch.transport.server_connection import ServerConnection

from .server_case import RECEIVE_BYTES, REQUEST, TEST_TIMEOUT_S, ServerCase

SOCKET_BUFFER_BYTES = 4096
"""Size of the socket buffers, so that an answer does not fit into them."""

SLOW_BYTES = 256
"""Bytes that a slow client reads in one pass of the event loop."""

LONG_ANSWER = b"x" * 60 * 1024
"""Fits into the buffer of the transport, where it may wait without blocking."""

SENT_BYTES = 8 * 1024 * 1024
"""More than the socket buffers hold, so that it is sent only if it is read."""

LARGE_DATA = b"x" * SENT_BYTES
LONG_S = 1000.0
"""Longer than every timeout of a server."""


async def answer_at_length(request: HttpRequest, responder: Responder) -> None:
    """Answer a request with `LONG_ANSWER`."""
    await responder.send(200, [], LONG_ANSWER)


def make_request(header: bytes, body: bytes) -> bytes:
    """Return a request with some header lines."""
    return b"POST / HTTP/1.1\r\nHost: a\r\n" + header + b"\r\n\r\n" + body


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


class AskedForErrorTest(UnsentCase):
    """Connections whose tasks are asked for their error, as by some asyncio versions.

    Guards against a cancelled task, which raises instead: CPython 3.11.7 reported each
    connection that a closing server had cut as an unexpected error.
    """

    scenarios = SilentClientTest.scenarios

    def test_no_task_counts_as_cancelled(self) -> None:
        """Each task of a connection that is cut ends in order."""

        async def run() -> list[bool]:
            server, _, _ = await self.get_unsent_answer(self.is_stopping)
            tasks = list(server.connection_tasks)
            await server.close()
            return [task.cancelled() for task in tasks]

        self.assertEqual([False], self.run_async(run()))


class RefusedClientTest(ServerCase):
    """A client that sends a whole request at once, reads its refusal and closes."""

    scenarios = [
        (
            "large_body",
            {
                "limits": {"body_bytes": 1000},
                "data": make_request(b"Content-Length: %d" % SENT_BYTES, LARGE_DATA),
                "status": b"413",
            },
        ),
        (
            "large_chunk",
            {
                "limits": {"body_bytes": 1000},
                "data": make_request(
                    b"Transfer-Encoding: chunked", b"%x\r\n" % SENT_BYTES + LARGE_DATA
                ),
                "status": b"413",
            },
        ),
        (
            "large_headers",
            {
                "limits": {"header_bytes": 1000},
                "data": b"POST / HTTP/1.1\r\nx: " + LARGE_DATA,
                "status": b"431",
            },
        ),
        (
            "malformed",
            {
                "limits": {},
                "data": b"nonsense\r\n\r\n" + LARGE_DATA,
                "status": b"400",
            },
        ),
        (
            "ambiguous_length",
            {
                "limits": {},
                "data": make_request(
                    b"Content-Length: 4\r\nTransfer-Encoding: chunked", LARGE_DATA
                ),
                "status": b"400",
            },
        ),
    ]

    def test_refusal_arrives(self) -> None:
        """The connection is not reset while the client sends, or before it reads."""

        async def run() -> bytes:
            server = await self.start_server(**self.limits)
            client = await self.connect(server)
            await self.loop.sock_sendall(client, self.data)
            received = await self.read_answer(client, b"never")
            client.close()
            await self.wait_until(lambda: not server.connection_tasks)
            await server.close()
            return received

        received = self.run_async(run())
        self.assertTrue(received.startswith(b"HTTP/1.1 " + self.status), received)
        self.assertTrue(received.endswith(b"}"), received)


class LingeringTest(ServerCase):
    """A client that goes on to send, or stays connected, after a refusal."""

    async def get_refused_client(self) -> tuple[HttpServer, socket.socket]:
        """Return a connection on which a body without end was refused."""
        server = await self.start_server(body_bytes=1000)
        client = await self.connect(server)
        client.sendall(make_request(b"Content-Length: %d" % 2**40, b"x" * 2000))
        await self.read_answer(client, b"}")
        return server, client

    def test_sending_client(self) -> None:
        """The connection ends after a number of bytes."""
        self.patch(server_connection, "LINGER_TIMEOUT_S", LONG_S)

        async def run() -> None:
            server, client = await self.get_refused_client()
            with contextlib.suppress(ConnectionError):
                while True:
                    await self.loop.sock_sendall(client, b"x" * RECEIVE_BYTES)
            await self.wait_until(lambda: not server.connection_tasks)
            await server.close()

        self.run_async(run())

    def test_silent_client(self) -> None:
        """The connection ends after a time."""

        async def run() -> None:
            server, _ = await self.get_refused_client()
            self.jump(LONG_S)
            await self.wait_until(lambda: not server.connection_tasks)
            await server.close()

        self.run_async(run())


class UnreadRequestTest(ServerCase):
    """A request that arrives at an idle connection as the server closes."""

    def test_request_is_not_read(self) -> None:
        """It is not read and discarded, so that it counts as not taken."""

        async def run() -> bool:
            server = await self.start_server()
            client = await self.connect(server)
            await self.exchange(client)
            (connection,) = server.connections
            await self.wait_until(lambda: not connection.responder.has_started)
            received_before_s = connection.reader.last_received_s
            client.sendall(REQUEST)
            await server.close()
            return connection.reader.last_received_s > received_before_s

        self.assertFalse(self.run_async(run()))
