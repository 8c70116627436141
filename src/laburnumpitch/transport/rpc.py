"""RPC between processes over ZeroMQ ROUTER and DEALER sockets.

A request, notification or answer is three frames: request identifier, kind and message.
Messages may be lost or late, so every request has a timeout and every handler is
idempotent.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

import zmq

from .._tasks import start_task
from ..errors import (
    CodecError,
    InternalError,
    LaburnumpitchError,
    RpcTimeoutError,
    get_error_classes,
)
from ..logging import get_logger
from ._client_pool import ClientPool
from ._message_socket import MessageSocket
from ._socket_options import configure_client_socket, configure_socket
from .codec import Message, decode, encode

MAX_IDLE_S = 15.0
"""Time without a message after which a connection to another process is closed."""

REQUEST_KIND = b"q"
"""Kind of a message that has to be answered."""

NOTIFICATION_KIND = b"n"
"""Kind of a message that is not answered."""

ANSWER_KIND = b"a"
"""Kind of the answer to a request."""

Handler = Callable[[Any], Awaitable[Any]]


class ErrorAnswer(Message):
    """Answer that stands for the error that a handler raised."""

    code: str
    detail: str
    retry_after_s: float | None = None


class Done(Message):
    """Answer of a handler that returned nothing."""


@dataclass
class TrafficCounters:
    """Counts of what this process exchanged with other processes of the system."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0


TRAFFIC = TrafficCounters()
"""Traffic of this process: messages only, without TCP and ZeroMQ framing."""


def make_exception(answer: ErrorAnswer) -> LaburnumpitchError:
    """Return the exception that an error answer describes."""
    error_class = get_error_classes().get(answer.code, InternalError)
    error = error_class(answer.detail)
    error.retry_after_s = answer.retry_after_s
    return error


