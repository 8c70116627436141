"""Reads the requests of a client's connection, within limits, through h11."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import Callable

import h11

from ..errors import TooLargeError
from ._socket_state import count_unread_bytes
from .client_gate import BudgetMember, ClientGate
from .connection_log import ConnectionPhase
from .connection_reader import ConnectionReader
from .header_bytes import decode_headers
from .http_request import HttpRequest
from .server_limits import ServerLimits

IDLE_MARGIN_S = 1.0
"""Time after the idle timeout in which a request sent before it may arrive."""

BODY_TIMEOUT_S = 30.0
"""Timeout of a request's complete body, from the end of the headers."""

MAX_FRAMING_BYTES = 64 * 1024
"""Heads of chunks in a body, besides `FRAMING_RATIO`."""

FRAMING_RATIO = 2
"""Further framing for each byte of the body. Chunks of a byte each have five, and take
far more time to parse than to send."""


class RequestReader(BudgetMember):
    """Reads one request after another from a connection.

    Args:
        reader: Stream from the client.
        writer: Stream to the client.
        get_limits: Returns the limits in force.
        gate: The budget of the process.
    """

    def __init__(
        self,
        reader: ConnectionReader,
        writer: asyncio.StreamWriter,
        get_limits: Callable[[], ServerLimits],
        gate: ClientGate,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.get_limits = get_limits
        self.gate = gate
        # `next_event` has the limit, which may change while the connection is open.
        self.h11_connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self.limits = get_limits()
        """The highest limits in force since the wait for the request began."""
        self.loop = asyncio.get_running_loop()
        self.overrun_deadline_s: float | None = None
        """Deadline after which only data that had arrived is read."""
        self.overrun_bytes = 0
        """Bytes that had arrived by that deadline and were not read yet."""
        self.phase = ConnectionPhase.IDLE
        self.body_bytes = 0
        """Bytes of the current request's body that are held."""
        self.holding = gate.open(self)

    def count_unread_bytes(self) -> int:
        """Return the number of bytes that have arrived and were not read.

        A socket that is being closed is not read any more.
        """
        if self.writer.is_closing():
            return self.reader.unread_bytes
        return self.reader.unread_bytes + count_unread_bytes(self.writer)

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
        self.gate.budget.begin_request(self.holding)
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
        body = bytearray()
        try:
            await self.collect_body(body, deadline_s)
            return bytes(body)
        finally:
            # An error's traceback may keep this frame for long.
            body.clear()

    async def collect_body(self, body: bytearray, deadline_s: float) -> None:
        """Read up to the end of the body, as `read_body` does."""
        connection = self.h11_connection
        received_bytes = 0
        while True:
            if connection.they_are_waiting_for_100_continue:
                continue_answer = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(connection.send(continue_answer))
            event = self.next_event()
            if event is h11.NEED_DATA:
                if received_bytes > MAX_FRAMING_BYTES + FRAMING_RATIO * len(body):
                    raise h11.RemoteProtocolError("too much framing")
                data = await self.read_by(lambda: deadline_s)
                await self.wait_for_room(len(data), deadline_s)
                received_bytes += len(data)
                connection.receive_data(data)
            elif isinstance(event, h11.Data):
                body += event.data
                body_bytes = self.get_max_body_bytes()
                if len(body) > body_bytes:
                    raise TooLargeError(f"body over {body_bytes} bytes")
                self.hold_body(len(body))
            elif isinstance(event, h11.EndOfMessage):
                self.gate.end_growth(self.holding)
                return
            else:
                raise ConnectionError("the client disconnected")

    def get_max_body_bytes(self) -> int:
        """Return the size of the largest body that is read."""
        return min(self.limits.body_bytes, self.gate.budget.sizes.max_body_bytes)

    def hold_body(self, body_bytes: int) -> None:
        """Count the current request's body, and what else the connection holds."""
        self.body_bytes = body_bytes
        self.gate.resize(self.holding, self.measure_bytes())

    async def wait_for_room(self, size: int, deadline_s: float) -> None:
        """Wait until the node may hold further bytes of a body.

        Raises:
            TimeoutError: If it may not by the deadline.
        """
        if not self.gate.budget.may_grow(self.holding, size):
            async with asyncio.timeout_at(deadline_s):
                await self.gate.wait_for_room(self.holding, size)

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
            return await self.reader.read(self.gate.budget.get_window_bytes())
        except TimeoutError as error:
            # The socket's ETIMEDOUT is of the class that the timeouts raise.
            raise ConnectionError("the connection timed out") from error
