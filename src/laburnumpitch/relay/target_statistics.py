"""What this node itself has seen of each target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..fleet.messages import FleetLoad, TargetRecord
from ..logging import get_logger

FAILURE_RATE_WEIGHT = 0.15
"""Weight of the newest outcome in a target's failure rate."""

DURATION_WEIGHT = 0.1
"""Weight of the newest answer in a target's usual time."""

INITIAL_SERVICE_S = 0.1
"""Usual time of a request before any was seen."""

INITIAL_TOKEN_S = 0.005
"""Time for a token that a request may generate, before any was seen."""

INITIAL_BACKOFF_S = 0.4
"""First time for which a target that cannot be reached is avoided."""

MAX_BACKOFF_S = 4.0
"""Longest such time; a trial follows it."""

RECENT_SUCCESS_S = 2.0
"""Time for which an answer shows that a target serves, though nobody hears it."""

REJECTION_BACKOFF_S = 0.05
"""Time for which a target that says it is full is avoided."""


@dataclass
class TargetStats:
    """This node's record of one target."""

    running: int = 0
    running_tokens: int = 0
    pending_prefill_tokens: int = 0
    failure_rate: float = 0.0
    service_s: float = INITIAL_SERVICE_S
    token_s: float = INITIAL_TOKEN_S
    """Usual time for each token that a request may generate."""
    backoff_until_s: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    last_success_s: float = float("-inf")
    """When the target last answered whole."""
    is_replaced: bool = False
    """Whether another target was met at its address."""
    observed_versions: dict[str, tuple[int, float]] | None = None
    """Weight version by model as an answer told it, and when."""


class TargetStatistics:
    """This node's records of all targets.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float]) -> None:
        self.get_time_s = get_time_s
        self.by_target: dict[str, TargetStats] = {}
        self.changed = asyncio.Event()
        self.log = get_logger()

    def get(self, target_id: str) -> TargetStats:
        """Return the record of a target."""
        stats = self.by_target.get(target_id)
        if stats is None:
            stats = self.by_target[target_id] = TargetStats()
        return stats

    def retain(self, target_ids: set[str]) -> None:
        """Forget targets that are gone and run nothing for this node."""
        for target_id, stats in list(self.by_target.items()):
            if target_id not in target_ids and not stats.running:
                del self.by_target[target_id]
        self.signal_change()

    def get_loads(self) -> dict[str, FleetLoad]:
        """Return what this node has at targets."""
        return {
            target_id: FleetLoad(stats.running, stats.running_tokens)
            for target_id, stats in self.by_target.items()
            if stats.running
        }

    def signal_change(self) -> None:
        """Let waiting requests look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def record_start(self, target: TargetRecord, tokens: int) -> None:
        """Note that a request goes to a target."""
        stats = self.get(target.target_id)
        stats.running += 1
        stats.running_tokens += tokens
        stats.pending_prefill_tokens += tokens

    def record_prefill_end(self, target: TargetRecord, tokens: int) -> None:
        """Note that a request's prompt has been read."""
        self.get(target.target_id).pending_prefill_tokens -= tokens

    def record_end(self, target: TargetRecord, tokens: int) -> None:
        """Note that a request has left a target."""
        stats = self.get(target.target_id)
        stats.running -= 1
        stats.running_tokens -= tokens
        self.signal_change()

    def is_in_backoff(self, target: TargetRecord) -> bool:
        """Whether a target failed this node a moment ago."""
        return self.get(target.target_id).backoff_until_s > self.get_time_s()

    def is_possibly_unreachable(self, target: TargetRecord) -> bool:
        """Whether a target may be dark: nobody hears it, and it serves nobody here."""
        stats = self.get(target.target_id)
        now_s = self.get_time_s()
        if stats.backoff_until_s > now_s or stats.backoff_s > INITIAL_BACKOFF_S:
            return True
        return target.is_silent and now_s - stats.last_success_s > RECENT_SUCCESS_S

    def record_success(self, target: TargetRecord, duration_s: float) -> None:
        """Note a whole answer."""
        stats = self.get(target.target_id)
        stats.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT
        stats.service_s += (duration_s - stats.service_s) * DURATION_WEIGHT
        stats.backoff_s = INITIAL_BACKOFF_S
        stats.backoff_until_s = 0.0
        stats.last_success_s = self.get_time_s()

    def record_generation(
        self, target: TargetRecord, tokens: int, duration_s: float
    ) -> None:
        """Note how long a whole stream took from its first event on."""
        if tokens > 0:
            stats = self.get(target.target_id)
            stats.token_s += (duration_s / tokens - stats.token_s) * DURATION_WEIGHT

    def record_failure(self, target: TargetRecord, is_unreachable: bool) -> None:
        """Note a failed request.

        Args:
            target: Who failed.
            is_unreachable: Whether the target could not be reached at all.
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
        """Note that a target took no request."""
        stats = self.get(target.target_id)
        until_s = self.get_time_s() + REJECTION_BACKOFF_S
        stats.backoff_until_s = max(stats.backoff_until_s, until_s)

    def mark_replaced(self, target: TargetRecord) -> None:
        """Note that another target has the address."""
        self.get(target.target_id).is_replaced = True

    def record_version(self, target: TargetRecord, model: str, version: int) -> None:
        """Note a weight version that an answer told."""
        stats = self.get(target.target_id)
        stats.observed_versions = {
            **(stats.observed_versions or {}),
            model: (version, self.get_time_s()),
        }
