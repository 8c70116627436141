"""Server side of an HTTP connection: its requests, their answers, and how it ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import h11

from ..policy.client_budget import CONNECTION_BYTES, HoldingKind
from ._socket_state import has_peer_closed
from .client_gate import ClientGate
from .connection_log import ConnectionLog, ConnectionPhase
from .connection_reader import CHUNK_BYTES, ConnectionReader
from .request_reader import RequestReader
from .responder import WRITE_TIMEOUT_S, Responder, WriteTimeoutError
from .server_limits import ServerLimits

LINGER_TIMEOUT_S = 2.0
"""Time for which a client may go on to send after the last answer."""

MAX_LINGER_BYTES = 16 * 1024 * 1024
"""Bytes that a client may go on to send: twice the largest body by default."""


class ServerConnection(RequestReader):
    """A client's connection.

    Args:
        reader: Stream from the client.
        writer: Stream to the client.
        get_limits: Returns the limits in force.
        connection_log: Records timeouts and unanswered requests.
        gate: The budget of the process.
    """

    def __init__(
        self,
        reader: ConnectionReader,
        writer: asyncio.StreamWriter,
        get_limits: Callable[[], ServerLimits],
        connection_log: ConnectionLog,
        gate: ClientGate,
    ) -> None:
        self.connection_log = connection_log
        self.task = asyncio.current_task()
        self.must_linger = False
        """Whether the client may go on to send a request that was refused."""
        self.has_disconnected = False
        """Whether the client disconnected during an answer."""
        self.finished_bytes = 0
        """Bytes of the answers before the current one."""
        super().__init__(reader, writer, get_limits, gate)
        window_bytes = gate.budget.get_window_bytes()
        writer.transport.set_write_buffer_limits(window_bytes)
        self.responder = Responder(self.h11_connection, writer, self)
        """Answers the current or the next request."""
        self.previous_responder = self.responder

    @property
    def last_answer(self) -> Responder:
        """The last answer of which something was written."""
        if self.responder.has_started:
            return self.responder
        return self.previous_responder

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

    def prepare_next_request(self) -> bool:
        """Make ready for another request; False if the connection has to be closed."""
        connection = self.h11_connection
        if connection.our_state is not h11.DONE:
            return False
        if connection.their_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        self.finished_bytes += self.responder.written_bytes
        self.previous_responder = self.responder
        self.responder = Responder(connection, self.writer, self)
        return True

    def release(self) -> None:
        """Return what the connection holds, and break the cycles of references."""
        self.gate.close(self.holding)
        self.unwatch_end()
        self.responder.holder = self.previous_responder.holder = None

    def watch_end(self, handler_task: asyncio.Future[None]) -> None:
        """Cancel a handler when its client disconnects.

        Requests that the client sends ahead stay unread meanwhile.
        """

        def cancel() -> None:
            self.has_disconnected = True
            handler_task.cancel()

        if self.reader.has_ended:
            cancel()
        else:
            self.reader.on_end = cancel

    def unwatch_end(self) -> None:
        """Let the end of the connection cancel nothing."""
        self.reader.on_end = lambda: None

    def update_holding(self) -> None:
        """Count what the connection makes the node hold."""
        self.gate.resize(self.holding, self.measure_bytes())

    async def wait_for_answer_room(self, size: int) -> None:
        """Wait until the answer may hold further bytes.

        Raises:
            TargetTimeoutError: If there is no room in time.
        """
        self.holding.kind = HoldingKind.ANSWER
        await self.gate.wait_for_answer_room(self.holding, size)

    def measure_bytes(self) -> int:
        """Return what the connection makes the node hold."""
        return (
            CONNECTION_BYTES
            + self.body_bytes
            + self.responder.pending_bytes
            + self.writer.transport.get_write_buffer_size()
        )

    def count_progress_bytes(self) -> int:
        """Return the number of bytes that the client has sent and taken."""
        written_bytes = self.finished_bytes + self.responder.written_bytes
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        return self.reader.received_bytes + written_bytes - unsent_bytes

    def has_claim(self) -> bool:
        """Whether a request was read whole, and its client does not keep it waiting.

        Its answer is delivered. A client that leaves an answer unread has no claim.
        """
        return (
            self.has_unanswered_request()
            and not self.writer.transport.get_write_buffer_size()
        )

    def has_left(self) -> bool:
        """Whether the client has closed the connection, also while reading pauses."""
        return self.reader.has_ended or has_peer_closed(self.writer)

    def abort(self) -> None:
        """Close the connection at once; what was not sent is lost."""
        self.writer.transport.abort()
        self.cancel()
