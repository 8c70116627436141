"""Sends the answers of an HTTP server."""

from __future__ import annotations

import asyncio
from typing import Protocol

import h11

from ._socket_state import set_reset_on_close
from .header_bytes import encode_headers
from .http_request import Headers

WRITE_TIMEOUT_S = 30.0
"""Time in which a client has to read some of what was written."""

SLICE_BYTES = 64 * 1024
"""Size of the parts in which a large body is handed to the transport, which copies
them."""

HTTP_1_0 = b"1.0"
"""HTTP version whose answers have no chunks."""


class WriteTimeoutError(ConnectionError):
    """The client did not read what was written."""


class AnswerHolder(Protocol):
    """Counts what an answer makes the node hold."""

    def update_holding(self) -> None:
        """Count it again."""

    async def wait_for_answer_room(self, size: int) -> None:
        """Wait until the answer may hold further bytes."""


class Responder:
    """Sends one answer on a connection.

    Args:
        connection: h11 state of the connection.
        writer: Stream to the client.
        holder: Counts what the answer makes the node hold.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        holder: AnswerHolder,
    ) -> None:
        self.connection = connection
        self.writer = writer
        self.holder: AnswerHolder | None = holder
        """None once the connection has ended."""
        self.has_started = False
        self.has_finished = False
        self.must_close = False
        self.resets_on_close = False
        """Whether the connection is reset if it is closed before the answer's end."""
        self.is_head = False
        """Whether the request's method is HEAD, whose answers have no body."""
        self.written_bytes = 0
        """Bytes of the answer, with its head and framing."""
        self.pending_bytes = 0
        """Bytes of the body that are held besides what is in the transport."""

    @property
    def sent_bytes(self) -> int:
        """Bytes of the answer that were handed to the socket."""
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        return max(0, self.written_bytes - unsent_bytes)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; without a Content-Length the body is chunked."""
        if self.must_close:
            headers = [*headers, ("connection", "close")]
        head = h11.Response(status_code=status, headers=encode_headers(headers))
        self.has_started = True
        has_length = any(name == "content-length" for name, _ in headers)
        if not has_length and self.connection.their_http_version == HTTP_1_0:
            # The client takes the connection's end for that of the body. A reset shows
            # that the answer is not complete, also if this process is killed.
            self.resets_on_close = True
            set_reset_on_close(self.writer, True)
        self.write_event(head)

    async def write(self, data: bytes) -> None:
        """Send a part of the body.

        Raises:
            ConnectionError: If the client has disconnected or reads nothing.
        """
        self.write_data(data)
        await self.drain()

    async def hold(self, size: int) -> None:
        """Hold a part of the body that cannot be written yet; wait for room for it.

        Raises:
            TargetTimeoutError: If there is no room in time.
        """
        if size > self.pending_bytes and self.holder is not None:
            await self.holder.wait_for_answer_room(size - self.pending_bytes)
        if size != self.pending_bytes:
            self.pending_bytes = size
            self.update_holding()

    def update_holding(self) -> None:
        """Count what the answer makes the node hold."""
        if self.holder is not None:
            self.holder.update_holding()

    async def finish(self) -> None:
        """End the answer."""
        self.end()
        await self.drain()

    def end(self) -> None:
        """Queue the end of the answer."""
        self.write_event(h11.EndOfMessage())
        self.has_finished = True
        if self.resets_on_close:
            set_reset_on_close(self.writer, False)

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        await self.start(status, [*headers, ("content-length", str(len(body)))])
        if len(body) > SLICE_BYTES:
            await self.write_slices(body)
        else:
            self.write_data(body)
        await self.finish()

    async def write_slices(self, body: bytes) -> None:
        """Write a large body part by part, as the client reads it.

        If the process stops meanwhile, the rest is written at once, and sent as far as
        the time for that allows.
        """
        position = 0
        view = memoryview(body)
        self.pending_bytes = len(body)
        try:
            while position < len(body):
                part = bytes(view[position : position + SLICE_BYTES])
                position += len(part)
                self.write_data(part)
                self.update_holding()
                await self.drain()
        except asyncio.CancelledError:
            if not self.writer.is_closing():
                self.write_data(bytes(view[position:]))
                self.end()
            raise
        finally:
            self.pending_bytes = 0

    def write_data(self, data: bytes) -> None:
        """Queue a part of the body, unless the answer has none."""
        if data and not self.is_head:
            self.write_event(h11.Data(data=data))

    def write_event(self, event: h11.Event) -> None:
        """Encode an h11 event and queue it for sending."""
        data = self.connection.send(event)
        if data:
            self.written_bytes += len(data)
            self.writer.write(data)

    async def drain(self) -> None:
        """Wait until the client has read enough, or raise ConnectionError."""
        transport = self.writer.transport
        if not transport.is_closing() and not transport.get_write_buffer_size():
            return
        while True:
            unsent_bytes = transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self.writer.drain()
                return
            except asyncio.TimeoutError as error:
                if transport.get_write_buffer_size() >= unsent_bytes:
                    raise WriteTimeoutError("the client reads no data") from error

    async def wait_sent(self) -> None:
        """Wait until all that was written has been handed to the socket.

        Raises:
            ConnectionError: If the client has disconnected or reads nothing.
        """
        transport = self.writer.transport
        if not transport.get_write_buffer_size():
            return
        _, high = transport.get_write_buffer_limits()
        transport.set_write_buffer_limits(0)
        try:
            await self.drain()
        finally:
            transport.set_write_buffer_limits(high)
