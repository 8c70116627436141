"""This node's share of the repeats that the whole fleet may send to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

SAFE_SHARE = 0.6
"""Part of the allowed repeats that is used; nodes count apart from each other."""


@dataclass
class Window:
    """Recent requests for a service and repeats sent to it."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryShare:
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
        count_nodes: Callable[[], int],
        get_time_s: Callable[[], float],
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.count_nodes = count_nodes
        self.get_time_s = get_time_s
        self.windows: dict[str, Window] = {}

    def get_window(self, service: str) -> Window:
        """Return the window of a service, without what has left it."""
        window = self.windows.setdefault(service, Window())
        horizon_s = self.get_time_s() - self.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < horizon_s:
                times.popleft()
        return window

    def note_request(self, service: str) -> None:
        """Count a client's request."""
        self.get_window(service).requests.append(self.get_time_s())

    def take(self, service: str) -> bool:
        """Spend a repeat, and return whether there was one."""
        window = self.get_window(service)
        allowed = self.ratio * len(window.requests) + self.slack / self.count_nodes()
        if len(window.repeats) + 1 > allowed * SAFE_SHARE:
            return False
        window.repeats.append(self.get_time_s())
        return True
