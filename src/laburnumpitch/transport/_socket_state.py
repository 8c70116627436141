"""What a connection's socket has received."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios


def count_unread_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the number of bytes that a connection's socket holds unread."""
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return 0
    packed = fcntl.ioctl(descriptor, termios.FIONREAD, struct.pack("i", 0))
    return struct.unpack("i", packed)[0]
