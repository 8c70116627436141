"""Client of the rate limits: requests tokens from the control leader in batches.

A token of an organisation's rate admits one request.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .._tasks import cancel_and_wait
from ..errors import LaburnumpitchError, RateLimitedError
from ..membership.control_client import ControlClient
from ..membership.messages import QuotaAnswer, QuotaCall, QuotaRequest

CALL_TIMEOUT_S = 1.0
"""Timeout for the leader's answer."""

RETRY_INTERVAL_S = 0.05
"""Interval of the calls while requests wait for tokens."""

MAX_WAIT_S = 1.0
"""Time after which a request that got no token is refused."""

DEMAND_WINDOW_S = 1.0
"""Period over which an organisation's request rate on this node is measured."""

PREFETCH_S = 0.1
"""Tokens requested in advance, in seconds of the measured request rate."""

MAX_TRACKED_ORGANISATIONS = 2000
"""Number of organisations above which idle ones are evicted."""


@dataclass
class OrganisationQuota:
    """Waiting requests, unused tokens and request rate of an organisation."""

    waiting_requests: deque[tuple[float, asyncio.Future[None]]] = field(
        default_factory=deque
    )
    """Monotonic deadline and future of each waiting request."""
    rate_tokens: float = 0.0
    """Unused tokens that the leader has granted."""
    valid_until_s: float = 0.0
    """Monotonic time at which the unused tokens expire."""
    demand_window_start_s: float = 0.0
    demand_window_requests: int = 0
    demand_per_s: float = 0.0
    """Request rate in the last complete window."""

    def record_demand(self, now_s: float) -> None:
        """Count a request, and update the request rate at the end of a window."""
        if now_s - self.demand_window_start_s > DEMAND_WINDOW_S:
            elapsed_s = max(DEMAND_WINDOW_S, now_s - self.demand_window_start_s)
            self.demand_per_s = self.demand_window_requests / elapsed_s
            self.demand_window_start_s = now_s
            self.demand_window_requests = 0
        self.demand_window_requests += 1

    def get_tokens_to_request(self, now_s: float) -> float:
        """Return how many tokens to request from the leader."""
        valid_tokens = self.rate_tokens if now_s < self.valid_until_s else 0.0
        return (
            len(self.waiting_requests)
            + int(self.demand_per_s * PREFETCH_S)
            - valid_tokens
        )


class QuotaClient:
    """Enforces the organisations' rate limits on one node.

    Args:
        node_id: Identifier of this node.
        control_client: Client of the control leader.
        get_time_s: Returns the monotonic time.
    """

    def __init__(
        self,
        node_id: str,
        control_client: ControlClient,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.node_id = node_id
        self.control_client = control_client
        self.get_time_s = get_time_s
        self.quotas: OrderedDict[str, OrganisationQuota] = OrderedDict()
        self.refill_needed = asyncio.Event()
        self.refill_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that requests tokens."""
        self.refill_task = asyncio.create_task(self.refill_when_needed())

    async def close(self) -> None:
        """Stop the task."""
        await cancel_and_wait(self.refill_task)

    async def acquire_token(self, organisation: str) -> None:
        """Use one token, and wait up to `MAX_WAIT_S` for it.

        Raises:
            RateLimitedError: If the organisation exceeds its rate.
        """
        quota = self.get_quota(organisation)
        now_s = self.get_time_s()
        quota.record_demand(now_s)
        if (
            not quota.waiting_requests
            and quota.rate_tokens >= 1
            and now_s < quota.valid_until_s
        ):
            quota.rate_tokens -= 1
            return
        future = asyncio.get_running_loop().create_future()
        quota.waiting_requests.append((now_s + MAX_WAIT_S, future))
        self.refill_needed.set()
        await future

    def get_quota(self, organisation: str) -> OrganisationQuota:
        """Return an organisation's quota.

        A new one evicts the least recently used one above the limit, if that is idle.
        """
        quota = self.quotas.get(organisation)
        if quota is None:
            quota = self.quotas[organisation] = OrganisationQuota()
            if len(self.quotas) > MAX_TRACKED_ORGANISATIONS:
                name, oldest = next(iter(self.quotas.items()))
                if not oldest.waiting_requests:
                    del self.quotas[name]
        self.quotas.move_to_end(organisation)
        return quota

    async def refill_when_needed(self) -> None:
        """Request tokens while requests wait for them."""
        while True:
            await self.refill_needed.wait()
            self.refill_needed.clear()
            await self.refill()
            if any(quota.waiting_requests for quota in self.quotas.values()):
                await asyncio.sleep(RETRY_INTERVAL_S)
                self.refill_needed.set()

    async def refill(self) -> None:
        """Call the leader once for all organisations with waiting requests."""
        now_s = self.get_time_s()
        requests = [
            QuotaRequest(name, quota.get_tokens_to_request(now_s))
            for name, quota in self.quotas.items()
            if quota.waiting_requests
        ]
        if requests:
            # Like a lease, tokens are valid from the time before the call.
            sent_s = self.get_time_s()
            try:
                call = QuotaCall(self.node_id, requests)
                answer = await self.control_client.call(call, CALL_TIMEOUT_S)
                self.apply_grants(answer, sent_s)
            except LaburnumpitchError:
                pass
        self.refuse_expired()

    def apply_grants(self, answer: QuotaAnswer, sent_s: float) -> None:
        """Add granted tokens, and admit waiting requests with them."""
        for grant in answer.grants:
            quota = self.quotas.get(grant.organisation)
            if quota is None:
                continue
            if self.get_time_s() >= quota.valid_until_s:
                quota.rate_tokens = 0.0
            quota.rate_tokens += grant.granted
            quota.valid_until_s = max(quota.valid_until_s, sent_s + answer.valid_s)
            while quota.waiting_requests and quota.rate_tokens >= 1:
                _, future = quota.waiting_requests.popleft()
                if not future.done():
                    quota.rate_tokens -= 1
                    future.set_result(None)

    def refuse_expired(self) -> None:
        """Refuse the requests whose wait is over."""
        now_s = self.get_time_s()
        for quota in self.quotas.values():
            while quota.waiting_requests and quota.waiting_requests[0][0] <= now_s:
                _, future = quota.waiting_requests.popleft()
                if not future.done():
                    error = RateLimitedError(
                        "the organisation's rate limit is exceeded", retry_after_s=1
                    )
                    future.set_exception(error)
