"""A network link of limited bandwidth, shared by all transfers of a store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

CHUNK_BYTES = 16 * 1024
"""Bytes that one transfer sends before another one gets the link."""


class Link:
    """Limits the rate of transfers; concurrent ones alternate chunk by chunk.

    Args:
        bytes_per_s: Bandwidth of the link.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.lock = asyncio.Lock()
        self.transferred_bytes = 0
        self.busy_s = 0.0

    async def transfer(self, data: bytes) -> AsyncIterator[bytes]:
        """Yield data in chunks, at the rate of the link."""
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            async with self.lock:
                duration_s = len(chunk) / self.bytes_per_s
                await asyncio.sleep(duration_s)
                self.busy_s += duration_s
                self.transferred_bytes += len(chunk)
            yield chunk
