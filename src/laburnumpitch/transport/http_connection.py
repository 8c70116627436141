"""Client side of an HTTP connection: an asyncio protocol around h11."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11

from ..errors import MalformedAnswerError, TargetError, TargetTimeoutError
from .body_budget import BODY_BUDGET
from .connection_reader import get_receive_buffer
from .server_limits import MAX_HEADER_BYTES

TCP_USER_TIMEOUT_MS = 1000
"""Time in which the other end's machine has to acknowledge sent data; after it the
kernel closes the connection."""

SLICE_BYTES = 16 * 1024
"""Bytes that are parsed before the answer's bounds are checked again."""

MAX_BUSY_EVENTS = 64
"""Events that are read without giving other tasks a turn."""

MAX_FRAMING_BYTES = 64 * 1024
"""Heads, chunk heads and trailers of an answer, besides `FRAMING_RATIO`."""

FRAMING_RATIO = 2
"""Further framing for each byte of the body."""


ExtendDeadline = Callable[[], Awaitable[float]]
"""Returns the deadline that follows one which an answer has missed; one that has passed
to give the answer up."""


class HttpConnection(asyncio.BufferedProtocol):
    """A connection to a server, with its h11 state and unread data.

    Args:
        loop: The running event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.unread_chunks: list[bytes] = []
        self.unread_bytes = 0
        self.is_receiving_paused = False
        self.error: Exception | None = None
        """Why the connection broke; None while open and after an orderly close."""
        self.is_input_closed = False
        """Whether no further data will arrive: the other end closed, or it broke."""
        self.has_processed_eof = False
        """Whether h11 was given the end of the received data."""
        self.waiter: asyncio.Future[None] | None = None
        self.idle_since_s = 0.0
        self.answer_count = 0
        """Number of answers that were awaited."""
        self.answer_bytes = 0
        """Bytes received of the current answer, with heads, framing and trailers."""
        self.body_bytes = 0
        """Bytes of the current answer's body."""
        self.max_answer_bytes = 0
        self.extend_deadline: ExtendDeadline | None = None
        """Called when the current answer misses a deadline."""
        self.busy_events = 0
        """Events read since this connection last waited."""
        self.overrun_bytes: int | None = None
        """Bytes that had arrived by a missed deadline and were not read yet; None while
        no deadline has passed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read from the socket."""
        return get_receive_buffer(BODY_BUDGET.get_window_bytes())

    def buffer_updated(self, nbytes: int) -> None:
        """Keep received data; pause receiving while a window of it is unread."""
        self.unread_chunks.append(bytes(get_receive_buffer(nbytes)))
        self.unread_bytes += nbytes
        if self.unread_bytes >= BODY_BUDGET.get_window_bytes():
            self.is_receiving_paused = True
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self) -> bool:
        """Handle an orderly close by the other end; this end closes too."""
        self.is_input_closed = True
        self.wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Store why the connection broke."""
        self.error = self.error or error
        self.is_input_closed = True
        self.wake_reader()

    def wake_reader(self) -> None:
        """Wake the task that waits for data."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def close(self) -> None:
        """Abort the connection."""
        self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread data."""
        return not (
            self.unread_chunks or self.is_input_closed or self.transport.is_closing()
        )

    def send_event(self, event: h11.Event) -> None:
        """Encode an h11 event and queue it for sending."""
        data = self.h11_connection.send(event)
        if data:
            self.transport.write(data)

    def pop_unread_data(self) -> bytes:
        """Return and remove the first slice of the unread data.

        Receiving is resumed if it was paused. Called at the end of the received data,
        it returns an empty string.
        """
        if not self.unread_chunks:
            return b""
        data = self.unread_chunks.pop(0)
        if len(data) > SLICE_BYTES:
            self.unread_chunks.insert(0, data[SLICE_BYTES:])
            data = data[:SLICE_BYTES]
        self.unread_bytes -= len(data)
        window_bytes = BODY_BUDGET.get_window_bytes()
        if self.is_receiving_paused and self.unread_bytes < window_bytes:
            self.is_receiving_paused = False
            self.transport.resume_reading()
        return data

    async def wait_for_data(self, timeout_s: float) -> None:
        """Wait until data has arrived or the connection has ended.

        Raises:
            TargetTimeoutError: If neither happened in time.
        """
        self.waiter = self.loop.create_future()
        timer = self.loop.call_later(max(0.0, timeout_s), self.waiter.cancel)
        try:
            await self.waiter
        except asyncio.CancelledError:
            if not self.is_current_task_cancelling():
                raise TargetTimeoutError(f"no data for {timeout_s:.3g} s") from None
            raise
        finally:
            timer.cancel()
            self.waiter = None

    def is_current_task_cancelling(self) -> bool:
        """Whether the current task is being cancelled, rather than only its wait."""
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    def start_answer(
        self, max_bytes: int, extend_deadline: ExtendDeadline | None = None
    ) -> None:
        """Start to count the bytes of the next answer, which may have `max_bytes`."""
        self.answer_count += 1
        self.extend_deadline = extend_deadline
        self.answer_bytes = 0
        self.body_bytes = 0
        self.max_answer_bytes = max_bytes
        self.overrun_bytes = None

    async def receive_event(self, deadline_s: float) -> h11.Event:
        """Return the next event of the answer.

        Args:
            deadline_s: Monotonic time by which the event must be complete, unless the
                deadline is extended then.

        Raises:
            TargetTimeoutError: If the event was not complete in time.
            TargetError: If the connection broke.
            MalformedAnswerError: If the answer is not valid HTTP or is too large.
        """
        while True:
            try:
                return await self.receive_event_by(deadline_s)
            except TargetTimeoutError:
                if self.extend_deadline is None:
                    raise
                deadline_s = await self.choose_next_deadline_s()
                if deadline_s is None:
                    raise

    async def choose_next_deadline_s(self) -> float | None:
        """Return the deadline after a missed one; None if the answer is given up.

        One that has passed is returned only if further data arrived, or the connection
        ended, while it was chosen. A sender that never pauses would else be read
        without end.
        """
        known_bytes = self.unread_bytes
        deadline_s = await self.extend_deadline()
        if deadline_s > self.loop.time():
            return deadline_s
        is_open = not (self.is_input_closed or self.transport.is_closing())
        if is_open and self.unread_bytes <= known_bytes:
            return None
        self.overrun_bytes = None
        return deadline_s

    async def receive_event_by(self, deadline_s: float) -> h11.Event:
        """Return the next event of the answer if it is complete by a deadline.

        Data that has arrived by the deadline still counts, as the process may have been
        suspended meanwhile.

        Args:
            deadline_s: Monotonic time by which the event must be complete.

        Raises:
            TargetTimeoutError: If the event was not complete in time.
            TargetError: If the connection broke.
            MalformedAnswerError: If the answer is not valid HTTP or is too large.
        """
        while True:
            try:
                event = self.h11_connection.next_event()
            except h11.RemoteProtocolError as error:
                if self.has_processed_eof:
                    raise TargetError("answer truncated", has_died=True) from error
                raise MalformedAnswerError(f"invalid HTTP: {error}") from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    self.body_bytes += len(event.data)
                await self.give_turn()
                return event
            self.check_size()
            wait_s = self.get_wait_s(deadline_s)
            if not self.unread_chunks and not self.is_input_closed:
                await self.wait_for_data(wait_s)
                self.busy_events = 0
                if not wait_s:
                    self.overrun_bytes = self.unread_bytes
            if not self.unread_chunks and self.error is not None:
                raise TargetError(f"connection lost: {self.error}", has_died=True)
            data = self.pop_unread_data()
            self.answer_bytes += len(data)
            if self.overrun_bytes is not None:
                self.overrun_bytes -= len(data)
            self.has_processed_eof = not data
            self.h11_connection.receive_data(data)

    async def give_turn(self) -> None:
        """Let other tasks run after `MAX_BUSY_EVENTS` events without waiting."""
        self.busy_events += 1
        if self.busy_events >= MAX_BUSY_EVENTS:
            self.busy_events = 0
            await asyncio.sleep(0)

    def check_size(self) -> None:
        """Check the bounds of the answer's bytes so far.

        Raises:
            MalformedAnswerError: If the answer, or its framing, is too large.
        """
        if self.answer_bytes > self.max_answer_bytes:
            raise MalformedAnswerError("the answer exceeds its maximum size")
        framing_bytes = self.answer_bytes - self.body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + FRAMING_RATIO * self.body_bytes:
            raise MalformedAnswerError("the answer has too much framing")

    def get_wait_s(self, deadline_s: float) -> float:
        """Return the time to wait for data, which is 0 after the deadline.

        Raises:
            TargetTimeoutError: If all data that had arrived by the deadline was read.
        """
        wait_s = deadline_s - self.loop.time()
        if wait_s > 0 or self.is_input_closed:
            self.overrun_bytes = None
            return max(0.0, wait_s)
        if self.overrun_bytes is None:
            self.overrun_bytes = self.unread_bytes
        elif self.overrun_bytes <= 0:
            raise TargetTimeoutError("the answer did not end in time")
        return 0.0
