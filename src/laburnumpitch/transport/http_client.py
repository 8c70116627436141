"""HTTP client on h11 with keep-alive connections and typed errors.

An error says whether any byte of the request was written, since only a request of
which nothing was written has certainly not run.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable

import h11

from ..errors import MalformedAnswerError, TargetError, TargetTimeoutError
from ._client_pool import ClientPool
from .body_budget import BODY_BUDGET
from .header_bytes import decode_headers, encode_headers
from .http_connection import ExtendDeadline, HttpConnection
from .http_server import Headers

CONNECT_TIMEOUT_S = 1.0
"""Default timeout of connecting."""

MAX_IDLE_S = 60.0
"""Longest time that a connection may be idle before it is reused."""

BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
"""Methods whose requests have no Content-Length header if the body is empty."""

GAP_TIMEOUT_S = 10.0
"""Default timeout between two reads of an answer's body."""

TOTAL_TIMEOUT_S = 120.0
"""Default timeout of a call, from its start to the end of the answer."""

BODY_TIMEOUT_S = 30.0
"""Time for the rest of an answer that began just before its caller's deadline."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Default maximum size of an answer, with heads, framing and trailers."""

MIN_PROGRESS_BYTES = 1024
"""Size of a part of a body that shows that it is not stalled."""

MAX_INFORMATIONAL_ANSWERS = 8
"""Maximum number of 1xx heads before an answer."""

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of idle connections to one address."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that apply to one connection and are never forwarded."""


class InvalidRequestError(MalformedAnswerError):
    """A request cannot be written as HTTP, which says nothing about its target."""

    @property
    def is_unreachable(self) -> bool:
        """Whether the target cannot be reached now."""
        return False


class HttpAnswer:
    """An answer whose body is read as it arrives.

    Args:
        client: The client that the connection is released to.
        connection: The connection on which the answer arrives.
        head: Status and headers.
        gap_timeout_s: Timeout between two reads of the body.
        deadline_s: Monotonic time by which the answer must end; may be moved while the
            body is read.
    """

    def __init__(
        self,
        client: HttpClient,
        connection: HttpConnection,
        head: h11.Response,
        gap_timeout_s: float,
        deadline_s: float,
    ) -> None:
        self.client = client
        self.connection = connection
        self.status: int = head.status_code
        self.headers: Headers = decode_headers(head.headers)
        self.gap_timeout_s = gap_timeout_s
        self.deadline_s = deadline_s
        self.is_complete = False
        self.is_closed = False
        self.unread_parts: list[bytes] = []
        """Parts of the body that `iterate_body` yields again."""
        self.is_first = connection.answer_count == 1
        """Whether no other request was sent on the connection before."""

    @property
    def has_length(self) -> bool:
        """Whether the headers state the length of the body."""
        return any(name == "content-length" for name, _ in self.headers)

    def get_length(self) -> int:
        """Return the length of the body that the headers state; 0 without one."""
        lengths = [v for name, v in self.headers if name == "content-length"]
        return int(lengths[0]) if lengths and lengths[0].isdecimal() else 0

    @property
    def is_framed(self) -> bool:
        """Whether the body's end is marked, rather than that of the connection."""
        is_chunked = any(name == "transfer-encoding" for name, _ in self.headers)
        return self.has_length or is_chunked

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; return only once the answer is complete.

        Raises:
            TargetError: If the answer is truncated, times out or is too large.
        """
        while self.unread_parts:
            yield self.unread_parts.pop(0)
        while not self.is_complete:
            gap_deadline_s = time.monotonic() + self.gap_timeout_s
            event = await self.connection.receive_event(
                min(self.deadline_s, gap_deadline_s)
            )
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
            else:
                raise TargetError("answer truncated", has_died=True)

    async def read(self, choose_deadline_s: Callable[[], float] | None = None) -> bytes:
        """Return the complete body and release the connection.

        Args:
            choose_deadline_s: Returns the new deadline after each part of
                `MIN_PROGRESS_BYTES`; the answer's deadline stays without it.

        Raises:
            TargetError: If the answer is truncated, times out or is too large.
        """
        body = bytearray()
        progress_bytes = 0
        reservation = BODY_BUDGET.open_reservation()
        try:
            has_waited = await reservation.grow_ahead(self.get_length())
            if has_waited and choose_deadline_s:
                self.deadline_s = choose_deadline_s()
            async for chunk in self.iterate_body():
                await reservation.grow(len(chunk))
                body += chunk
                if (
                    choose_deadline_s
                    and len(body) - progress_bytes >= MIN_PROGRESS_BYTES
                ):
                    progress_bytes = len(body)
                    self.deadline_s = choose_deadline_s()
            return bytes(body)
        finally:
            # An error's traceback may keep this frame for long.
            body.clear()
            reservation.close()
            self.close()

    def set_final_deadline(self, deadline_s: float) -> None:
        """Set a deadline that is not extended."""
        self.deadline_s = deadline_s
        self.connection.extend_deadline = None

    def close(self) -> None:
        """Release the connection; it is reused only if the answer is complete.

        Only the first call has an effect: another request may use the connection then.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.client.release_connection(self.connection, self.is_complete)


