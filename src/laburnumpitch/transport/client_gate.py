"""Lets connections wait for room in a node's budget, and closes those that block it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from .._tasks import start_task
from ..errors import TargetTimeoutError
from ..logging import get_logger
from ..policy.client_budget import (
    BudgetSizes,
    ClientBudget,
    Holding,
    make_sizes,
)
from .connection_log import LineLimiter

SWEEP_INTERVAL_S = 0.25
"""Interval of looking for connections to close, while others wait."""


ROOM_TIMEOUT_S = 20.0
"""Time for which reading an answer pauses until there is room for more of it."""


class BudgetMember(Protocol):
    """A connection that holds a part of a budget."""

    def measure_bytes(self) -> int:
        """Return what the connection makes the node hold."""

    def count_progress_bytes(self) -> int:
        """Return the number of bytes that the client has sent and taken."""

    def has_claim(self) -> bool:
        """Whether the connection may not be closed for others."""

    def has_left(self) -> bool:
        """Whether the client has closed the connection, also while reading pauses."""

    def abort(self) -> None:
        """Close the connection at once."""


class ClientGate:
    """The budget of a process, which its HTTP servers and clients share.

    Args:
        sizes: Sizes of the budget; those of a large machine if None.
        count: Increases a metric.
    """

    def __init__(
        self,
        sizes: BudgetSizes | None = None,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.budget = ClientBudget(sizes or make_sizes())
        self.count = count
        self.members: dict[Holding, BudgetMember] = {}
        self.waiters: dict[Holding, asyncio.Future[None]] = {}
        self.sweep_task: asyncio.Task[None] | None = None
        self.log = get_logger()
        self.line_limiter = LineLimiter()

    def open(self, member: BudgetMember) -> Holding:
        """Add a connection."""
        holding = self.budget.open_connection()
        self.members[holding] = member
        if self.is_crowded():
            self.ensure_sweeping()
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a connection or an answer."""
        self.members.pop(holding, None)
        self.budget.close(holding)
        self.wake_waiters()

    def may_accept(self, server_connections: int) -> bool:
        """Whether a server with some connections may have one more."""
        return (
            not self.budget.is_full
            and server_connections < self.budget.sizes.max_server_connections
        )

    def resize(self, holding: Holding, held_bytes: int) -> None:
        """Set what a connection or an answer makes the node hold."""
        is_less = held_bytes < holding.held_bytes
        self.budget.resize(holding, held_bytes)
        if is_less:
            self.wake_waiters()

    def end_growth(self, holding: Holding) -> None:
        """Record that a request is complete."""
        self.budget.end_growth(holding)
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Let those that wait look for room again."""
        for future in self.waiters.values():
            if not future.done():
                future.set_result(None)

    async def wait_for_room(self, holding: Holding, size: int) -> None:
        """Wait until a connection or an answer may take further bytes."""
        if self.budget.may_grow(holding, size):
            return
        holding.is_waiting = True
        self.ensure_sweeping()
        loop = asyncio.get_running_loop()
        try:
            while not self.budget.may_grow(holding, size):
                self.waiters[holding] = loop.create_future()
                await self.waiters[holding]
        finally:
            self.waiters.pop(holding, None)
            holding.is_waiting = False
            holding.stalled_since_s = None

    async def wait_for_answer_room(self, holding: Holding, size: int) -> None:
        """Wait until a target's answer may take further bytes.

        Raises:
            TargetTimeoutError: If there is no room in time.
        """
        if self.budget.may_grow(holding, size):
            return
        try:
            async with asyncio.timeout(ROOM_TIMEOUT_S):
                await self.wait_for_room(holding, size)
        except asyncio.TimeoutError as error:
            raise TargetTimeoutError("no memory for the answer") from error

    def shut_down(self) -> None:
        """Stop looking for connections to close."""
        if self.sweep_task is not None:
            self.sweep_task.cancel()

    def ensure_sweeping(self) -> None:
        """Begin to look for connections to close."""
        if self.sweep_task is None or self.sweep_task.done():
            self.sweep_task = start_task("client_sweep", self.sweep_repeatedly())

    async def sweep_repeatedly(self) -> None:
        """Close connections that make no progress while others wait."""
        while self.waiters or self.is_crowded():
            self.sweep()
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def is_crowded(self) -> bool:
        """Whether a listening address may have all the connections that it may."""
        return self.budget.count_excess_connections() > 0

    def sweep(self) -> None:
        """Measure all connections, and close one if that lets others go on."""
        now_s = asyncio.get_running_loop().time()
        for holding, member in list(self.members.items()):
            if holding.is_waiting and member.has_left():
                member.abort()
                continue
            self.budget.resize(holding, member.measure_bytes())
            holding.is_protected = member.has_claim()
            self.budget.record_progress(holding, member.count_progress_bytes(), now_s)
        victim = None
        if self.waiters:
            victim = self.budget.choose_victim(now_s, self.budget.is_exhausted)
        if victim is not None:
            self.close_member(victim, "memory", now_s)
        for _ in range(self.budget.count_excess_connections()):
            victim = self.budget.choose_victim(now_s, includes_small=True)
            if victim is None:
                break
            self.close_member(victim, "connections", now_s)
        self.wake_waiters()

    def close_member(self, holding: Holding, cause: str, now_s: float) -> None:
        """Close a connection for others."""
        member = self.members.pop(holding)
        held_bytes = holding.held_bytes
        stalled_s = now_s - (holding.stalled_since_s or now_s)
        total_bytes = self.budget.held_bytes
        self.budget.close(holding)
        member.abort()
        self.count("client.closed")
        suppressed = self.line_limiter.take(("client_closed", cause))
        if suppressed is not None:
            self.log.info(
                "client_closed",
                cause=cause,
                held_bytes=held_bytes,
                stalled_ms=round(stalled_s * 1000),
                total_bytes=total_bytes,
                connections=self.budget.connections,
                waiting=len(self.waiters),
                suppressed=suppressed,
            )

    def record_refused(self, cause: str) -> None:
        """Record a request or connection that is refused since it exceeds a limit."""
        self.count("client.refused")
        suppressed = self.line_limiter.take(("client_refused", cause))
        if suppressed is not None:
            self.log.info(
                "client_refused",
                cause=cause,
                total_bytes=self.budget.held_bytes,
                connections=self.budget.connections,
                suppressed=suppressed,
            )
