"""One connection to a target and what has arrived on it."""

from __future__ import annotations

import asyncio
import socket

import h11

from ..errors import MalformedAnswerError, TargetError, TargetTimeoutError
from .http_server import MAX_HEADER_BYTES

USER_TIMEOUT_MS = 1000
"""Time for the other end's machine to acknowledge what was sent."""

MAX_UNREAD_BYTES = 256 * 1024
"""Bytes of an answer that wait for a slow caller before reading pauses."""


class Connection(asyncio.Protocol):
    """One connection and its h11 state.

    Args:
        loop: The running loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.received: list[bytes] = []
        self.received_bytes = 0
        self.error: Exception | None = None
        """Why the connection broke, if not by the other end's orderly close."""
        self.is_at_end = False
        """Whether the other end sends nothing more."""
        self.has_ended = False
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
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Keep what arrived for the reader."""
        self.received.append(data)
        self.received_bytes += len(data)
        if self.received_bytes > MAX_UNREAD_BYTES:
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        """Note the other end's orderly close; this end closes too."""
        self.is_at_end = True
        self.wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note why the connection broke."""
        self.error = self.error or error
        self.is_at_end = True
        self.wake()

    def wake(self) -> None:
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Called by the user.

    def close(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open and nothing has arrived on it."""
        return not (self.received or self.is_at_end or self.transport.is_closing())

    def send(self, event: h11.Event) -> None:
        """Queue one h11 event."""
        data = self.state.send(event)
        if data:
            self.transport.write(data)

    def take_received(self) -> bytes:
        """Return what has arrived; an empty text stands for the end."""
        data = b"".join(self.received)
        self.received.clear()
        if self.received_bytes > MAX_UNREAD_BYTES:
            self.transport.resume_reading()
        self.received_bytes = 0
        return data

    async def wait_data(self, timeout_s: float) -> None:
        """Wait until something has arrived or the other end is done.

        Raises:
            TargetTimeoutError: If nothing came in time.
        """
        self.waiter = self.loop.create_future()
        timer = self.loop.call_later(max(0.0, timeout_s), self.waiter.cancel)
        try:
            await self.waiter
        except asyncio.CancelledError:
            if not self.is_cancelling():
                raise TargetTimeoutError(f"silent for {timeout_s:.3g} s") from None
            raise
        finally:
            timer.cancel()
            self.waiter = None

    def is_cancelling(self) -> bool:
        """Whether the running task itself is being cancelled."""
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    async def receive(self, timeout_s: float) -> h11.Event:
        """Return the next event of the answer.

        Raises:
            TargetTimeoutError: If nothing came in time.
            TargetError: If the connection broke.
            MalformedAnswerError: If the answer is not HTTP.
        """
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as error:
                if self.has_ended:
                    raise TargetError("the answer was cut", has_died=True) from error
                raise MalformedAnswerError(f"not HTTP: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            if not self.received and not self.is_at_end:
                await self.wait_data(timeout_s)
            if not self.received and self.error is not None:
                raise TargetError(f"broken: {self.error}", has_died=True)
            data = self.take_received()
            self.has_ended = not data
            self.state.receive_data(data)
