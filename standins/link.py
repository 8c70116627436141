"""A limited link that all transfers of one store share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

CHUNK_BYTES = 16 * 1024


class Link:
    """Lets transfers through at a rate, turn by turn.

    Args:
        bytes_per_s: Rate of the link.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.lock = asyncio.Lock()
        self.transferred_bytes = 0
        self.busy_s = 0.0

    async def transfer(self, data: bytes) -> AsyncIterator[bytes]:
        """Yield data as the link lets them through."""
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            async with self.lock:
                duration_s = len(chunk) / self.bytes_per_s
                await asyncio.sleep(duration_s)
                self.busy_s += duration_s
                self.transferred_bytes += len(chunk)
            yield chunk
