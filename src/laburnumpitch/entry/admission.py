"""Admission control for one pool, with a bounded queue per node.

The queue is fair between organisations: each gets its weighted share.
"""

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
"""Maximum number of requests that wait on one node for one pool."""

MAX_QUEUED_PER_ORGANISATION = 500
"""Maximum number of one organisation's requests that wait on one node for one pool."""

NODE_SHARE_FACTOR = 1.0
"""Requests that a node may always have in flight, as a multiple of its equal share
of the pool's slots."""

MAX_PREFILL_BACKLOG_S = 0.25
"""Prefill time of the context queued at a target above which requests wait in this
node's queue instead."""

ENGINE_LEVELS_PER_PRIORITY = 8
"""Priority levels at an engine for each configured priority."""

POLL_INTERVAL_S = 0.02
"""Interval of the checks for slots that requests of other nodes have freed."""


def get_prefill_backlog_s(candidate: EngineCandidate) -> float:
    """Return the estimated time to prefill the context queued at a target."""
    tokens = candidate.queued_prefill_tokens + candidate.unreported_tokens
    return tokens / candidate.prefill_tokens_per_s


class AdmissionController:
    """Limits one node's requests in flight to one pool, and queues the rest.

    Args:
        pool: Name of the pool.
        view: The node's view.
        tracker: Loads of the targets.
        metrics: Receives the length of the queue.
        get_time_s: Returns the monotonic time.
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
        self.inflight_by_organisation: dict[str, int] = {}
        """Number of requests in flight by organisation."""
        self.poll_task: asyncio.Task[None] | None = None
        self.average_wait_s = 0.0
        """Moving average of the time that a request spends in the queue."""

    async def acquire(
        self, organisation: str, weight: float, cost: float, deadline_s: float
    ) -> None:
        """Wait until the request may be in flight; `release` ends its admission.

        Args:
            organisation: Name of the organisation that sent the request.
            weight: The organisation's weight in fair queueing.
            cost: Size of the request, in tokens or any fixed unit.
            deadline_s: Monotonic time until which the request may wait.

        Raises:
            OverloadedError: If the queue is full, or the average wait goes past
                the deadline.
            DeadlineExceededError: If the deadline passes in the queue.
        """
        if not self.queue and self.has_capacity():
            self.increment_inflight(organisation)
            return
        self.check_queue_limits(organisation, deadline_s)
        future = asyncio.get_running_loop().create_future()
        waiter = (organisation, future)
        queued = self.queue.push(organisation, weight, cost, waiter)
        self.metrics.set_gauge("request.queued", len(self.queue))
        self.ensure_polling()
        queued_at_s = self.get_time_s()
        try:
            await asyncio.wait_for(future, max(0.0, deadline_s - queued_at_s))
        except asyncio.TimeoutError as error:
            raise DeadlineExceededError(
                "the deadline passed while the request was queued"
            ) from error
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(organisation)
            raise
        finally:
            if future.cancelled():
                self.queue.remove(queued)
            self.average_wait_s += 0.1 * (
                self.get_time_s() - queued_at_s - self.average_wait_s
            )

    def check_queue_limits(self, organisation: str, deadline_s: float) -> None:
        """Refuse a request that the queue cannot serve before its deadline.

        Raises:
            OverloadedError: If the queue is full, or the average wait goes past
                the deadline.
        """
        if len(self.queue) >= MAX_QUEUED:
            raise OverloadedError("the queue is full", retry_after_s=1)
        if self.queue.get_length(organisation) >= MAX_QUEUED_PER_ORGANISATION:
            raise OverloadedError("the organisation's queue is full", retry_after_s=1)
        if self.queue and self.get_time_s() + self.average_wait_s > deadline_s:
            raise OverloadedError(
                "the predicted wait exceeds the deadline", retry_after_s=1
            )

    def increment_inflight(self, organisation: str) -> None:
        """Count one more request in flight."""
        self.inflight += 1
        count = self.inflight_by_organisation.get(organisation, 0)
        self.inflight_by_organisation[organisation] = count + 1

    def release(self, organisation: str) -> None:
        """Count one request in flight less, and admit queued ones."""
        self.inflight -= 1
        self.inflight_by_organisation[organisation] -= 1
        if not self.inflight_by_organisation[organisation]:
            del self.inflight_by_organisation[organisation]
        self.admit_waiting()

    def get_engine_priority(self, organisation: str, priority: int) -> int:
        """Return a request's priority at an engine; a lower number runs first.

        Within one configured priority, organisations with fewer requests in
        flight come first. A burst of one organisation thus waits behind the other
        organisations' requests in the engines' queues too.
        """
        count = self.inflight_by_organisation.get(organisation, 0)
        level = min(ENGINE_LEVELS_PER_PRIORITY - 1, count.bit_length())
        return priority * ENGINE_LEVELS_PER_PRIORITY + level

    def has_capacity(self) -> bool:
        """Whether one more request may be in flight.

        A node may always use its equal share of the pool's slots. It may use more
        while the load reports show free slots, so that targets do not idle when a
        balancer spreads requests unevenly. While every target has a long prefill
        backlog, requests wait in this queue, which is fair between organisations,
        and not in the targets' own queues.
        """
        if self.inflight == 0:
            return True
        targets = self.view.get_available_targets(self.pool)
        candidates = [self.tracker.get_candidate(target, "") for target in targets]
        if (
            candidates
            and min(map(get_prefill_backlog_s, candidates)) > MAX_PREFILL_BACKLOG_S
        ):
            return False
        slots = sum(target.slots for target in targets)
        nodes = max(1, len(self.view.get_active_nodes()))
        if self.inflight < NODE_SHARE_FACTOR * slots / nodes:
            return True
        occupied = sum(
            item.running + item.queued + item.unreported for item in candidates
        )
        return occupied < slots

    def admit_waiting(self) -> None:
        """Admit queued requests while there is capacity."""
        while self.queue and self.has_capacity():
            organisation, future = self.queue.pop()
            if not future.done():
                self.increment_inflight(organisation)
                future.set_result(None)

    def ensure_polling(self) -> None:
        """Start the polling task unless it is running."""
        if self.poll_task is None or self.poll_task.done():
            self.poll_task = asyncio.create_task(self.poll_for_capacity())

    async def poll_for_capacity(self) -> None:
        """Admit requests at a fixed interval until the queue is empty."""
        while self.queue:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.admit_waiting()

    async def close(self) -> None:
        """Stop the polling task."""
        await cancel_and_wait(self.poll_task)
