"""Limits a node's retries to its share of what the fleet may send to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.6
"""Share of the allowed retries that is used: nodes count independently, so that the
fleet's sum may otherwise exceed the limit."""


@dataclass
class RetryWindow:
    """Times of the recent requests for a service and of the retries sent to it."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryLimiter:
    """Allows retries in proportion to a node's own requests, plus a share of the slack.

    Args:
        ratio: Retries for each request that the fleet may send.
        slack: Further retries that the whole fleet may send in a window.
        window_s: Length of the sliding window.
        get_node_count: Returns the number of nodes in the fleet.
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
        """Return the window of a service without expired entries."""
        window = self.windows.setdefault(service, RetryWindow())
        window_start_s = self.get_time_s() - self.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < window_start_s:
                times.popleft()
        return window

    def record_request(self, service: str) -> None:
        """Count a client's request."""
        self.get_window(service).requests.append(self.get_time_s())

    def has_budget(self, service: str) -> bool:
        """Whether one more retry is allowed now."""
        window = self.get_window(service)
        allowed = self.ratio * len(window.requests) + self.slack / self.get_node_count()
        return len(window.retries) + 1 <= allowed * SAFETY_FACTOR

    def try_spend(self, service: str) -> bool:
        """Count a retry if one is allowed, and return whether it is."""
        if not self.has_budget(service):
            return False
        self.get_window(service).retries.append(self.get_time_s())
        return True
