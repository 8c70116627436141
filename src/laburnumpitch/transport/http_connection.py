"""One connection to a target and what has arrived on it."""

from __future__ import annotations

import asyncio
import socket

import h11

from ..errors import MalformedAnswerError, TargetError, TargetTimeoutError
from .http_server import MAX_HEADER_BYTES

TCP_USER_TIMEOUT_MS = 1000
"""Time for the other end's machine to acknowledge what was sent."""

MAX_UNREAD_BYTES = 256 * 1024
"""Bytes of an answer that wait for a slow caller before reading pauses."""


class HttpConnection(asyncio.Protocol):
    """One connection and its h11 state.

    Args:
        loop: The running loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.unread_chunks: list[bytes] = []
        self.unread_bytes = 0
        self.error: Exception | None = None
        """Why the connection broke, if not by the other end's orderly close."""
        self.has_received_eof = False
        """Whether the other end sends nothing more."""
        self.has_processed_eof = False
        """Whether the other end's last byte was handed to h11."""
        self.waiter: asyncio.Future[None] | None = None
        self.idle_since_s = 0.0

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Keep what arrived for the reader."""
        self.unread_chunks.append(data)
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self) -> bool:
        """Note the other end's orderly close; this end closes too."""
        self.has_received_eof = True
        self.wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note why the connection broke."""
        self.error = self.error or error
        self.has_received_eof = True
        self.wake_reader()

    def wake_reader(self) -> None:
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Called by the user.

    def close(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and nothing has arrived on it."""
        return not (
            self.unread_chunks or self.has_received_eof or self.transport.is_closing()
        )

    def send_event(self, event: h11.Event) -> None:
        """Queue one h11 event."""
        data = self.h11_connection.send(event)
        if data:
            self.transport.write(data)

    def pop_unread_data(self) -> bytes:
        """Return what has arrived; an empty text stands for the end."""
        data = b"".join(self.unread_chunks)
        self.unread_chunks.clear()
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.transport.resume_reading()
        self.unread_bytes = 0
        return data

    async def wait_for_data(self, timeout_s: float) -> None:
        """Wait until something has arrived or the other end is done.

        Raises:
            TargetTimeoutError: If nothing came in time.
        """
        self.waiter = self.loop.create_future()
        timer = self.loop.call_later(max(0.0, timeout_s), self.waiter.cancel)
        try:
            await self.waiter
        except asyncio.CancelledError:
            if not self.is_current_task_cancelling():
                raise TargetTimeoutError(f"silent for {timeout_s:.3g} s") from None
            raise
        finally:
            timer.cancel()
            self.waiter = None

    def is_current_task_cancelling(self) -> bool:
        """Whether the running task itself is being cancelled."""
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    async def receive_event(self, timeout_s: float) -> h11.Event:
        """Return the next event of the answer.

        Raises:
            TargetTimeoutError: If nothing came in time.
            TargetError: If the connection broke.
            MalformedAnswerError: If the answer is not HTTP.
        """
        while True:
            try:
                event = self.h11_connection.next_event()
            except h11.RemoteProtocolError as error:
                if self.has_processed_eof:
                    raise TargetError("the answer was cut", has_died=True) from error
                raise MalformedAnswerError(f"not HTTP: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            if not self.unread_chunks and not self.has_received_eof:
                await self.wait_for_data(timeout_s)
            if not self.unread_chunks and self.error is not None:
                raise TargetError(f"broken: {self.error}", has_died=True)
            data = self.pop_unread_data()
            self.has_processed_eof = not data
            self.h11_connection.receive_data(data)
