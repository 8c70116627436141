"""Announces a stand-in to the entry VMs, as a target does."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import replace

import msgspec

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.membership.messages import LEAVING, TargetInfo, TargetLoad
from laburnumpitch.transport.http_client import HttpClientPool

ANNOUNCE_TIMEOUT_S = 1.0


class Announcer:
    """Repeats a target's announcement to one entry after the other.

    Args:
        target: The target.
        get_load: Returns the load as it is now.
        entries: `host:port` of the entry VMs.
        key: Key that the system asks of targets.
        interval_s: Interval of announcements; the report's lag.
    """

    def __init__(
        self,
        target: TargetInfo,
        get_load: Callable[[], TargetLoad],
        entries: list[str],
        key: str,
        interval_s: float,
    ) -> None:
        self.target = target
        self.get_load = get_load
        self.entry_cycle = itertools.cycle(random.sample(entries, len(entries)))
        self.entry_count = len(entries)
        self.headers = [
            ("content-type", "application/json"),
            ("authorization", f"Bearer {key}"),
        ]
        self.interval_s = interval_s
        self.sequence = 0
        self.http = HttpClientPool()

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(self.interval_s)

    async def announce(self) -> None:
        """Announce once, to the first entry that answers."""
        self.sequence += 1
        load = replace(self.get_load(), sequence=self.sequence)
        body = msgspec.json.encode({"target": self.target, "load": load})
        for _ in range(self.entry_count):
            client = self.http.get(next(self.entry_cycle))
            try:
                answer = await client.request(
                    "POST",
                    "/targets/announce",
                    self.headers,
                    body,
                    first_byte_timeout_s=ANNOUNCE_TIMEOUT_S,
                )
                await answer.read()
                if answer.status == 200:
                    return
            except LaburnumpitchError:
                continue

    async def announce_leaving(self) -> None:
        """Announce that the target leaves, and go on announcing it."""
        self.target = replace(self.target, state=LEAVING)
        await self.announce()


def get_incarnation() -> int:
    """Return a number that grows with each start."""
    return time.time_ns() // 1_000_000
