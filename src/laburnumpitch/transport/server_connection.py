"""Server side of an HTTP connection: reads requests, within limits, through h11."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import Callable

import h11

from ..errors import TooLargeError
from ._socket_state import count_unread_bytes
from .connection_log import ConnectionLog, ConnectionPhase
from .connection_reader import CHUNK_BYTES, ConnectionReader
from .header_bytes import decode_headers
from .http_request import HttpRequest
from .responder import WRITE_TIMEOUT_S, Responder, WriteTimeoutError
from .server_limits import ServerLimits

IDLE_MARGIN_S = 1.0
"""Time after the idle timeout in which a request sent before it may arrive."""

BODY_TIMEOUT_S = 30.0
"""Timeout of a request's complete body, from the end of the headers."""

LINGER_TIMEOUT_S = 2.0
"""Time for which a client may go on to send after the last answer."""

MAX_LINGER_BYTES = 16 * 1024 * 1024
"""Bytes that a client may go on to send: twice the largest body by default."""


class ServerConnection:
    """A client's connection.

    Args:
        reader: Stream from the client.
        writer: Stream to the client.
        get_limits: Returns the limits in force.
        connection_log: Records timeouts and unanswered requests.
    """

    def __init__(
        self,
        reader: ConnectionReader,
        writer: asyncio.StreamWriter,
        get_limits: Callable[[], ServerLimits],
        connection_log: ConnectionLog,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.get_limits = get_limits
        # `next_event` has the limit, which may change while the connection is open.
        self.h11_connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self.limits = get_limits()
        """The highest limits in force since the wait for the request began."""
        self.connection_log = connection_log
        self.loop = asyncio.get_running_loop()
        self.overrun_deadline_s: float | None = None
        """Deadline after which only data that had arrived is read."""
        self.overrun_bytes = 0
        """Bytes that had arrived by that deadline and were not read yet."""
        self.phase = ConnectionPhase.IDLE
        self.responder = Responder(self.h11_connection, writer)
        """Answers the current or the next request."""
        self.previous_responder = self.responder
        self.task = asyncio.current_task()
        self.must_linger = False
        """Whether the client may go on to send a request that was refused."""
        self.has_disconnected = False
        """Whether the client disconnected during an answer."""

    @property
    def last_answer(self) -> Responder:
        """The last answer of which something was written."""
        if self.responder.has_started:
            return self.responder
        return self.previous_responder

    def count_unread_bytes(self) -> int:
        """Return the number of bytes that have arrived and were not read.

        A socket that is being closed is not read any more.
        """
        if self.writer.is_closing():
            return self.reader.unread_bytes
        return self.reader.unread_bytes + count_unread_bytes(self.writer)

    def is_idle(self) -> bool:
        """Whether the connection waits for a request of which nothing has arrived.

        The connection's task may not have seen yet what has arrived.
        """
        return self.phase is ConnectionPhase.IDLE and not self.count_unread_bytes()

    def record_timeout(self) -> None:
        """Record that the connection is closed by a timeout."""
        self.connection_log.record_timeout(
            self.phase, self.reader.last_received_s, self.count_unread_bytes()
        )

    def has_unanswered_request(self) -> bool:
        """Whether a request was read whole, and its answer is not complete."""
        return self.phase is ConnectionPhase.ANSWER and not self.responder.has_finished

    def record_end(self, error: BaseException | None) -> None:
        """Record that the connection ends.

        Args:
            error: What ended it; None if it was closed in order.
        """
        if isinstance(error, WriteTimeoutError):
            self.record_timeout()
        if self.has_unanswered_request():
            cause = type(error).__name__ if error else "no_answer"
            self.connection_log.record_unanswered(
                cause, self.responder.sent_bytes, self.has_disconnected
            )

    def cancel(self) -> None:
        """Stop serving the connection; what was written is still sent."""
        if self.phase is not ConnectionPhase.CLOSING:
            self.task.cancel()

    async def close(self, error: BaseException | None) -> None:
        """Close the connection once the client has read what was written.

        A client that reads nothing is given up after `WRITE_TIMEOUT_S`.

        Args:
            error: What ended the connection; None if it was closed in order.
        """
        self.record_end(error)
        transport = self.writer.transport
        has_unsent_answer = (
            transport.get_write_buffer_size() > 0 and not self.has_unanswered_request()
        )
        sent_bytes = self.last_answer.sent_bytes
        is_idle = self.phase is ConnectionPhase.IDLE
        must_reset = self.responder.resets_on_close and not self.responder.has_finished
        self.phase = ConnectionPhase.CLOSING
        has_timed_out = isinstance(error, WriteTimeoutError)
        is_lost = False
        try:
            # A request that came to an idle connection too late stays unread.
            must_linger = self.must_linger or (
                not is_idle and self.count_unread_bytes() > 0
            )
            # To linger ends the answer in order.
            if must_linger and not must_reset:
                await self.linger()
            self.writer.close()
            flush_timeout = asyncio.timeout(0 if has_timed_out else WRITE_TIMEOUT_S)
            async with flush_timeout:
                await self.writer.wait_closed()
        except asyncio.TimeoutError:
            # The socket's ETIMEDOUT is of this class too.
            is_lost = not flush_timeout.expired()
            if not is_lost and not has_timed_out:
                self.record_timeout()
        except OSError:
            is_lost = True
        finally:
            self.writer.close()
            has_unsent_data = transport.get_write_buffer_size() > 0
            if has_unsent_data:
                transport.abort()
            if has_unsent_answer and (has_unsent_data or is_lost):
                self.connection_log.record_unanswered("unsent", sent_bytes, is_lost)

    async def linger(self) -> None:
        """End the answer, then discard what the client sends until it closes too.

        To close a socket that has unread data, or receives more, resets the connection;
        that may destroy an answer that the client has not read.
        """
        if self.writer.is_closing() or self.reader.at_eof():
            return
        discarded_bytes = 0
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                self.writer.write_eof()
                while discarded_bytes < MAX_LINGER_BYTES:
                    data = await self.reader.read(CHUNK_BYTES)
                    if not data:
                        return
                    discarded_bytes += len(data)

    def raise_limits(self, limits: ServerLimits) -> None:
        """Let a wait that has begun have the limits that come into force.

        A client may go by the new limits at once, and by the ones before on a
        connection that it kept while they were in force.
        """
        self.limits = self.limits.get_highest(limits)

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
        self.previous_responder = self.responder
        self.responder = Responder(connection, self.writer)
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
        self.phase = ConnectionPhase.BODY
        body = await self.read_body(self.loop.time() + BODY_TIMEOUT_S)
        self.phase = ConnectionPhase.ANSWER
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = decode_headers(head.headers)
        method = head.method.decode("latin-1")
        return HttpRequest(method, path, query, headers, body, received_at_s)

    async def read_head(self) -> h11.Request | None:
        """Read up to the end of the headers.

        Raises:
            TimeoutError: If the client is idle or slow for too long.
        """
        connection = self.h11_connection
        self.limits = self.get_limits()
        self.phase = ConnectionPhase.HEADER
        started_s = self.loop.time()
        while True:
            event = self.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if not connection.trailing_data[0]:
                data = await self.wait_for_request()
                started_s = self.loop.time()
            else:
                data = await self.read_by(
                    lambda: started_s + self.limits.header_timeout_s
                )
            connection.receive_data(data)

    async def wait_for_request(self) -> bytes:
        """Return the first data of a request, or an empty string at the end.

        Raises:
            TimeoutError: If the client is idle for too long.
        """
        self.phase = ConnectionPhase.IDLE
        started_s = self.loop.time()
        data = await self.read_by(
            lambda: started_s + self.limits.idle_timeout_s + IDLE_MARGIN_S
        )
        self.phase = ConnectionPhase.HEADER
        return data

    async def read_body(self, deadline_s: float) -> bytes:
        """Read up to the end of the body.

        Args:
            deadline_s: Time of the event loop by which it has to arrive.

        Raises:
            TimeoutError: If it does not.
            TooLargeError: If it exceeds its limit.
            ConnectionError: If the client disconnects.
        """
        connection = self.h11_connection
        chunks = []
        size = 0
        while True:
            if connection.they_are_waiting_for_100_continue:
                continue_answer = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(connection.send(continue_answer))
            event = self.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await self.read_by(lambda: deadline_s))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                body_bytes = self.limits.body_bytes
                if size > body_bytes:
                    raise TooLargeError(f"body over {body_bytes} bytes")
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            else:
                raise ConnectionError("the client disconnected")

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event in the data that was read.

        Raises:
            RemoteProtocolError: If it is malformed, or incomplete and too long.
        """
        event = self.h11_connection.next_event()
        if event is h11.NEED_DATA:
            incomplete_bytes = len(self.h11_connection.trailing_data[0])
            if incomplete_bytes > self.limits.header_bytes:
                raise h11.RemoteProtocolError(
                    f"over {self.limits.header_bytes} bytes", error_status_hint=431
                )
        return event

    async def read_by(self, get_deadline_s: Callable[[], float]) -> bytes:
        """Return data that arrives by a deadline, or an empty string at the end.

        Data that had arrived by the deadline is returned later too, as the process may
        have been suspended, or busy, at the deadline.

        Args:
            get_deadline_s: Returns a time of the event loop, which may move.

        Raises:
            TimeoutError: If all that had arrived by the deadline was returned.
            ConnectionError: If the connection is lost.
        """
        while self.loop.time() < (deadline_s := get_deadline_s()):
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    return await self.read()
        if self.overrun_deadline_s != deadline_s:
            self.overrun_deadline_s = deadline_s
            self.overrun_bytes = self.count_unread_bytes()
        if self.overrun_bytes <= 0:
            raise asyncio.TimeoutError
        data = await self.read()
        self.overrun_bytes -= len(data)
        return data

    async def read(self) -> bytes:
        """Return data that arrives, or an empty string at the end.

        Raises:
            ConnectionError: If the connection is lost.
        """
        try:
            return await self.reader.read(CHUNK_BYTES)
        except TimeoutError as error:
            # The socket's ETIMEDOUT is of the class that the timeouts raise.
            raise ConnectionError("the connection timed out") from error

    async def cancel_on_disconnect(self, handler_task: asyncio.Future[None]) -> None:
        """Cancel a handler when its client disconnects; buffer pipelined data."""
        while True:
            try:
                data = await self.reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            if not data:
                self.has_disconnected = True
                handler_task.cancel()
                return
            self.h11_connection.receive_data(data)
            pipelined_bytes = len(self.h11_connection.trailing_data[0])
            if pipelined_bytes > self.get_limits().header_bytes:
                return
