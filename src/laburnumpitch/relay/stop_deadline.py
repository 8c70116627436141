"""The time at which a stopping node ends the requests that are still in progress."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine

from ..errors import DrainingError
from .configuration import NON_IDEMPOTENT, Route


class StopDeadline:
    """Refuses what may not end in time, and ends what has not.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float]) -> None:
        self.get_time_s = get_time_s
        self.closes_at_s = math.inf
        """When the node ends what is in progress; infinite until it is told to stop."""
        self.takes_long = True
        """Whether requests that may last longer are taken, as while clients still
        connect; few last as long as they may. Ones that may run once never are."""
        self.timeouts: set[asyncio.Timeout] = set()
        """Of the requests in progress."""

    def start(self, closes_at_s: float) -> None:
        """Set the time at which the requests in progress end."""
        self.closes_at_s = closes_at_s
        for timeout in self.timeouts:
            timeout.reschedule(self.get_loop_deadline_s())

    def refuse_long(self) -> None:
        """Take no further request that may last longer than the node."""
        self.takes_long = False

    def check(self, duration_s: float, route: Route) -> None:
        """Check that a request which no target has run yet ends in time.

        Args:
            duration_s: Longest time that it takes.
            route: Its route.

        Raises:
            DrainingError: If it may be cut; another node can take it at once.
        """
        if self.get_time_s() + duration_s <= self.closes_at_s:
            return
        if not self.takes_long or route.kind == NON_IDEMPOTENT:
            raise DrainingError("the node may stop before the request has ended")

    async def run(self, work: Coroutine[None, None, None]) -> None:
        """Run a request, until the node ends it.

        Raises:
            DrainingError: If the node has ended it.
        """
        timeout = asyncio.timeout_at(self.get_loop_deadline_s())
        try:
            async with timeout:
                self.timeouts.add(timeout)
                await work
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise DrainingError("the node stops") from error
        finally:
            self.timeouts.discard(timeout)

    def get_loop_deadline_s(self) -> float | None:
        """Return the event loop's time at which the requests end; None if never."""
        if self.closes_at_s == math.inf:
            return None
        loop = asyncio.get_running_loop()
        return loop.time() + self.closes_at_s - self.get_time_s()
