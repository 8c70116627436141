"""HTTP servers for tests, with clients on plain sockets and a clock that can jump."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import testtools

from laburnumpitch.transport.http_server import (
    HttpRequest,
    HttpServer,
    RequestHandler,
    Responder,
)
from laburnumpitch.transport.server_limits import ServerLimits

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 20.0
"""Time after which a test that waits for something fails."""

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
BODY = b"body"
REQUEST = HEAD + BODY
ANSWER_BODY = b"whole"
PASSES = 10
"""Passes of the event loop in which a server notices that a time has passed."""

RECEIVE_BYTES = 65536

Result = TypeVar("Result")


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can jump, as if the process had been suspended."""

    jumped_s = 0.0

    def time(self) -> float:
        """Return the time with the jumps so far."""
        return super().time() + self.jumped_s


class ServerCase(testtools.TestCase):
    """Base of tests of a server on a loop with a jumping clock."""

    def run_async(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine on a new loop, for `TEST_TIMEOUT_S` without the jumps.

        A task that ended with an error that nobody saw fails the test.
        """
        unseen: list[dict[str, Any]] = []
        with asyncio.Runner(loop_factory=JumpingLoop) as runner:
            self.loop = runner.get_loop()
            self.loop.set_exception_handler(lambda _, context: unseen.append(context))
            result = runner.run(self.run_limited(coroutine))
            gc.collect()
        self.assertEqual([], unseen)
        return result

    async def run_limited(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine; `jump` moves its time limit."""
        async with asyncio.timeout(TEST_TIMEOUT_S) as self.time_limit:
            return await coroutine

    def jump(self, seconds: float) -> None:
        """Let time pass in which the process does nothing."""
        self.loop.jumped_s += seconds
        self.time_limit.reschedule(self.time_limit.when() + seconds)

    async def start_server(
        self, handler: RequestHandler | None = None, **limits: float
    ) -> HttpServer:
        """Start a server with some limits; it answers `ANSWER_BODY` by default."""
        server = HttpServer(HOST, 0, handler or answer_whole, ServerLimits(**limits))
        await server.start()
        return server

    async def connect(
        self, server: HttpServer, receive_buffer_bytes: int = 0
    ) -> socket.socket:
        """Return a client's socket once the server has accepted its connection.

        Args:
            server: The server.
            receive_buffer_bytes: Size of the client's receive buffer; 0 for the
                system's.
        """
        client = socket.socket()
        self.addCleanup(client.close)
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_buffer_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        await self.loop.sock_connect(client, (HOST, server.port))
        client_address = client.getsockname()
        await self.wait_until(
            lambda: any(
                connection.writer.get_extra_info("peername") == client_address
                for connection in server.connections
            )
        )
        return client

    async def wait_until(self, is_true: Callable[[], Any]) -> None:
        """Wait until a condition holds."""
        while not is_true():
            await asyncio.sleep(0)

    async def read_answer(
        self, client: socket.socket, end: bytes | tuple[bytes, ...]
    ) -> bytes:
        """Return what a client receives up to some bytes, or to the end."""
        received = b""
        while not received.endswith(end):
            data = await self.loop.sock_recv(client, RECEIVE_BYTES)
            if not data:
                break
            received += data
        return received

    async def exchange(self, client: socket.socket, request: bytes = REQUEST) -> bytes:
        """Send a request and return its answer."""
        client.sendall(request)
        return await self.read_answer(client, ANSWER_BODY)


async def answer_whole(request: HttpRequest, responder: Responder) -> None:
    """Answer a request with `ANSWER_BODY`."""
    await responder.send(200, [], ANSWER_BODY)
