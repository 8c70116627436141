"""Hybrid logical clock, which orders the events of all processes."""

from __future__ import annotations

import time
from collections.abc import Callable

COUNTER_BITS = 16
"""Low bits of a timestamp, which count the events within one millisecond."""

MAX_AHEAD_MS = 3_600_000
"""Time by which another process's timestamp may be ahead of this one's wall time. One
that is further ahead is wrong, and would spread to every process."""


class HybridLogicalClock:
    """Issues timestamps that always increase and respect causality across processes.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.

    Args:
        get_wall_time_s: Returns the wall time in seconds.
    """

    def __init__(self, get_wall_time_s: Callable[[], float] = time.time) -> None:
        self.get_wall_time_s = get_wall_time_s
        self.latest_timestamp = 0
        """Largest timestamp issued or observed: ms << COUNTER_BITS | counter."""

    def tick(self) -> int:
        """Return the timestamp of a local event."""
        wall_timestamp = int(self.get_wall_time_s() * 1000) << COUNTER_BITS
        self.latest_timestamp = max(self.latest_timestamp + 1, wall_timestamp)
        return self.latest_timestamp

    def observe(self, timestamp: int) -> None:
        """Advance to the timestamp of a received message if it is later.

        A timestamp that is too far ahead is ignored.

        Args:
            timestamp: Timestamp that the sender attached.
        """
        max_ms = int(self.get_wall_time_s() * 1000) + MAX_AHEAD_MS
        if timestamp <= max_ms << COUNTER_BITS:
            self.latest_timestamp = max(self.latest_timestamp, timestamp)