def run_to_end(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never waits, and return its result.

    Raises:
        InternalError: If it waits.
    """
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    coroutine.close()
    raise InternalError(f"{coroutine.__qualname__} waits")


class RpcServer:
    """Answers requests on one address.

    Args:
        context: ZeroMQ context of the process.
        host: Address to bind.
        port: TCP port to bind; 0 picks a free one.
    """

    def __init__(self, context: zmq.Context, host: str, port: int) -> None:
        self.context = context
        self.host = host
        self.port = port
        self.handlers: dict[type, Handler] = {}
        self.direct_types: set[type] = set()
        """Message types whose handlers never wait."""
        self.handler_tasks: set[asyncio.Task[None]] = set()
        self.socket: MessageSocket | None = None
        self.log = get_logger()

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    def on_direct(self, message_type: type, handler: Handler) -> None:
        """Register a handler that never waits, and is run without a task."""
        self.on(message_type, handler)
        self.direct_types.add(message_type)

    async def start(self) -> None:
        """Bind the socket and answer requests."""
        self.socket = MessageSocket(
            self.context, zmq.ROUTER, "rpc_server", self.receive_request
        )
        socket = self.socket.socket
        configure_socket(socket)
        if self.port:
            socket.bind(f"tcp://{self.host}:{self.port}")
        else:
            self.port = socket.bind_to_random_port(f"tcp://{self.host}")
        self.socket.start()

    async def close(self) -> None:
        """Stop answering and release the address."""
        for task in list(self.handler_tasks):
            task.cancel()
        if self.socket is not None:
            self.socket.close()

    def receive_request(self, frames: list[bytes]) -> None:
        """Handle a request, in a task if its handler may wait."""
        if len(frames) != 4:
            return
        peer, request_id, kind, data = frames
        TRAFFIC.received_bytes += len(data)
        send_answer = None
        if kind != NOTIFICATION_KIND:
            send_answer = partial(self.send_answer, peer, request_id)
        try:
            request = decode(data)
        except CodecError as error:
            if send_answer is not None:
                send_answer("", ErrorAnswer(error.code, error.detail))
            return
        handling = self.handle_request(request, send_answer)
        if type(request) in self.direct_types:
            run_to_end(handling)
            return
        task = start_task("rpc_handler", handling)
        self.handler_tasks.add(task)
        task.add_done_callback(self.handler_tasks.discard)

    async def handle_request(
        self, request: Any, send_answer: Callable[[str, Any], None] | None
    ) -> None:
        """Call the handler of a request and send its answer.

        Args:
            request: The request.
            send_answer: Sends the answer to a request of the given name; None for a
                notification.
        """
        request_name = type(request).__name__
        try:
            handler = self.handlers.get(type(request))
            if handler is None:
                raise CodecError(f"no handler for {request_name}")
            answer = await handler(request)
        except LaburnumpitchError as error:
            answer = ErrorAnswer(error.code, error.detail, error.retry_after_s)
        except Exception as error:
            self.log.exception("rpc_handler_failed")
            answer = ErrorAnswer(InternalError.code, repr(error))
        if send_answer is not None:
            send_answer(request_name, answer)

    def send_answer(
        self, peer: bytes, request_id: bytes, request_name: str, answer: Any
    ) -> None:
        """Send an answer; it is dropped if the peer's queue is full."""
        payload = self.encode_answer(request_name, answer)
        TRAFFIC.sent_bytes += len(payload)
        TRAFFIC.sent_messages += 1
        try:
            self.socket.send([peer, request_id, ANSWER_KIND, payload])
        except zmq.ZMQError:
            self.log.info("rpc_answer_dropped", request=request_name)

    def encode_answer(self, request_name: str, answer: Any) -> bytes:
        """Encode an answer, or the error that it cannot be encoded."""
        try:
            return encode(answer if answer is not None else Done())
        except CodecError as error:
            self.log.exception("rpc_answer_invalid", request=request_name)
            return encode(ErrorAnswer(error.code, error.detail))


@dataclass(frozen=True)
class PendingCall:
    """A request that waits for its answer."""

    future: asyncio.Future[Any]
    timer: asyncio.TimerHandle
    """Fails the call at its timeout."""


class RpcClient:
    """Sends requests to one address.

    Args:
        context: ZeroMQ context of the process.
        address: `host:port` of the server.
    """

    def __init__(self, context: zmq.Context, address: str) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.socket = MessageSocket(
            context, zmq.DEALER, "rpc_client", self.receive_answer
        )
        configure_client_socket(self.socket.socket)
        try:
            self.socket.socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            # An open socket would keep the context from ending.
            self.socket.close()
            raise
        self.socket.start()
        self.request_numbers = itertools.count(1)
        self.pending_requests: dict[bytes, PendingCall] = {}
        self.used_s = self.loop.time()
        """Time of the event loop at which a message was sent last."""

    def close(self) -> None:
        """Fail the pending requests and close the connection."""
        for request_id in list(self.pending_requests):
            self.end_call(request_id, RpcTimeoutError("connection closed"))
        self.socket.close()

    async def call(self, request: Any, timeout_s: float) -> Any:
        """Send a request and return its answer.

        Args:
            request: A registered message.
            timeout_s: Seconds to wait for the answer.

        Raises:
            CodecError: If the request cannot be encoded.
            RpcTimeoutError: If no answer arrived in time.
            LaburnumpitchError: The error that the other process answered with.
        """
        return await self.start_call(request, timeout_s)

    def start_call(self, request: Any, timeout_s: float) -> asyncio.Future[Any]:
        """Send a request and return the future of its answer.

        The future fails with the errors of `call`. If it is cancelled, the answer is
        ignored.

        Args:
            request: A registered message.
            timeout_s: Seconds to wait for the answer.

        Raises:
            CodecError: If the request cannot be encoded.
            RpcTimeoutError: If the queue is full.
        """
        request_id = next(self.request_numbers).to_bytes(8, "big")
        self.send(request_id, REQUEST_KIND, request)
        future = self.loop.create_future()
        name = type(request).__name__
        timer = self.loop.call_later(
            timeout_s,
            lambda: self.end_call(
                request_id, RpcTimeoutError(f"no answer to {name} by {self.address}")
            ),
        )
        self.pending_requests[request_id] = PendingCall(future, timer)
        return future

    def end_call(self, request_id: bytes, result: Any) -> None:
        """Set the result of a pending call, which is an error if it is an exception."""
        pending_call = self.pending_requests.pop(request_id, None)
        if pending_call is None:
            return
        pending_call.timer.cancel()
        if pending_call.future.done():
            return
        if isinstance(result, BaseException):
            pending_call.future.set_exception(result)
        else:
            pending_call.future.set_result(result)

    def notify(self, notification: Any) -> None:
        """Send a message that is not answered; it may be lost.

        Raises:
            CodecError: If it cannot be encoded.
        """
        try:
            self.send(b"", NOTIFICATION_KIND, notification)
        except RpcTimeoutError:
            pass

    def send(self, request_id: bytes, kind: bytes, item: Any) -> None:
        """Queue a message for sending.

        Raises:
            CodecError: If the message cannot be encoded.
            RpcTimeoutError: If the queue is full.
        """
        payload = encode(item)
        self.used_s = self.loop.time()
        TRAFFIC.sent_bytes += len(payload)
        TRAFFIC.sent_messages += 1
        try:
            self.socket.send([request_id, kind, payload])
        except zmq.ZMQError as error:
            raise RpcTimeoutError(f"send queue to {self.address} is full") from error

    def receive_answer(self, frames: list[bytes]) -> None:
        """Pass an answer to the request with its identifier."""
        if len(frames) != 3:
            return
        TRAFFIC.received_bytes += len(frames[2])
        if frames[0] not in self.pending_requests:
            return
        try:
            answer = decode(frames[2])
        except CodecError as error:
            answer = error
        if isinstance(answer, ErrorAnswer):
            answer = make_exception(answer)
        self.end_call(frames[0], answer)


class RpcPool(ClientPool[RpcClient]):
    """Holds one RPC client for each address.

    Args:
        context: ZeroMQ context of the process.
    """

    def __init__(self, context: zmq.Context) -> None:
        super().__init__(lambda address: RpcClient(context, address))

    def close_idle(self) -> None:
        """Close the connections that were not used for `MAX_IDLE_S`.

        Each one costs heartbeats, on both ends.
        """
        for address, client in list(self.clients.items()):
            idle_s = client.loop.time() - client.used_s
            if idle_s > MAX_IDLE_S and not client.pending_requests:
                del self.clients[address]
                client.close()
