"""Announces a stand-in target to the entry VMs."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.membership.messages import LEAVING, TargetInfo, TargetLoad
from laburnumpitch.transport.http_client import HttpClientPool

ANNOUNCE_TIMEOUT_S = 1.0
"""Time to the first byte of an entry's answer, after which the next entry is tried."""


class Announcer:
    """Announces a target periodically, to the entries in turn.

    Args:
        target: The target.
        get_load: Returns the target's current load.
        entries: `host:port` of the entry VMs.
        key: Key that authenticates targets to the entries.
        interval_s: Time between announcements, by which load reports lag.
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
        """Announce the target at each interval until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(self.interval_s)

    async def announce(self) -> None:
        """Send one announcement, trying the entries in turn until one accepts it."""
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
        """Announce that the target is leaving, now and in all later announcements."""
        self.target = replace(self.target, state=LEAVING)
        await self.announce()


def get_incarnation() -> int:
    """Return the current time in milliseconds, which increases with each start."""
    return time.time_ns() // 1_000_000
