"""Steady clocks that leases and time-outs are measured by."""

from __future__ import annotations

import time


def get_boottime_s() -> float:
    """Return seconds that also pass while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
