"""Free TCP ports below the range that the kernel hands out by itself.

Each process of the harness claims a block of ports for as long as it lives, by
listening on the block's first one, so that runs side by side never share a port.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable
from dataclasses import dataclass

FIRST_PORT = 15000
BLOCK_PORTS = 200
BLOCKS = 80


@dataclass
class PortBlock:
    """The ports that this process has claimed."""

    lock_socket: socket.socket
    """Listens on the block's first port."""
    first_port: int
    next_port: int

    @property
    def end(self) -> int:
        """The port behind the block's last one."""
        return self.first_port + BLOCK_PORTS


_claimed_blocks: list[PortBlock] = []
_reserved_ports: set[int] = set()


def is_free(port: int) -> bool:
    """Whether a program could listen on a port, bound as the programs bind."""
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
        RuntimeError: If all blocks are taken.
    """
    for attempt in range(BLOCKS):
        first_port = FIRST_PORT + (os.getpid() + attempt) % BLOCKS * BLOCK_PORTS
        lock_socket = socket.socket()
        try:
            lock_socket.bind(("127.0.0.1", first_port))
            lock_socket.listen(1)
        except OSError:
            lock_socket.close()
            continue
        return PortBlock(lock_socket, first_port, first_port + 1)
    raise RuntimeError("every block of ports is taken")


def reserve_port() -> int:
    """Return a port that nothing listens on; it is lent until `return_ports`."""
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
    """Give ports back whose processes have ended."""
    _reserved_ports.difference_update(ports)
