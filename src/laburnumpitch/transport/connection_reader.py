"""Receives a client's data, and counts what has not been read."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable

CHUNK_BYTES = 65536
"""Maximum number of bytes in one read."""

PAUSE_BYTES = 16 * 1024
"""Receiving pauses while more than twice this is unread."""


class ReceiveBuffer(threading.local):
    """Buffer that all sockets of a thread's event loop are read into.

    What was received is copied out of it before another socket is read. A new buffer
    for each read, as asyncio makes, would be as large as the largest one. Event loops
    of several threads need one each, or a read of one overwrites what another received.
    """

    def __init__(self) -> None:
        self.view = memoryview(bytearray(CHUNK_BYTES))


_receive_buffer = ReceiveBuffer()


def get_receive_buffer(max_bytes: int) -> memoryview:
    """Return a buffer for one read from a socket."""
    return _receive_buffer.view[:max_bytes]


class ConnectionReader(asyncio.StreamReader):
    """Stream of the data that a connection's socket has received.

    Only `read` keeps the count of unread bytes; the other ways to read don't.
    """

    def __init__(self) -> None:
        super().__init__(limit=PAUSE_BYTES, loop=asyncio.get_running_loop())
        self.unread_bytes = 0
        """Bytes that were read from the socket, and not from this stream."""
        self.received_bytes = 0
        """Bytes that were read from the socket so far."""
        self.last_received_s = time.monotonic()
        """Monotonic time at which data arrived last, or the connection opened."""
        self.has_ended = False
        """Whether the client has closed the connection, or it is lost."""
        self.on_end: Callable[[], None] = lambda: None
        """Called at the end of the connection, also while data are unread."""

    def feed_data(self, data: bytes | memoryview) -> None:
        """Add data that was read from the socket."""
        self.unread_bytes += len(data)
        self.received_bytes += len(data)
        self.last_received_s = time.monotonic()
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Record that the client sends nothing more."""
        super().feed_eof()
        self.record_end()

    def set_exception(self, exc: BaseException) -> None:
        """Record that the connection is lost."""
        super().set_exception(exc)
        self.record_end()

    def record_end(self) -> None:
        """Record the end, and report it once."""
        if not self.has_ended:
            self.has_ended = True
            self.on_end()

    async def read(self, n: int = CHUNK_BYTES) -> bytes:
        """Return data once there is some; an empty string at the end."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


class ServerProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Protocol of a client's connection, which receives into the shared buffer.

    Args:
        on_connection: Serves the connection.
        get_window_bytes: Returns the maximum number of bytes of one read.
    """

    def __init__(
        self,
        on_connection: Callable[..., object],
        get_window_bytes: Callable[[], int],
    ) -> None:
        super().__init__(ConnectionReader(), on_connection)
        self.get_window_bytes = get_window_bytes

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return get_receive_buffer(self.get_window_bytes())

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was received out of the buffer."""
        self.data_received(get_receive_buffer(nbytes))
