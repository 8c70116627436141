"""Kills all nodes of a soak at once, while clients are about to take streams up."""

from __future__ import annotations

import asyncio
import time

from .fault_injector import CATCH_UP_S, POLL_INTERVAL_S, RELEASE, SoakFaultInjector

OUTAGE_INTERVAL_S = 10.0
"""Longest time from the end of an outage to the next one, and before the first one."""

NEW_BUILD_S = 2.0
"""Time from the start of a new build's target until streams have begun on it."""

MAX_DOWN_S = 1.0
"""Longest time from the kill of all nodes to their start."""


class NodeOutages:
    """Kills and restarts all nodes while two builds serve, or after the old one left.

    Args:
        injector: Injects the other faults; none into nodes begins during an outage.
    """

    def __init__(self, injector: SoakFaultInjector) -> None:
        self.injector = injector
        self.random = injector.random

    async def run(self, duration_s: float) -> None:
        """Cause outages at random times; none begins after `duration_s`."""
        end_s = time.monotonic() + duration_s
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.0) * OUTAGE_INTERVAL_S)
            if time.monotonic() > end_s:
                return
            await self.cause_outage()

    async def cause_outage(self) -> None:
        """Wait until no node is under a fault, then kill all nodes and restart them."""
        injector = self.injector
        injector.is_outage_pending = True
        await injector.wait_and_reserve(RELEASE)
        if not injector.releases.list_old_engines():
            await injector.begin_release()
            await asyncio.sleep(NEW_BUILD_S)
        while injector.affected & set(injector.fleet.hosts):
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.random.random() < 0.5:
            old_engines = injector.releases.list_old_engines()
            await asyncio.gather(*(injector.retire_target(t) for t in old_engines))
        async with injector.disk_nodes_lock:
            await self.restart_all_nodes()
            await asyncio.sleep(CATCH_UP_S)
        injector.is_outage_pending = False
        await injector.restore_spares()
        injector.affected.discard(RELEASE)

    async def restart_all_nodes(self) -> None:
        """Kill all nodes at once, and start them again."""
        self.injector.outages += 1
        fleet = self.injector.fleet
        for host in fleet.hosts:
            self.injector.record_event("kill all", host)
        await asyncio.gather(
            *(asyncio.to_thread(fleet.kill, host) for host in fleet.hosts)
        )
        await asyncio.sleep(self.random.uniform(0.0, MAX_DOWN_S))
        for host in fleet.hosts:
            fleet.restart(host)
            self.injector.record_event("restart", host)