class HttpClient:
    """Sends requests to one address.

    Args:
        address: `host:port`.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_connections: list[HttpConnection] = []
        self.is_closed = False

    def close(self) -> None:
        """Close the idle connections."""
        self.is_closed = True
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()

    async def connect(self, timeout_s: float) -> HttpConnection:
        """Open a connection.

        Raises:
            TargetError: If connecting fails; `sent` is false, as nothing was written.
        """
        host, _, port = self.address.rpartition(":")
        try:
            loop = asyncio.get_running_loop()
            # asyncio.wait_for would lose a cancellation that arrives together with
            # the result.
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(loop), host, int(port)
                )
        except asyncio.TimeoutError as error:
            raise TargetTimeoutError("connecting timed out", sent=False) from error
        except (OSError, OverflowError, ValueError) as error:
            # The last two are raised for an address that is not valid.
            raise TargetError(f"connecting failed: {error}", sent=False) from error
        return connection

    def pop_idle_connection(self, max_idle_s: float) -> HttpConnection | None:
        """Return an idle connection that is still open, or None.

        Connections that were idle for too long, were closed by the other end, or
        received data while idle are closed.
        """
        now_s = time.monotonic()
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_idle and now_s - connection.idle_since_s <= max_idle_s:
                return connection
            connection.close()
        return None

    def release_connection(self, connection: HttpConnection, is_complete: bool) -> None:
        """Keep a connection for reuse if its state allows that, or close it."""
        h11_connection = connection.h11_connection
        is_reusable = (
            is_complete
            and not self.is_closed
            and h11_connection.our_state is h11.DONE
            and h11_connection.their_state is h11.DONE
            and len(self.idle_connections) < MAX_IDLE_CONNECTIONS
            and not h11_connection.trailing_data[0]
            and connection.is_idle
            and not connection.transport.get_write_buffer_size()
        )
        if is_reusable:
            h11_connection.start_next_cycle()
            connection.idle_since_s = time.monotonic()
            self.idle_connections.append(connection)
        else:
            connection.close()

    async def request(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        *,
        first_byte_timeout_s: float,
        gap_timeout_s: float = GAP_TIMEOUT_S,
        total_timeout_s: float = TOTAL_TIMEOUT_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_idle_s: float = MAX_IDLE_S,
        before_write: Callable[[], None] | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        host: str = "",
        extend_deadline: ExtendDeadline | None = None,
    ) -> HttpAnswer:
        """Send a request and return the answer once its headers have arrived.

        Args:
            method: HTTP method.
            path: Path with query.
            headers: Headers; hop-by-hop headers are dropped.
            body: The complete body.
            first_byte_timeout_s: Timeout from the connection's opening to the end of
                the answer's headers.
            gap_timeout_s: Timeout between two reads of the answer's body.
            total_timeout_s: Timeout of the whole call, until the answer has ended.
            max_answer_bytes: Maximum size of the answer, with heads, framing and
                trailers.
            max_idle_s: Longest idle time of a connection that is reused; 0 opens a
                new one. The other end may close an idle connection while the
                request is written; it is then unknown whether the request ran.
            before_write: Called right before the first byte is written; if it
                raises, the request is not sent.
            connect_timeout_s: Timeout of connecting; `first_byte_timeout_s` if that
                is shorter.
            host: Host header; the address if empty.
            extend_deadline: Called when the answer misses a deadline.

        Raises:
            TargetError: If the request fails; `sent` states whether any byte of it
                was written.
        """
        end_s = time.monotonic() + total_timeout_s
        connection = self.pop_idle_connection(max_idle_s) if max_idle_s > 0 else None
        if connection is None:
            connection = await self.connect(
                min(connect_timeout_s, first_byte_timeout_s)
            )
        try:
            if before_write is not None:
                before_write()
            connection.start_answer(max_answer_bytes, extend_deadline)
            self.write_request(connection, method, path, headers, body, host)
            head_deadline_s = min(end_s, time.monotonic() + first_byte_timeout_s)
            head = await self.receive_head(connection, head_deadline_s)
        except BaseException:
            connection.close()
            raise
        return HttpAnswer(self, connection, head, gap_timeout_s, end_s)

    async def receive_head(
        self, connection: HttpConnection, deadline_s: float
    ) -> h11.Response:
        """Return the head of the answer, after informational ones.

        Raises:
            TargetError: If none arrived by the deadline.
        """
        for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
            head = await connection.receive_event(deadline_s)
            if isinstance(head, h11.Response):
                return head
            if not isinstance(head, h11.InformationalResponse):
                raise TargetError("connection closed without an answer", has_died=True)
        raise MalformedAnswerError("too many informational answers")

    def write_request(
        self,
        connection: HttpConnection,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        host: str,
    ) -> None:
        """Queue a complete request for sending.

        Raises:
            InvalidRequestError: If the request is not valid HTTP.
        """
        all_headers = [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]
        all_headers.insert(0, ("host", host or self.address))
        if body or method not in BODILESS_METHODS:
            all_headers.append(("content-length", str(len(body))))
        try:
            connection.send_event(
                h11.Request(
                    method=method, target=path, headers=encode_headers(all_headers)
                )
            )
            if body:
                connection.send_event(h11.Data(data=body))
            connection.send_event(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise InvalidRequestError(
                f"invalid request: {error}", sent=False
            ) from error


class HttpClientPool(ClientPool[HttpClient]):
    """Holds one HTTP client for each address."""

    def __init__(self) -> None:
        super().__init__(HttpClient)
