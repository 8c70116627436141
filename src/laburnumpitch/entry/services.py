"""What the requests on one node share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..context.sharded_directory import ShardedDirectory
from ..context.store_router import StoreRouter
from ..errors import DrainingError
from ..membership.proposer import Proposer
from ..membership.session import Session
from ..metrics import Metrics
from ..policy.engine_selection import SelectionPolicy
from ..policy.retry_budget import RetryBudget
from ..transport.http_client import HttpClientPool
from .admission import PoolAdmission
from .flight_guard import FlightGuard
from .quota_client import QuotaClient
from .suspects import SuspectGuard
from .target_tracker import TargetTracker


class EntryServices:
    """Shared parts of the entry role.

    Args:
        session: The node's session with control.
        control: Client of the control leader.
        http: Connections to targets.
        shards: The directory of kept context.
        tracker: Health and load of targets.
        quota: Rates of organisations.
        suspects: Requests that were in flight when targets died.
        flights: Copies of unproven requests.
        policy: The way in which targets are chosen.
        metrics: Where measurements go.
        stores: The stores and their keepers.
    """

    def __init__(
        self,
        session: Session,
        control: Proposer,
        http: HttpClientPool,
        shards: ShardedDirectory,
        tracker: TargetTracker,
        quota: QuotaClient,
        suspects: SuspectGuard,
        flights: FlightGuard,
        policy: SelectionPolicy,
        metrics: Metrics,
        stores: StoreRouter,
    ) -> None:
        self.session = session
        self.control = control
        self.http = http
        self.shards = shards
        self.tracker = tracker
        self.quota = quota
        self.suspects = suspects
        self.flights = flights
        self.policy = policy
        self.metrics = metrics
        self.stores = stores
        self.is_draining = False
        self.admissions: dict[str, PoolAdmission] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.background: set[asyncio.Task[Any]] = set()

    def require_running(self) -> None:
        """Check that the node is not shutting down.

        Raises:
            DrainingError: If it is.
        """
        if self.is_draining:
            raise DrainingError("this node is shutting down", retry_after_s=0)

    def get_admission(self, pool: str) -> PoolAdmission:
        """Return the queue of a pool."""
        admission = self.admissions.get(pool)
        if admission is None:
            admission = PoolAdmission(
                pool, self.session.view, self.tracker, self.metrics
            )
            self.admissions[pool] = admission
        return admission

    def get_budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool."""
        return self.budgets.setdefault(pool, RetryBudget())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work that outlives its request, until the node closes."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def close(self) -> None:
        """Let background work end, then stop the queues."""
        if self.background:
            await asyncio.wait(list(self.background), timeout=5)
        for admission in self.admissions.values():
            await admission.close()
