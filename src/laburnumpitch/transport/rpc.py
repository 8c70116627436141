"""RPC between processes over ZeroMQ ROUTER and DEALER sockets.

A request, notification or answer is three frames: request identifier, kind and message.
Messages may be lost or late, so every request has a timeout and every handler is
idempotent.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import zmq
import zmq.asyncio

from .._tasks import start_loop, start_task
from ..errors import (
    CodecError,
    InternalError,
    LaburnumpitchError,
    RpcTimeoutError,
    get_error_classes,
)
from ..logging import get_logger
from ._client_pool import ClientPool
from .codec import MAX_MESSAGE_BYTES, Message, decode, encode

HEARTBEAT_INTERVAL_MS = 500
"""Interval of ZeroMQ's heartbeats, which detect connections that broke unnoticed."""

HEARTBEAT_TIMEOUT_MS = 1500
"""Time without data after which ZeroMQ closes a connection and reconnects."""

CONNECT_TIMEOUT_MS = 600
"""Timeout of connecting, needed since a host that is down does not answer at all."""

RECONNECT_INTERVAL_MS = 50
"""First pause before reconnecting; grows up to `RECONNECT_INTERVAL_MAX_MS`."""

RECONNECT_INTERVAL_MAX_MS = 500
"""Longest pause before reconnecting."""

MAX_QUEUED_MESSAGES = 1000
"""Maximum number of messages queued on a connection; further ones are dropped."""

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


def configure_socket(socket: zmq.asyncio.Socket) -> None:
    """Set the socket options that clients and servers share."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)


def make_exception(answer: ErrorAnswer) -> LaburnumpitchError:
    """Return the exception that an error answer describes."""
    error_class = get_error_classes().get(answer.code, InternalError)
    error = error_class(answer.detail)
    error.retry_after_s = answer.retry_after_s
    return error


class RpcServer:
    """Answers requests on one address.

    Args:
        context: ZeroMQ context of the process.
        host: Address to bind.
        port: TCP port to bind; 0 picks a free one.
    """

    def __init__(self, context: zmq.asyncio.Context, host: str, port: int) -> None:
        self.context = context
        self.host = host
        self.port = port
        self.handlers: dict[type, Handler] = {}
        self.handler_tasks: set[asyncio.Task[None]] = set()
        self.receive_task: asyncio.Task[None] | None = None
        self.log = get_logger()

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    async def start(self) -> None:
        """Bind the socket and answer requests."""
        self.socket = self.context.socket(zmq.ROUTER)
        configure_socket(self.socket)
        if self.port:
            self.socket.bind(f"tcp://{self.host}:{self.port}")
        else:
            self.port = self.socket.bind_to_random_port(f"tcp://{self.host}")
        self.receive_task = start_loop("rpc_server", self.receive_requests)

    async def close(self) -> None:
        """Stop answering and release the address."""
        if self.receive_task is not None:
            self.receive_task.cancel()
        for task in list(self.handler_tasks):
            task.cancel()
        self.socket.close()

    async def receive_requests(self) -> None:
        """Handle each request in a separate task."""
        while True:
            frames = await self.socket.recv_multipart()
            if len(frames) != 4:
                continue
            peer, request_id, kind, data = frames
            TRAFFIC.received_bytes += len(data)
            task = start_task(
                "rpc_handler", self.handle_request(peer, request_id, kind, data)
            )
            self.handler_tasks.add(task)
            task.add_done_callback(self.handler_tasks.discard)

    async def handle_request(
        self, peer: bytes, request_id: bytes, kind: bytes, data: bytes
    ) -> None:
        """Call the handler of a request and send its answer."""
        request_name = ""
        try:
            request = decode(data)
            request_name = type(request).__name__
            handler = self.handlers.get(type(request))
            if handler is None:
                raise CodecError(f"no handler for {request_name}")
            answer = await handler(request)
        except LaburnumpitchError as error:
            answer = ErrorAnswer(error.code, error.detail, error.retry_after_s)
        except Exception as error:
            self.log.exception("rpc_handler_failed")
            answer = ErrorAnswer(InternalError.code, repr(error))
        if kind == NOTIFICATION_KIND:
            return
        payload = self.encode_answer(request_name, answer)
        TRAFFIC.sent_bytes += len(payload)
        TRAFFIC.sent_messages += 1
        try:
            await self.socket.send_multipart(
                [peer, request_id, ANSWER_KIND, payload], zmq.DONTWAIT
            )
        except zmq.ZMQError:
            self.log.info("rpc_answer_dropped", request=type(answer).__name__)

    def encode_answer(self, request_name: str, answer: Any) -> bytes:
        """Encode an answer, or the error that it cannot be encoded."""
        try:
            return encode(answer if answer is not None else Done())
        except CodecError as error:
            self.log.exception("rpc_answer_invalid", request=request_name)
            return encode(ErrorAnswer(error.code, error.detail))


class RpcClient:
    """Sends requests to one address.

    Args:
        context: ZeroMQ context of the process.
        address: `host:port` of the server.
    """

    def __init__(self, context: zmq.asyncio.Context, address: str) -> None:
        self.address = address
        self.socket = context.socket(zmq.DEALER)
        configure_socket(self.socket)
        self.socket.connect(f"tcp://{address}")
        self.request_numbers = itertools.count(1)
        self.pending_requests: dict[bytes, asyncio.Future[Any]] = {}
        self.receive_task = start_loop("rpc_client", self.receive_answers)

    def close(self) -> None:
        """Fail the pending requests and close the connection."""
        self.receive_task.cancel()
        for future in self.pending_requests.values():
            if not future.done():
                future.set_exception(RpcTimeoutError("connection closed"))
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
        request_id = next(self.request_numbers).to_bytes(8, "big")
        future = asyncio.get_running_loop().create_future()
        self.pending_requests[request_id] = future
        try:
            self.send(request_id, REQUEST_KIND, request)
            # asyncio.wait_for would lose a cancellation that arrives together with
            # the result.
            async with asyncio.timeout(timeout_s):
                answer = await future
        except asyncio.TimeoutError as error:
            name = type(request).__name__
            raise RpcTimeoutError(f"no answer to {name} by {self.address}") from error
        finally:
            self.pending_requests.pop(request_id, None)
        if isinstance(answer, ErrorAnswer):
            raise make_exception(answer)
        return answer

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
        TRAFFIC.sent_bytes += len(payload)
        TRAFFIC.sent_messages += 1
        # The asyncio socket also checks for received messages after a send; with the
        # plain socket they would stay unnoticed until the next one arrives.
        sent = self.socket.send_multipart([request_id, kind, payload], zmq.DONTWAIT)
        if not sent.done():
            sent.cancel()
            raise RpcTimeoutError(f"send queue to {self.address} is full")
        error = sent.exception()
        if error is not None:
            raise RpcTimeoutError(f"send queue to {self.address} is full") from error

    async def receive_answers(self) -> None:
        """Pass each answer to the request with its identifier."""
        while True:
            frames = await self.socket.recv_multipart()
            if len(frames) != 3:
                continue
            TRAFFIC.received_bytes += len(frames[2])
            future = self.pending_requests.get(frames[0])
            if future is None or future.done():
                continue
            try:
                future.set_result(decode(frames[2]))
            except CodecError as error:
                future.set_exception(error)


class RpcPool(ClientPool[RpcClient]):
    """Holds one RPC client for each address.

    Args:
        context: ZeroMQ context of the process.
    """

    def __init__(self, context: zmq.asyncio.Context) -> None:
        super().__init__(lambda address: RpcClient(context, address))
