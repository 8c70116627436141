"""The state of a connection's socket: what it has received, and how it closes."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
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


def has_peer_closed(writer: asyncio.StreamWriter) -> bool:
    """Whether the other end has closed a connection, whose data may still be unread."""
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def set_reset_on_close(writer: asyncio.StreamWriter, is_enabled: bool) -> None:
    """Set whether closing a connection resets it, which its other end then notices.

    Without effect on a connection that is being closed.
    """
    if writer.is_closing():
        return
    linger = struct.pack("ii", int(is_enabled), 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
