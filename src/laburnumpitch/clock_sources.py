"""Clocks for leases and timeouts."""

from __future__ import annotations

import time


def get_boottime_s() -> float:
    """Return the monotonic time, which also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
