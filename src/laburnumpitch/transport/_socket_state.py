"""What a connection's socket has received."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios


def count_unread_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the number of bytes that a connection's socket holds unread.

    It is 1 at least if the socket can be read, as it can at the end of the data and on
    systems that do not tell the number.
    """
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return 0
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    if not poll.poll(0):
        return 0
    packed = fcntl.ioctl(descriptor, termios.FIONREAD, struct.pack("i", 0))
    return max(1, struct.unpack("i", packed)[0])
