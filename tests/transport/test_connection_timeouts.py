"""Timeouts of connections on which data has arrived."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
from unittest import mock

from testscenarios import multiply_scenarios

from laburnumpitch.transport.http_server import HttpServer
from laburnumpitch.transport.server_connection import ServerConnection

from .server_case import ANSWER_BODY, BODY, HEAD, PASSES, REQUEST, ServerCase

LONG_S = 1000.0
"""Longer than every timeout of a server."""

SOON_S = 0.001
"""Shorter than every timeout of a server."""

PARTS = [
    ("idle", {"first": b"", "rest": REQUEST}),
    ("header", {"first": HEAD[:20], "rest": HEAD[20:] + BODY}),
    ("body", {"first": HEAD + BODY[:1], "rest": BODY[1:]}),
]
"""Parts of a request that a server has read, and those that it waits for."""


class TimeoutCase(ServerCase):
    """Base of tests of a kept connection whose server waits for a part of a request."""

    async def wait_for_rest(
        self, server: HttpServer
    ) -> tuple[socket.socket, ServerConnection]:
        """Return a connection whose server has answered once and read `first`."""
        client = await self.connect(server)
        await self.exchange(client)
        (connection,) = server.connections
        await self.wait_until(lambda: not connection.responder.has_started)
        client.sendall(self.first)
        await self.wait_until(
            lambda: connection.has_partial_request() or not self.first
        )
        return client, connection


class ArrivedDataTest(TimeoutCase):
    """The rest of a request arrives while the process is suspended past a timeout."""

    scenarios = multiply_scenarios(
        PARTS, [("before", {"is_late": False}), ("in_pass", {"is_late": True})]
    )

    def test_request_is_answered(self) -> None:
        """The request has arrived by the time that the timeout is noticed."""

        async def run() -> bytes:
            server = await self.start_server()
            client, _ = await self.wait_for_rest(server)
            if self.is_late:
                # It runs in the same pass as the timeout, before it, so that the
                # event loop has not read the data yet.
                self.loop.call_later(SOON_S, client.sendall, self.rest)
            else:
                client.sendall(self.rest)
            self.jump(LONG_S)
            received = await self.read_answer(client, ANSWER_BODY)
            await server.close()
            return received

        self.assertIn(b"HTTP/1.1 200 ", self.run_async(run()))


class UncountedDataTest(ServerCase):
    """Data lies in the socket, on a system that does not tell how much it is."""

    def test_connection_is_not_idle(self) -> None:
        """That the socket can be read is enough."""
        no_bytes = struct.pack("i", 0)
        ioctl = "laburnumpitch.transport._socket_state.fcntl.ioctl"

        async def run() -> tuple[bool, bool]:
            server = await self.start_server()
            client = await self.connect(server)
            await self.exchange(client)
            (connection,) = server.connections
            await self.wait_until(lambda: not connection.responder.has_started)
            with mock.patch(ioctl, return_value=no_bytes):
                was_idle = connection.is_idle()
                client.sendall(REQUEST)
                is_idle = connection.is_idle()
            await server.close()
            return was_idle, is_idle

        self.assertEqual((True, False), self.run_async(run()))


class MissingDataTest(TimeoutCase):
    """A client that sends nothing more after a part of a request."""

    scenarios = PARTS

    def test_connection_is_closed(self) -> None:
        """The timeout holds; a request that has begun gets 408."""

        async def run() -> bytes:
            server = await self.start_server()
            client, _ = await self.wait_for_rest(server)
            self.jump(LONG_S)
            received = await self.read_answer(client, b"}")
            await server.close()
            return received

        received = self.run_async(run())
        self.assertEqual(bool(self.first), b"HTTP/1.1 408 " in received, received)


class TricklingDataTest(TimeoutCase):
    """A client that goes on to send a byte in each pass after the timeout."""

    scenarios = [
        ("header", {"first": HEAD[:20]}),
        ("body", {"first": HEAD.replace(b" 4", b" 4000") + BODY}),
    ]

    def test_connection_is_closed(self) -> None:
        """What had arrived by the timeout is read, and what comes later is not."""

        async def run() -> bytes:
            server = await self.start_server()
            client, _ = await self.wait_for_rest(server)
            client.sendall(b"x")
            self.jump(LONG_S)
            trickle = asyncio.create_task(self.trickle(client))
            received = await self.read_answer(client, b"}")
            trickle.cancel()
            await server.close()
            return received

        self.assertIn(b"HTTP/1.1 408 ", self.run_async(run()))

    async def trickle(self, client: socket.socket) -> None:
        """Send a byte in each pass of the event loop."""
        with contextlib.suppress(ConnectionError):
            while True:
                client.sendall(b"x")
                await asyncio.sleep(0)


class RequestAtLimitTest(ServerCase):
    """A client that uses a connection up to the idle timeout."""

    def test_request_is_answered(self) -> None:
        """A request sent right at the limit still has time to arrive."""

        async def run() -> bytes:
            server = await self.start_server()
            client = await self.connect(server)
            await self.exchange(client)
            (connection,) = server.connections
            await self.wait_until(lambda: not connection.responder.has_started)
            self.jump(server.limits.idle_timeout_s)
            for _ in range(PASSES):
                await asyncio.sleep(0)
            received = await self.exchange(client)
            await server.close()
            return received

        self.assertIn(b"HTTP/1.1 200 ", self.run_async(run()))


class LostConnectionTest(TimeoutCase):
    """The network gives a client up while the server waits for it."""

    scenarios = PARTS

    def test_connection_ends(self) -> None:
        """The connection's task ends at once, as at any other loss."""
        error = TimeoutError(errno.ETIMEDOUT, "Connection timed out")

        async def run() -> int:
            server = await self.start_server()
            _, connection = await self.wait_for_rest(server)
            # What the event loop does when reading a socket fails.
            connection.writer.transport._fatal_error(error)
            deadline_s = self.loop.time() + server.limits.header_timeout_s
            passes = 0
            while server.connection_tasks and self.loop.time() < deadline_s:
                passes += 1
                await asyncio.sleep(0)
            await server.close()
            return passes

        with mock.patch.object(ServerConnection, "record_timeout") as record_timeout:
            passes = self.run_async(run())
        self.assertLessEqual(passes, PASSES)
        record_timeout.assert_not_called()
