"""Clients outside the limits beside the ordinary ones of a soak."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

from ..hostile_clients import FLOODS, Flood, FloodRun
from .fault_injector import SoakFaultInjector

FLOOD_INTERVAL_S = 4.0
"""Longest pause between two floods."""

MAX_FLOOD_S = 1.0
MAX_FLOOD_BYTES = 32 * 1024 * 1024
MAX_CONNECTIONS = 20

SHARED_ADDRESSES = ("clients", "readiness", "control")
"""Addresses whose clients are not under control."""

NAMES = sorted(
    name
    for name, flood in FLOODS.items()
    # Announcements that are valid would be targets of the fleet.
    if flood.address in SHARED_ADDRESSES and name != "announcements_of_many_targets"
)


def make_short(flood: Flood) -> Flood:
    """Return a flood that is small enough to leave the machine to the others."""
    return replace(
        flood,
        connections=min(flood.connections, MAX_CONNECTIONS),
        max_bytes=MAX_FLOOD_BYTES,
        max_s=MAX_FLOOD_S,
        max_reopened=MAX_CONNECTIONS,
    )


class SoakFloods:
    """Floods one node after another, and records how much memory the nodes had.

    Args:
        injector: Injects the faults, among which a flood counts: it slows its node.
    """

    def __init__(self, injector: SoakFaultInjector) -> None:
        self.injector = injector
        self.random = injector.random
        self.count = 0
        """Number of floods so far."""
        self.peak_memory_bytes: dict[str, int] = {}
        """Largest resident memory of a process, by node."""

    async def run(self, duration_s: float) -> None:
        """Flood nodes at random times; no flood begins after `duration_s`."""
        end_s = time.monotonic() + duration_s
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.0) * FLOOD_INTERVAL_S)
            self.measure()
            if time.monotonic() > end_s:
                return
            await self.flood(self.random.choice(self.injector.fleet.hosts))

    async def flood(self, host: str) -> None:
        """Flood one address of a node."""
        fleet = self.injector.fleet
        name = self.random.choice(NAMES)
        flood = make_short(FLOODS[name])
        ports = (fleet.client_port, fleet.ready_port, fleet.control_port)
        port = dict(zip(SHARED_ADDRESSES, ports, strict=True))[flood.address]
        self.count += 1
        self.injector.record_event(f"flood {name}", host)
        run = FloodRun(flood, (host, port))
        try:
            await asyncio.to_thread(run.run)
        finally:
            run.close()
            if host in fleet.nodes:
                self.injector.record_event("flood ends", host)

    def measure(self) -> None:
        """Record the peak of each running process."""
        for host, node in list(self.injector.fleet.nodes.items()):
            peak_bytes = node.get_peak_rss_bytes()
            self.peak_memory_bytes[host] = max(
                peak_bytes, self.peak_memory_bytes.get(host, 0)
            )
