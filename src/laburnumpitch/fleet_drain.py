"""Drains a node before it stops: each request that it has read gets an answer."""

from __future__ import annotations

import asyncio
import time

from .logging import get_logger
from .relay.stop_deadline import StopDeadline
from .transport.http_server import HttpServer

DRAIN_ACCEPT_S = 2.6
"""Time after a stop request in which clients may still connect; the load balancer
removes a node after two failed checks, a second apart."""

CLOSE_RESERVE_S = 0.8
"""Time before the process is killed at which the remaining requests are ended."""

LAST_ANSWERS_S = 0.2
"""Time for the answers to the requests that are ended, of `CLOSE_RESERVE_S`."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval of checks whether connections are still open."""


class NodeDrain:
    """The drain of one node.

    Args:
        server: The server for clients.
        stop_deadline: Ends the requests in progress.
        grace_s: Time from the stop request until the process is killed.
    """

    def __init__(
        self, server: HttpServer, stop_deadline: StopDeadline, grace_s: float
    ) -> None:
        self.server = server
        self.stop_deadline = stop_deadline
        self.drain_s = grace_s - CLOSE_RESERVE_S
        self.log = get_logger()

    async def run(self) -> None:
        """Wait until the clients' connections are closed, or the time is over."""
        server = self.server
        closes_at_s = time.monotonic() + self.drain_s
        server.is_draining = True
        self.stop_deadline.start(closes_at_s)
        self.log.info("node_draining", busy=server.active_requests)
        await asyncio.sleep(min(DRAIN_ACCEPT_S, self.drain_s))
        server.stop_accepting()
        # Clients may go on to use their open connections.
        self.stop_deadline.refuse_long()
        # A connection that was accepted last has no task in this pass of the loop.
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        while server.connection_tasks and time.monotonic() < closes_at_s:
            await server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        ended = server.active_requests
        end_s = closes_at_s + LAST_ANSWERS_S
        while server.active_requests and time.monotonic() < end_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self.log.info("node_drained", ended=ended, busy=server.active_requests)
