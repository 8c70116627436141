"""HTTP server on h11 with limits on connections, headers, bodies and times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from ..errors import TooLargeError
from ..logging import get_logger
from ._socket_state import has_unread_data
from .server_limits import ServerLimits

MAX_CONNECTIONS = 4096
"""Maximum number of open connections; further ones are closed on arrival."""

BODY_TIMEOUT_S = 30.0
"""Timeout of a request's complete body, from the end of the headers."""

WRITE_TIMEOUT_S = 30.0
"""Timeout of waiting for a client to read what was written."""

CHUNK_BYTES = 65536
"""Maximum number of bytes in one read."""

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    path: str
    """Path without the query."""
    query: str
    headers: Headers
    """Names in lower case."""
    body: bytes
    received_at_s: float = 0.0
    """Monotonic time at which the headers were read."""

    def get_header(self, name: str) -> str:
        """Return the value of the first header of a name; empty without one."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return ""


class Responder:
    """Sends one answer on a connection.

    Args:
        connection: h11 state of the connection.
        writer: Stream to the client.
    """

    def __init__(
        self, connection: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        self.connection = connection
        self.writer = writer
        self.has_started = False
        self.has_finished = False
        self.must_close = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; without a Content-Length the body is chunked."""
        if self.must_close:
            headers = [*headers, ("connection", "close")]
        self.has_started = True
        self.write_event(h11.Response(status_code=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Send a part of the body.

        Raises:
            ConnectionError: If the client has disconnected or reads nothing.
        """
        self.write_event(h11.Data(data=data))
        await self.drain()

    async def finish(self) -> None:
        """End the answer."""
        self.write_event(h11.EndOfMessage())
        self.has_finished = True
        await self.drain()

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        await self.start(status, [*headers, ("content-length", str(len(body)))])
        if body:
            self.write_event(h11.Data(data=body))
        await self.finish()

    def write_event(self, event: h11.Event) -> None:
        """Encode an h11 event and queue it for sending."""
        data = self.connection.send(event)
        if data:
            self.writer.write(data)

    async def drain(self) -> None:
        """Wait until the client has read enough, or raise ConnectionError."""
        transport = self.writer.transport
        if not transport.is_closing() and not transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self.writer.drain()
        except asyncio.TimeoutError as error:
            raise ConnectionError("write timeout: the client reads no data") from error


RequestHandler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections and calls a handler for each request.

    A handler is cancelled when its client disconnects.

    Args:
        host: Address to bind.
        port: TCP port to bind; 0 picks a free one.
        handler: Answers a request; must finish the answer or raise.
        limits: Limits on clients; may be replaced while serving.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: RequestHandler,
        limits: ServerLimits | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.is_draining = False
        self.active_requests = 0
        """Number of requests in progress."""
        self.connection_tasks: set[asyncio.Task[None]] = set()
        self.idle_writers: set[asyncio.StreamWriter] = set()
        """Connections that wait for a request's first bytes."""
        self.log = get_logger()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self.server = await asyncio.start_server(
            self.on_connection, self.host, self.port, limit=CHUNK_BYTES, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_accepting(self) -> None:
        """Accept no new connections; close the others after their next answer.

        Idle connections stay open until `close_idle`.
        """
        self.is_draining = True
        if self.server is not None:
            self.server.close()

    async def close_idle(self) -> None:
        """Close the connections on which no request has arrived.

        A request that has arrived, but was not read yet, is answered.
        """
        # One pass reads from sockets, the next one runs the tasks that got data.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for writer in list(self.idle_writers):
            if not has_unread_data(writer):
                writer.close()

    async def close(self) -> None:
        """Stop accepting and close every connection."""
        self.stop_accepting()
        for task in list(self.connection_tasks):
            task.cancel()
        await asyncio.gather(*self.connection_tasks, return_exceptions=True)

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None
        if len(self.connection_tasks) >= MAX_CONNECTIONS:
            writer.close()
            return
        self.connection_tasks.add(task)
        try:
            await self.serve_connection(reader, writer)
        except (ConnectionError, asyncio.TimeoutError, h11.ProtocolError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception:
            self.log.exception("connection_failed")
        finally:
            self.connection_tasks.discard(task)
            writer.close()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one after another."""
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        while True:
            responder = Responder(connection, writer)
            try:
                request = await self.read_request(connection, reader, writer)
            except TooLargeError as error:
                await self.reject(responder, error.status, error.code)
                return
            except h11.RemoteProtocolError as error:
                await self.reject(responder, error.error_status_hint, "malformed")
                return
            except asyncio.TimeoutError:
                if connection.their_state is not h11.IDLE or (
                    connection.trailing_data[0]
                ):
                    await self.reject(responder, 408, "too_slow")
                return
            if request is None:
                return
            responder.must_close = self.is_draining
            self.active_requests += 1
            try:
                await self.run_handler(request, responder, reader, connection)
            finally:
                self.active_requests -= 1
            if not responder.has_finished or connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def reject(self, responder: Responder, status: int, code: str) -> None:
        """Answer a request that could not be read, which was thus not run."""
        if responder.connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = b'{"error":{"code":"%s","run":"not_run"}}' % code.encode()
            headers = [("content-type", "application/json"), ("connection", "close")]
            await responder.send(status, headers, body)

    async def read_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> HttpRequest | None:
        """Read one request, or return None if the connection was closed.

        Raises:
            TooLargeError: If the body exceeds its limit.
        """
        head = await self.read_head(connection, reader, writer)
        if head is None:
            return None
        received_at_s = time.monotonic()
        header_names = {name for name, _ in head.headers}
        if b"content-length" in header_names and b"transfer-encoding" in header_names:
            raise h11.RemoteProtocolError("ambiguous length", error_status_hint=400)
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await self.read_body(connection, reader, writer)
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        ]
        method = head.method.decode("latin-1")
        return HttpRequest(method, path, query, headers, body, received_at_s)

    async def read_head(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> h11.Request | None:
        """Read up to the end of the headers.

        Raises:
            TimeoutError: If the client is idle or slow for too long.
        """
        deadline_s = None
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if deadline_s is None and not connection.trailing_data[0]:
                self.idle_writers.add(writer)
                try:
                    async with asyncio.timeout(self.limits.idle_timeout_s):
                        data = await reader.read(CHUNK_BYTES)
                finally:
                    self.idle_writers.discard(writer)
            else:
                now_s = time.monotonic()
                deadline_s = deadline_s or now_s + self.limits.header_timeout_s
                async with asyncio.timeout(deadline_s - now_s):
                    data = await reader.read(CHUNK_BYTES)
            deadline_s = deadline_s or (time.monotonic() + self.limits.header_timeout_s)
            connection.receive_data(data)

    async def read_body(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Read up to the end of the body."""
        chunks = []
        size = 0
        while True:
            if connection.they_are_waiting_for_100_continue:
                continue_answer = h11.InformationalResponse(status_code=100, headers=[])
                writer.write(connection.send(continue_answer))
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(CHUNK_BYTES))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.body_bytes:
                    raise TooLargeError(f"body over {self.limits.body_bytes} bytes")
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            else:
                raise ConnectionError("the client disconnected")

    async def run_handler(
        self,
        request: HttpRequest,
        responder: Responder,
        reader: asyncio.StreamReader,
        connection: h11.Connection,
    ) -> None:
        """Run the handler, and cancel it if the client disconnects."""
        handler_task = asyncio.ensure_future(self.handler(request, responder))
        watch_task = asyncio.ensure_future(
            self.cancel_on_disconnect(reader, connection, handler_task)
        )
        try:
            await handler_task
        except asyncio.CancelledError:
            handler_task.cancel()
            await asyncio.gather(handler_task, return_exceptions=True)
            raise
        finally:
            watch_task.cancel()
            await asyncio.gather(watch_task, return_exceptions=True)

    async def cancel_on_disconnect(
        self,
        reader: asyncio.StreamReader,
        connection: h11.Connection,
        handler_task: asyncio.Future[None],
    ) -> None:
        """Cancel a handler when its client disconnects; buffer pipelined data."""
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            if not data:
                handler_task.cancel()
                return
            connection.receive_data(data)
            if len(connection.trailing_data[0]) > self.limits.header_bytes:
                return
