"""Hybrid logical clock that orders events over all processes."""

from __future__ import annotations

import time
from collections.abc import Callable

COUNTER_BITS = 16
"""Low bits of a stamp that count events within one millisecond."""


class HybridLogicalClock:
    """Issues stamps that never decrease and follow causality between processes.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.

    Args:
        get_wall_time_s: Source of wall time in seconds.
    """

    def __init__(self, get_wall_time_s: Callable[[], float] = time.time) -> None:
        self.get_wall_time_s = get_wall_time_s
        self.latest_timestamp = 0
        """Largest stamp issued or seen: milliseconds << COUNTER_BITS | counter."""

    def tick(self) -> int:
        """Return the stamp of a local event."""
        wall_timestamp = int(self.get_wall_time_s() * 1000) << COUNTER_BITS
        self.latest_timestamp = max(self.latest_timestamp + 1, wall_timestamp)
        return self.latest_timestamp

    def observe(self, timestamp: int) -> None:
        """Move past a stamp that came with a message.

        Args:
            timestamp: The sender's stamp.
        """
        self.latest_timestamp = max(self.latest_timestamp, timestamp)
