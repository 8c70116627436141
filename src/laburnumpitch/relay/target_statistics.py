"""Statistics that this node keeps of each target from its own requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..fleet.messages import FleetLoad, TargetRecord
from ..logging import get_logger

FAILURE_RATE_WEIGHT = 0.15
"""Weight of the newest outcome in the moving average of a target's failure rate."""

DURATION_WEIGHT = 0.1
"""Weight of the newest duration in a target's moving averages."""

INITIAL_SERVICE_S = 0.1
"""Assumed duration of a request at a target that has not answered one yet."""

INITIAL_TOKEN_S = 0.005
"""Assumed generation time per token at a target that has not answered yet."""

INITIAL_BACKOFF_S = 0.4
"""First backoff of a target that cannot be reached; doubled at each failure."""

MAX_BACKOFF_S = 4.0
"""Longest backoff; the next request after it probes the target."""

RECENT_SUCCESS_S = 2.0
"""Time after a complete answer for which a target counts as reachable although its
announcements have stopped."""

REJECTION_BACKOFF_S = 0.05
"""Backoff of a target that rejected a request, for example because it is full."""


@dataclass
class TargetStats:
    """Statistics of this node's requests to one target."""

    running: int = 0
    """Requests in flight."""
    running_tokens: int = 0
    """Prompt tokens of the requests in flight."""
    pending_prefill_tokens: int = 0
    """Prompt tokens of the requests whose first event has not arrived yet."""
    failure_rate: float = 0.0
    """Moving average of the share of failed requests."""
    service_s: float = INITIAL_SERVICE_S
    """Moving average of the duration of complete answers."""
    token_s: float = INITIAL_TOKEN_S
    """Moving average of the generation time per token that a request allows."""
    backoff_until_s: float = 0.0
    """Until when the target is avoided."""
    backoff_s: float = INITIAL_BACKOFF_S
    """Length of the next backoff."""
    last_success_s: float = float("-inf")
    """When the target last sent a complete answer."""
    is_replaced: bool = False
    """Whether another target answered at its address."""
    observed_versions: dict[str, tuple[int, float]] | None = None
    """Weight version by model as answers stated it, with the time of the answer."""


class TargetStatistics:
    """Statistics of all targets that this node sends requests to.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float]) -> None:
        self.get_time_s = get_time_s
        self.by_target: dict[str, TargetStats] = {}
        self.changed = asyncio.Event()
        """Set at the next change of the targets or their load, and replaced then."""
        self.log = get_logger()

    def get(self, target_id: str) -> TargetStats:
        """Return the statistics of a target, created on first use."""
        stats = self.by_target.get(target_id)
        if stats is None:
            stats = self.by_target[target_id] = TargetStats()
        return stats

    def retain(self, target_ids: set[str]) -> None:
        """Drop targets that are not listed and run no request of this node."""
        for target_id, stats in list(self.by_target.items()):
            if target_id not in target_ids and not stats.running:
                del self.by_target[target_id]
        self.signal_change()

    def get_loads(self) -> dict[str, FleetLoad]:
        """Return this node's requests in flight by target."""
        return {
            target_id: FleetLoad(stats.running, stats.running_tokens)
            for target_id, stats in self.by_target.items()
            if stats.running
        }

    def signal_change(self) -> None:
        """Set the event of the last change and replace it by a new one."""
        self.changed.set()
        self.changed = asyncio.Event()

    def record_start(self, target: TargetRecord, tokens: int) -> None:
        """Count a request that is sent to a target."""
        stats = self.get(target.target_id)
        stats.running += 1
        stats.running_tokens += tokens
        stats.pending_prefill_tokens += tokens

    def record_prefill_end(self, target: TargetRecord, tokens: int) -> None:
        """Subtract a prompt after the first event or the end of its request."""
        self.get(target.target_id).pending_prefill_tokens -= tokens

    def record_end(self, target: TargetRecord, tokens: int) -> None:
        """Subtract a request that has ended at a target."""
        stats = self.get(target.target_id)
        stats.running -= 1
        stats.running_tokens -= tokens
        self.signal_change()

    def is_in_backoff(self, target: TargetRecord) -> bool:
        """Whether a target is avoided after a failure or a rejection."""
        return self.get(target.target_id).backoff_until_s > self.get_time_s()

    def is_possibly_unreachable(self, target: TargetRecord) -> bool:
        """Whether a target may be unreachable.

        This holds while it is in backoff, and until it answers after a failure to reach
        it. It also holds if it stopped announcing itself and has not answered lately.
        """
        stats = self.get(target.target_id)
        now_s = self.get_time_s()
        if stats.backoff_until_s > now_s or stats.backoff_s > INITIAL_BACKOFF_S:
            return True
        return target.is_silent and now_s - stats.last_success_s > RECENT_SUCCESS_S

    def record_success(self, target: TargetRecord, duration_s: float) -> None:
        """Record a complete answer, which ends the backoff."""
        stats = self.get(target.target_id)
        stats.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT
        stats.service_s += (duration_s - stats.service_s) * DURATION_WEIGHT
        stats.backoff_s = INITIAL_BACKOFF_S
        stats.backoff_until_s = 0.0
        stats.last_success_s = self.get_time_s()

    def record_abandoned(self, target: TargetRecord, age_s: float) -> None:
        """Record a request that was taken back while it was late.

        It would have taken longer. Without it, a slow target would look idle and as
        fast as before, and get more requests.
        """
        stats = self.get(target.target_id)
        stats.service_s += max(0.0, age_s - stats.service_s) * DURATION_WEIGHT

    def record_generation(
        self, target: TargetRecord, tokens: int, duration_s: float
    ) -> None:
        """Record the time of a complete stream from its first event on."""
        if tokens > 0:
            stats = self.get(target.target_id)
            stats.token_s += (duration_s / tokens - stats.token_s) * DURATION_WEIGHT

    def record_failure(self, target: TargetRecord, is_unreachable: bool) -> None:
        """Record a failed request.

        Args:
            target: The target that failed.
            is_unreachable: Whether the target cannot be reached; it is then put
                in backoff.
        """
        stats = self.get(target.target_id)
        stats.failure_rate += (1.0 - stats.failure_rate) * FAILURE_RATE_WEIGHT
        if is_unreachable:
            now_s = self.get_time_s()
            stats.backoff_until_s = now_s + stats.backoff_s
            stats.backoff_s = min(MAX_BACKOFF_S, stats.backoff_s * 2)
            self.log.info(
                "target_suspect",
                target=target.target_id,
                until_s=round(stats.backoff_until_s - now_s, 2),
            )

    def record_rejection(self, target: TargetRecord) -> None:
        """Put a target that rejected a request in a short backoff."""
        stats = self.get(target.target_id)
        until_s = self.get_time_s() + REJECTION_BACKOFF_S
        stats.backoff_until_s = max(stats.backoff_until_s, until_s)

    def mark_replaced(self, target: TargetRecord) -> None:
        """Record that another target answers at the address."""
        self.get(target.target_id).is_replaced = True

    def record_version(self, target: TargetRecord, model: str, version: int) -> None:
        """Record the weight version that an answer stated."""
        stats = self.get(target.target_id)
        stats.observed_versions = {
            **(stats.observed_versions or {}),
            model: (version, self.get_time_s()),
        }
