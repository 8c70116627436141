"""A ZeroMQ socket on the event loop, without the library's asyncio layer.

That layer makes a future and several passes of the event loop for each message; here a
message that is received is handed on in the pass in which it was noticed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import zmq

from .._tasks import contain_errors

MAX_MESSAGES_PER_PASS = 32
"""Messages that are handed on without giving other tasks a turn."""


class MessageSocket:
    """Sends messages without waiting, and hands on the ones that it receives.

    Args:
        context: ZeroMQ context of the process.
        socket_type: ZeroMQ type of the socket.
        name: Name under which unexpected errors of `on_message` are recorded.
        on_message: Called with the frames of each received message; must not block.
    """

    def __init__(
        self,
        context: zmq.Context,
        socket_type: int,
        name: str,
        on_message: Callable[[list[bytes]], None],
    ) -> None:
        self.socket = zmq.Socket(context, socket_type)
        self.name = name
        self.on_message = on_message
        self.loop = asyncio.get_running_loop()
        self.is_receive_scheduled = False
        self.is_closed = False

    def start(self) -> None:
        """Receive messages; the socket must be bound or connecting."""
        self.loop.add_reader(self.socket.FD, self.receive_available)
        # The descriptor signals changes only, and one may have come already.
        self.schedule_receive()

    def close(self) -> None:
        """Close the socket; messages that are not sent yet are dropped."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.remove_reader(self.socket.FD)
        self.socket.close()

    def send(self, frames: list[bytes]) -> None:
        """Queue a message for sending.

        Raises:
            ZMQError: If the queue is full or the socket is closed.
        """
        self.socket.send_multipart(frames, zmq.DONTWAIT)
        # Sending may have taken the signal that a message has arrived.
        if self.socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self.schedule_receive()

    def schedule_receive(self) -> None:
        """Receive in the next pass of the event loop."""
        if not self.is_receive_scheduled:
            self.is_receive_scheduled = True
            self.loop.call_soon(self.receive_scheduled)

    def receive_scheduled(self) -> None:
        """Receive in the pass for which that was scheduled."""
        self.is_receive_scheduled = False
        self.receive_available()

    def receive(self) -> list[bytes]:
        """Return the frames of the next message.

        Raises:
            ZMQError: If none has arrived.
        """
        return self.socket.recv_multipart(zmq.DONTWAIT)

    def receive_available(self) -> None:
        """Hand on the messages that have arrived."""
        for _ in range(MAX_MESSAGES_PER_PASS):
            if self.is_closed:
                return
            with contain_errors(self.name):
                try:
                    frames = self.receive()
                except zmq.ZMQError:
                    return
                self.on_message(frames)
        self.schedule_receive()
