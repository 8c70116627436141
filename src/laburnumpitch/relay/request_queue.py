"""The requests that wait at this node for a target with capacity."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import InternalError, LaburnumpitchError
from ..fleet.messages import TargetRecord
from ..policy.queue_priority import QueuePriority, get_sort_key
from ..policy.regions import AllowedRegions
from .request import AdmittedRequest

QueueKey = tuple[str, str, AllowedRegions]
"""Service, build and allowed regions of a queue. Requests that need a certain build or
region have queues of their own, as its targets may be full while others have capacity.
"""


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits in a queue for a target with capacity."""

    priority: QueuePriority
    admitted: AdmittedRequest
    excluded: frozenset[str]
    build: str
    """Build that the target must have; empty for any."""
    future: asyncio.Future[TargetRecord]
    allowed_regions: AllowedRegions = None
    """Where the request may be served."""

    @property
    def key(self) -> QueueKey:
        """The queue that the request waits in."""
        return (self.admitted.service, self.build, self.allowed_regions)

    def fail(self, error: Exception) -> None:
        """Fail the request, unless it is no longer waited for."""
        if self.future.done():
            return
        if not isinstance(error, LaburnumpitchError):
            error = InternalError(f"dispatching failed: {error!r}")
        self.future.set_exception(error)
        # Without a warning if nobody awaits it any more.
        self.future.exception()


class RequestQueue:
    """Queues by service, build and allowed regions, each ordered by priority.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float]) -> None:
        self.get_time_s = get_time_s
        self.requests: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self.requests)

    def __contains__(self, queued: QueuedRequest) -> bool:
        return queued in self.requests

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        self.requests.append(queued)

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request, if it is still queued."""
        if queued in self.requests:
            self.requests.remove(queued)

    def refuse(
        self, find_refusal: Callable[[QueueKey, frozenset[str]], Exception | None]
    ) -> None:
        """Fail the requests that no target will run, in every queue.

        Args:
            find_refusal: Returns the error for a queue and excluded targets; None if
                some target may run the request.
        """
        for queued in list(self.requests):
            refusal = find_refusal(queued.key, queued.excluded)
            if refusal is not None:
                self.discard(queued)
                queued.fail(refusal)

    def find_first(self, key: QueueKey) -> QueuedRequest | None:
        """Return the request of a queue that comes first, or None."""
        now_s = self.get_time_s()
        waiting = [queued for queued in self.requests if queued.key == key]
        return min(waiting, key=lambda q: get_sort_key(q.priority, now_s), default=None)

    def has_ahead(self, key: QueueKey, priority: QueuePriority) -> bool:
        """Whether a request of a queue comes before one with the given priority."""
        now_s = self.get_time_s()
        own_sort_key = get_sort_key(priority, now_s)
        return any(
            queued.key == key and get_sort_key(queued.priority, now_s) < own_sort_key
            for queued in self.requests
        )


def make_priority(admitted: AdmittedRequest) -> QueuePriority:
    """Return a request's priority in its queue."""
    due_s = admitted.request.received_at_s + admitted.route.objective_s
    return QueuePriority(admitted.priority_class, due_s)
