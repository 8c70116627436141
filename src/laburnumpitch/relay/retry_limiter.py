"""This node's share of the repeats that the whole fleet may send to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.6
"""Part of the allowed repeats that is used; nodes count apart from each other."""


@dataclass
class RetryWindow:
    """Recent requests for a service and repeats sent to it."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryLimiter:
    """Bounds repeats by a node's own requests and its share of the slack.

    Args:
        ratio: Repeats over requests that the fleet may send.
        slack: Repeats in a window that the fleet may send besides.
        window_s: Length of the window.
        count_nodes: Returns the number of nodes.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        get_node_count: Callable[[], int],
        get_time_s: Callable[[], float],
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.get_node_count = get_node_count
        self.get_time_s = get_time_s
        self.windows: dict[str, RetryWindow] = {}

    def get_window(self, service: str) -> RetryWindow:
        """Return the window of a service, without what has left it."""
        window = self.windows.setdefault(service, RetryWindow())
        window_start_s = self.get_time_s() - self.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < window_start_s:
                times.popleft()
        return window

    def record_request(self, service: str) -> None:
        """Count a client's request."""
        self.get_window(service).requests.append(self.get_time_s())

    def try_spend(self, service: str) -> bool:
        """Spend a repeat, and return whether there was one."""
        window = self.get_window(service)
        allowed = self.ratio * len(window.requests) + self.slack / self.get_node_count()
        if len(window.retries) + 1 > allowed * SAFETY_FACTOR:
            return False
        window.retries.append(self.get_time_s())
        return True
