"""Two of three seeds are lost for good at the first start, where two losses are borne.

Five machines with a disk, `fault_tolerance` machines = 2, as on the grown site of
stilepath-walks; so it is no case of a small deployment. Exit codes as of `run.sh`.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from lab import CannotRunError, Lab, run  # noqa: E402

LOSS_S = 1.0
"""Time from the start of the processes to the loss."""

WAIT_S = 75.0
CONFIGURATION = {
    "routes": [
        {
            "name": "r",
            "host": "nylo40.example",
            "path_prefix": "/r/",
            "route_type": "idempotent",
            "timeout_ms": 2000,
            "service": "pedidos",
            "anonymous": True,
        }
    ],
    "services": [{"name": "pedidos", "health_path": "/healthz"}],
}


async def main() -> bool:
    """Return whether a configuration is acknowledged by the machines that are left."""
    lab = Lab(HERE, node_count=7, disk_count=5, tolerated_losses=2)
    nodes = lab.nodes
    try:
        for node in nodes:
            node.start(is_bootstrap=True)
        await asyncio.sleep(LOSS_S)
        if lab.is_trouble:
            for node in nodes[:2]:
                node.kill()
            lab.nodes = nodes[2:]
        try:
            async with asyncio.timeout(WAIT_S):
                await lab.put(CONFIGURATION)
        except (TimeoutError, CannotRunError):
            return False
        return True
    finally:
        lab.nodes = nodes
        lab.close()


run(main)
