"""HTTP server on h11 with limits on connections, headers, bodies and times."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import h11

from ..errors import NOT_RUN, InternalError, TooLargeError
from ..logging import get_logger
from .client_gate import ClientGate
from .connection_log import ConnectionLog
from .connection_reader import ConnectionReader, ServerProtocol
from .http_request import Headers, HttpRequest
from .responder import Responder
from .server_connection import ServerConnection
from .server_limits import ServerLimits

__all__ = ["Headers", "HttpRequest", "HttpServer", "RequestHandler", "Responder"]

CLOSE_FLUSH_TIMEOUT_S = 0.25
"""Timeout of sending what was written as the server closes; the process may be killed
soon after."""

HEAD_METHOD = "HEAD"

RequestHandler = Callable[[HttpRequest, Responder], Awaitable[None]]


def forget_frames(error: BaseException | None) -> None:
    """Remove the tracebacks of an error and of those that it followed.

    They refer to frames with all that was read and written on a connection, and the
    frames to the error. Garbage collections are rare, and would free them much later.
    """
    while error is not None:
        previous = error.__context__
        error.__traceback__ = error.__context__ = error.__cause__ = None
        error = previous


class HttpServer:
    """Accepts connections and calls a handler for each request.

    A handler is cancelled when its client disconnects.

    Args:
        host: Address to bind.
        port: TCP port to bind; 0 picks a free one.
        handler: Answers a request; must finish the answer or raise.
        limits: Limits on clients.
        gate: The budget that the servers of a process share; its own if None.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: RequestHandler,
        limits: ServerLimits | None = None,
        gate: ClientGate | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.gate = gate or ClientGate()
        self.is_draining = False
        self.active_requests = 0
        """Number of requests in progress."""
        self.connection_tasks: set[asyncio.Task[None]] = set()
        self.connections: set[ServerConnection] = set()
        self.log = get_logger()
        self.connection_log = ConnectionLog()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind the address and accept connections."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.make_protocol, self.host, self.port, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def set_limits(self, limits: ServerLimits) -> None:
        """Change the limits on clients, also for the connections that are open."""
        self.limits = limits
        for connection in self.connections:
            connection.raise_limits(limits)

    def make_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return the protocol of a new connection."""
        return ServerProtocol(self.on_connection, self.gate.budget.get_window_bytes)

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
        for connection in self.connections:
            if connection.is_idle():
                connection.writer.close()
        # The closed connections end in the next pass of the event loop.
        await asyncio.sleep(0)

    async def close(self) -> None:
        """Stop accepting and close every connection.

        What was written is sent first, for at most `CLOSE_FLUSH_TIMEOUT_S`.
        """
        self.stop_accepting()
        for connection in self.connections:
            connection.cancel()
        tasks = list(self.connection_tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_FLUSH_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def on_connection(
        self, reader: ConnectionReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None
        if not self.gate.may_accept(len(self.connection_tasks)):
            self.gate.record_refused("connections")
            writer.transport.abort()
            return
        self.connection_tasks.add(task)
        connection = ServerConnection(
            reader, writer, lambda: self.limits, self.connection_log, self.gate
        )
        self.connections.add(connection)
        end: BaseException | None = None
        try:
            await self.serve_connection(connection)
        except (
            ConnectionError,
            asyncio.TimeoutError,
            asyncio.CancelledError,
            h11.ProtocolError,
        ) as error:
            end = error
        except Exception as error:
            end = error
            self.log.exception("connection_failed")
        try:
            await connection.close(end)
        except asyncio.CancelledError:
            # asyncio asks the task for its error, which a cancelled one does not have.
            self.log.debug("connection_cut")
        finally:
            forget_frames(end)
            forget_frames(reader.exception())
            connection.release()
            self.connection_tasks.discard(task)
            self.connections.discard(connection)

    async def serve_connection(self, connection: ServerConnection) -> None:
        """Answer the requests of one connection, one after another."""
        while True:
            responder = connection.responder
            try:
                request = await connection.read_request()
            except TooLargeError as error:
                self.gate.record_refused(error.code)
                await self.reject(connection, error.status, error.code)
                return
            except h11.RemoteProtocolError as error:
                if not connection.reader.has_ended:
                    self.gate.record_refused("malformed")
                await self.reject(connection, error.error_status_hint, "malformed")
                return
            except asyncio.TimeoutError:
                connection.record_timeout()
                if connection.has_partial_request():
                    await self.reject(connection, 408, "too_slow")
                return
            if request is None:
                return
            responder.must_close = self.is_draining
            responder.is_head = request.method == HEAD_METHOD
            self.active_requests += 1
            try:
                await self.run_handler(request, responder, connection)
            finally:
                self.active_requests -= 1
            del request
            if not responder.has_finished:
                return
            connection.hold_body(0)
            # The next request is not answered while this one's answer is not taken.
            await responder.wait_sent()
            if not connection.prepare_next_request():
                return

    async def reject(
        self,
        connection: ServerConnection,
        status: int,
        code: str,
        run: str = NOT_RUN,
    ) -> None:
        """Answer a request that could not be read or has failed, and close."""
        connection.must_linger = True
        if connection.h11_connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = f'{{"error":{{"code":"{code}","run":"{run}"}}}}'.encode()
            headers = [("content-type", "application/json"), ("connection", "close")]
            await connection.responder.send(status, headers, body)

    async def run_handler(
        self, request: HttpRequest, responder: Responder, connection: ServerConnection
    ) -> None:
        """Run the handler, and cancel it if the client disconnects."""
        handler_task = asyncio.ensure_future(self.handler(request, responder))
        connection.watch_end(handler_task)
        try:
            await handler_task
        except asyncio.CancelledError:
            handler_task.cancel()
            await asyncio.gather(handler_task, return_exceptions=True)
            raise
        except Exception:
            if responder.has_started:
                raise
            self.log.exception("handler_failed", path=request.path)
            failure = InternalError()
            await self.reject(connection, failure.status, failure.code, failure.run)
        finally:
            connection.unwatch_end()
            # The task keeps its error, and the error's traceback this frame.
            del handler_task
