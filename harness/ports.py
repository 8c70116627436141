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

    guard: socket.socket
    """Listens on the block's first port."""
    first: int
    next: int

    @property
    def end(self) -> int:
        """The port behind the block's last one."""
        return self.first + BLOCK_PORTS


_blocks: list[PortBlock] = []
_lent: set[int] = set()


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
        first = FIRST_PORT + (os.getpid() + attempt) % BLOCKS * BLOCK_PORTS
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        return PortBlock(guard, first, first + 1)
    raise RuntimeError("every block of ports is taken")


def take_port() -> int:
    """Return a port that nothing listens on; it is lent until `return_ports`."""
    for block in _blocks:
        for _ in range(BLOCK_PORTS - 1):
            port = block.next
            is_last = port + 1 == block.end
            block.next = block.first + 1 if is_last else port + 1
            if port not in _lent and is_free(port):
                _lent.add(port)
                return port
    _blocks.append(claim_block())
    return take_port()


def return_ports(ports: Iterable[int]) -> None:
    """Give ports back whose processes have ended."""
    _lent.difference_update(ports)
