"""Reserves free TCP ports below the kernel's ephemeral range.

Each process of the harness claims blocks of ports until it ends, by listening on
a block's first port, so that concurrent runs never share a port.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable
from dataclasses import dataclass

FIRST_PORT = 15000
BLOCK_PORTS = 200
"""Number of ports in a block, its first one included."""

BLOCK_COUNT = 80
"""Number of blocks; the last port, 30999, is below the ephemeral range."""


@dataclass
class PortBlock:
    """A range of ports that this process has claimed."""

    lock_socket: socket.socket
    """Listens on the block's first port, which claims the block."""
    first_port: int
    next_port: int

    @property
    def end(self) -> int:
        """The port after the block's last one."""
        return self.first_port + BLOCK_PORTS


_claimed_blocks: list[PortBlock] = []
_reserved_ports: set[int] = set()


def is_free(port: int) -> bool:
    """Whether a program could listen on a port.

    The probe sets SO_REUSEADDR, as the programs do.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def claim_block() -> PortBlock:
    """Claim a block of ports that no other process has.

    Raises:
        RuntimeError: If all blocks are claimed.
    """
    for attempt in range(BLOCK_COUNT):
        first_port = FIRST_PORT + (os.getpid() + attempt) % BLOCK_COUNT * BLOCK_PORTS
        lock_socket = socket.socket()
        try:
            lock_socket.bind(("127.0.0.1", first_port))
            lock_socket.listen(1)
        except OSError:
            lock_socket.close()
            continue
        return PortBlock(lock_socket, first_port, first_port + 1)
    raise RuntimeError("all blocks of ports are claimed")


def reserve_port() -> int:
    """Reserve a port that nothing listens on, until `release_ports`."""
    for block in _claimed_blocks:
        for _ in range(BLOCK_PORTS - 1):
            port = block.next_port
            is_last = port + 1 == block.end
            block.next_port = block.first_port + 1 if is_last else port + 1
            if port not in _reserved_ports and is_free(port):
                _reserved_ports.add(port)
                return port
    _claimed_blocks.append(claim_block())
    return reserve_port()


def release_ports(ports: Iterable[int]) -> None:
    """Release ports whose processes have ended."""
    _reserved_ports.difference_update(ports)
