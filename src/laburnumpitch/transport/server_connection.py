"""Server side of an HTTP connection: reads requests, within limits, through h11."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import h11

from ..errors import TooLargeError
from .http_request import HttpRequest
from .responder import Responder
from .server_limits import ServerLimits

BODY_TIMEOUT_S = 30.0
"""Timeout of a request's complete body, from the end of the headers."""

CHUNK_BYTES = 65536
"""Maximum number of bytes in one read."""


class ServerConnection:
    """A client's connection.

    Args:
        reader: Stream from the client.
        writer: Stream to the client.
        get_limits: Returns the limits in force.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        get_limits: Callable[[], ServerLimits],
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.get_limits = get_limits
        self.h11_connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=get_limits().header_bytes
        )
        self.is_waiting = False
        """Whether the connection waits for a request's first bytes."""

    def make_responder(self) -> Responder:
        """Return the responder of the next request."""
        return Responder(self.h11_connection, self.writer)

    def has_partial_request(self) -> bool:
        """Whether a part of a request, and not all of it, has been read."""
        return self.h11_connection.their_state is not h11.IDLE or bool(
            self.h11_connection.trailing_data[0]
        )

    def prepare_next_request(self) -> bool:
        """Make ready for another request; False if the connection has to be closed."""
        connection = self.h11_connection
        if connection.our_state is not h11.DONE:
            return False
        if connection.their_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        return True

    async def read_request(self) -> HttpRequest | None:
        """Read one request, or return None if the connection was closed.

        Raises:
            TooLargeError: If the body exceeds its limit.
        """
        head = await self.read_head()
        if head is None:
            return None
        received_at_s = time.monotonic()
        header_names = {name for name, _ in head.headers}
        if b"content-length" in header_names and b"transfer-encoding" in header_names:
            raise h11.RemoteProtocolError("ambiguous length", error_status_hint=400)
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await self.read_body()
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        ]
        method = head.method.decode("latin-1")
        return HttpRequest(method, path, query, headers, body, received_at_s)

    async def read_head(self) -> h11.Request | None:
        """Read up to the end of the headers.

        Raises:
            TimeoutError: If the client is idle or slow for too long.
        """
        connection = self.h11_connection
        deadline_s = None
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if deadline_s is None and not connection.trailing_data[0]:
                self.is_waiting = True
                try:
                    async with asyncio.timeout(self.get_limits().idle_timeout_s):
                        data = await self.reader.read(CHUNK_BYTES)
                finally:
                    self.is_waiting = False
            else:
                now_s = time.monotonic()
                deadline_s = deadline_s or now_s + self.get_limits().header_timeout_s
                async with asyncio.timeout(deadline_s - now_s):
                    data = await self.reader.read(CHUNK_BYTES)
            header_timeout_s = self.get_limits().header_timeout_s
            deadline_s = deadline_s or (time.monotonic() + header_timeout_s)
            connection.receive_data(data)

    async def read_body(self) -> bytes:
        """Read up to the end of the body."""
        connection = self.h11_connection
        chunks = []
        size = 0
        while True:
            if connection.they_are_waiting_for_100_continue:
                continue_answer = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(connection.send(continue_answer))
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await self.reader.read(CHUNK_BYTES))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                body_bytes = self.get_limits().body_bytes
                if size > body_bytes:
                    raise TooLargeError(f"body over {body_bytes} bytes")
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            else:
                raise ConnectionError("the client disconnected")

    async def cancel_on_disconnect(self, handler_task: asyncio.Future[None]) -> None:
        """Cancel a handler when its client disconnects; buffer pipelined data."""
        while True:
            try:
                data = await self.reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            if not data:
                handler_task.cancel()
                return
            self.h11_connection.receive_data(data)
            pipelined_bytes = len(self.h11_connection.trailing_data[0])
            if pipelined_bytes > self.get_limits().header_bytes:
                return
