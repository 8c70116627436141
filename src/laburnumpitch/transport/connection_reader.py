"""Receives a client's data, and counts what has not been read."""

from __future__ import annotations

import asyncio
import time

CHUNK_BYTES = 65536
"""Maximum number of bytes in one read."""


class ConnectionReader(asyncio.StreamReader):
    """Stream of the data that a connection's socket has received.

    Only `read` keeps the count of unread bytes; the other ways to read don't.
    """

    def __init__(self) -> None:
        super().__init__(limit=CHUNK_BYTES, loop=asyncio.get_running_loop())
        self.unread_bytes = 0
        """Bytes that were read from the socket, and not from this stream."""
        self.last_received_s = time.monotonic()
        """Monotonic time at which data arrived last, or the connection opened."""

    def feed_data(self, data: bytes) -> None:
        """Add data that was read from the socket."""
        self.unread_bytes += len(data)
        self.last_received_s = time.monotonic()
        super().feed_data(data)

    async def read(self, n: int = CHUNK_BYTES) -> bytes:
        """Return data once there is some; an empty string at the end."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data
