"""Admits requests to a pool: bounded queues, fair between organisations."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from .._tasks import cancel_and_wait
from ..errors import DeadlineExceededError, OverloadedError
from ..membership.cluster_view import ClusterView
from ..metrics import Metrics
from ..policy.fair_queue import FairQueue
from ..policy.selection_types import EngineCandidate
from .target_tracker import TargetTracker

MAX_QUEUED = 2000
"""Requests that wait on one node for one pool."""

MAX_QUEUED_PER_ORGANISATION = 500
"""Requests of one organisation that wait on one node for one pool."""

WINDOW_SHARE = 1.0
"""Requests in flight that a node may have, as a multiple of its part of the
pool's slots."""

MAX_BACKLOG_S = 0.25
"""Time to compute a target's waiting context, above which it gets no more."""

PRIORITY_STEPS = 8
"""Steps of an engine's priority within one configured priority."""

POLL_S = 0.02
"""Interval of looking for slots that other nodes gave free."""


def get_backlog_s(candidate: EngineCandidate) -> float:
    """Return the time that a target needs for the context that waits there."""
    tokens = candidate.queued_prefill_tokens + candidate.unreported_tokens
    return tokens / candidate.prefill_tokens_per_s


class PoolAdmission:
    """The queue of one pool on one node.

    Args:
        pool: Name of the pool.
        view: The node's view.
        tracker: Loads of the targets.
        metrics: Where measurements go.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        pool: str,
        view: ClusterView,
        tracker: TargetTracker,
        metrics: Metrics,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.pool = pool
        self.view = view
        self.tracker = tracker
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.queue: FairQueue[tuple[str, asyncio.Future[None]]] = FairQueue()
        self.inflight = 0
        self.by_organisation: dict[str, int] = {}
        """Requests in flight of each organisation."""
        self.poller: asyncio.Task[None] | None = None
        self.wait_s = 0.0
        """Moving average of the time in the queue."""

    async def enter(
        self, organisation: str, weight: float, cost: float, deadline_s: float
    ) -> None:
        """Wait for a place among the requests in flight; `leave` gives it back.

        Args:
            organisation: Whose request it is.
            weight: Its share in fair queueing.
            cost: Size of the request, in tokens or any fixed unit.
            deadline_s: Monotonic time after which the answer is of no use.

        Raises:
            OverloadedError: If the queue is full or too slow for the deadline.
            DeadlineExceededError: If the deadline passes in the queue.
        """
        if not self.queue and self.has_room():
            self.note_entered(organisation)
            return
        self.check_bounds(organisation, deadline_s)
        future = asyncio.get_running_loop().create_future()
        entry = (organisation, future)
        waiting = self.queue.push(organisation, weight, cost, entry)
        self.metrics.set_gauge("request.queued", len(self.queue))
        self.ensure_poller()
        entered_s = self.get_time_s()
        try:
            await asyncio.wait_for(future, max(0.0, deadline_s - entered_s))
        except asyncio.TimeoutError as error:
            raise DeadlineExceededError("waited in the queue too long") from error
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.leave(organisation)
            raise
        finally:
            if future.cancelled():
                self.queue.remove(waiting)
            self.wait_s += 0.1 * (self.get_time_s() - entered_s - self.wait_s)

    def check_bounds(self, organisation: str, deadline_s: float) -> None:
        """Refuse early what would wait in vain."""
        if len(self.queue) >= MAX_QUEUED:
            raise OverloadedError("the queue is full", retry_after_s=1)
        if self.queue.get_length(organisation) >= MAX_QUEUED_PER_ORGANISATION:
            raise OverloadedError("the organisation's queue is full", retry_after_s=1)
        if self.queue and self.get_time_s() + self.wait_s > deadline_s:
            raise OverloadedError("the wait is over the deadline", retry_after_s=1)

    def note_entered(self, organisation: str) -> None:
        """Count a request in flight."""
        self.inflight += 1
        count = self.by_organisation.get(organisation, 0)
        self.by_organisation[organisation] = count + 1

    def leave(self, organisation: str) -> None:
        """Give a place back."""
        self.inflight -= 1
        self.by_organisation[organisation] -= 1
        if not self.by_organisation[organisation]:
            del self.by_organisation[organisation]
        self.release()

    def get_engine_priority(self, organisation: str, priority: int) -> int:
        """Return a request's priority at an engine; lower runs first.

        Within one configured priority, organisations with fewer requests in
        flight go first, so that a burst waits behind everyone else's requests
        also in the engines' own queues.
        """
        count = self.by_organisation.get(organisation, 0)
        step = min(PRIORITY_STEPS - 1, count.bit_length())
        return priority * PRIORITY_STEPS + step

    def has_room(self) -> bool:
        """Whether one more request may be in flight.

        A node always has its part of the pool, and more while the pool has free
        slots by the reports, so that an uneven balancer idles no target. While
        every target has much context to compute, requests wait here, where the
        queue is fair, and not in the targets' own queues.
        """
        if self.inflight == 0:
            return True
        targets = self.view.get_available_targets(self.pool)
        candidates = [self.tracker.get_candidate(target, "") for target in targets]
        if candidates and min(map(get_backlog_s, candidates)) > MAX_BACKLOG_S:
            return False
        slots = sum(target.slots for target in targets)
        nodes = max(1, len(self.view.get_active_nodes()))
        if self.inflight < WINDOW_SHARE * slots / nodes:
            return True
        used = sum(item.running + item.queued + item.unreported for item in candidates)
        return used < slots

    def release(self) -> None:
        """Admit waiting requests while there is room."""
        while self.queue and self.has_room():
            organisation, future = self.queue.pop()
            if not future.done():
                self.note_entered(organisation)
                future.set_result(None)

    def ensure_poller(self) -> None:
        """Look for room while requests wait."""
        if self.poller is None or self.poller.done():
            self.poller = asyncio.create_task(self.poll())

    async def poll(self) -> None:
        """Admit what has room, until nothing waits."""
        while self.queue:
            await asyncio.sleep(POLL_S)
            self.release()

    async def close(self) -> None:
        """Stop looking for room."""
        await cancel_and_wait(self.poller)
