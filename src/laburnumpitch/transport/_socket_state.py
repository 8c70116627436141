"""What a connection's socket has received."""

from __future__ import annotations

import asyncio
import select


def has_unread_data(writer: asyncio.StreamWriter) -> bool:
    """Whether a connection's socket has received data that was not read yet."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket"), select.POLLIN)
    return bool(poll.poll(0))
