"""The services that all requests on one entry node share."""

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
from .admission import AdmissionController
from .inflight_limiter import InflightLimiter
from .quarantine_client import QuarantineClient
from .quota_client import QuotaClient
from .target_tracker import TargetTracker


class EntryServices:
    """Clients, limiters and connections that a node's requests share.

    Args:
        session: The node's session with the control leader.
        proposer: Client of the control leader.
        http_clients: Connections to targets.
        directory: The sharded directory of kept context.
        tracker: Health and load of targets.
        quota_client: Client of the organisations' rate limits.
        quarantine_client: Client of the record of suspect requests.
        inflight_limiter: Limits concurrent copies of one request.
        policy: Policy of engine selection.
        metrics: Receives counters, gauges and times.
        store_router: Routes messages to the owners of stores.
    """

    def __init__(
        self,
        session: Session,
        proposer: Proposer,
        http_clients: HttpClientPool,
        directory: ShardedDirectory,
        tracker: TargetTracker,
        quota_client: QuotaClient,
        quarantine_client: QuarantineClient,
        inflight_limiter: InflightLimiter,
        policy: SelectionPolicy,
        metrics: Metrics,
        store_router: StoreRouter,
    ) -> None:
        self.session = session
        self.proposer = proposer
        self.http_clients = http_clients
        self.directory = directory
        self.tracker = tracker
        self.quota_client = quota_client
        self.quarantine_client = quarantine_client
        self.inflight_limiter = inflight_limiter
        self.policy = policy
        self.metrics = metrics
        self.store_router = store_router
        self.is_draining = False
        self.admission_controllers: dict[str, AdmissionController] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.background_tasks: set[asyncio.Task[Any]] = set()

    def require_not_draining(self) -> None:
        """Check that the node is not shutting down.

        Raises:
            DrainingError: If it is.
        """
        if self.is_draining:
            raise DrainingError("this node is shutting down", retry_after_s=0)

    def get_admission_controller(self, pool: str) -> AdmissionController:
        """Return the admission controller of a pool."""
        admission_controller = self.admission_controllers.get(pool)
        if admission_controller is None:
            admission_controller = AdmissionController(
                pool, self.session.view, self.tracker, self.metrics
            )
            self.admission_controllers[pool] = admission_controller
        return admission_controller

    def get_retry_budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool."""
        return self.retry_budgets.setdefault(pool, RetryBudget())

    def run_in_background(
        self, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Run a coroutine that may outlive its request, until the node closes."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def close(self) -> None:
        """Wait up to 5 s for background tasks, then close the admission controllers."""
        if self.background_tasks:
            await asyncio.wait(list(self.background_tasks), timeout=5)
        for admission_controller in self.admission_controllers.values():
            await admission_controller.close()
