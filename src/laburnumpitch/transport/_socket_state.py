"""What a connection's socket has received."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios


def has_unread_data(writer: asyncio.StreamWriter) -> bool:
    """Whether a connection's socket has received data that was not read yet."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket"), select.POLLIN)
    return bool(poll.poll(0))


def count_unread_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the number of bytes that a connection's socket holds unread."""
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return 0
    packed = fcntl.ioctl(descriptor, termios.FIONREAD, struct.pack("i", 0))
    return struct.unpack("i", packed)[0]
