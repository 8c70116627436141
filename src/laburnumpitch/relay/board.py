"""What this node itself has seen of each target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..fleet.messages import FleetLoad, TargetRecord
from ..logging import get_logger

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in a target's failure rate."""

TIME_WEIGHT = 0.1
"""Weight of the newest answer in a target's usual time."""

FIRST_SERVICE_S = 0.1
"""Usual time of a request before any was seen."""

FIRST_TOKEN_S = 0.005
"""Time for a token that a request may generate, before any was seen."""

SUSPECT_S = 0.4
"""First time for which a target that cannot be reached is avoided."""

MAX_SUSPECT_S = 4.0
"""Longest such time; a trial follows it."""

TRUST_S = 2.0
"""Time for which an answer shows that a target serves, though nobody hears it."""

FULL_S = 0.05
"""Time for which a target that says it is full is avoided."""


@dataclass
class Seen:
    """This node's record of one target."""

    running: int = 0
    running_tokens: int = 0
    unread_tokens: int = 0
    failure_rate: float = 0.0
    service_s: float = FIRST_SERVICE_S
    token_s: float = FIRST_TOKEN_S
    """Usual time for each token that a request may generate."""
    suspect_until_s: float = 0.0
    suspect_s: float = SUSPECT_S
    served_s: float = float("-inf")
    """When the target last answered whole."""
    is_replaced: bool = False
    """Whether another target was met at its address."""
    versions: dict[str, tuple[int, float]] | None = None
    """Weight version by model as an answer told it, and when."""


class TargetBoard:
    """This node's records of all targets.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float]) -> None:
        self.get_time_s = get_time_s
        self.seen: dict[str, Seen] = {}
        self.changed = asyncio.Event()
        self.log = get_logger()

    def get(self, target_id: str) -> Seen:
        """Return the record of a target."""
        seen = self.seen.get(target_id)
        if seen is None:
            seen = self.seen[target_id] = Seen()
        return seen

    def retain(self, target_ids: set[str]) -> None:
        """Forget targets that are gone and run nothing for this node."""
        for target_id, seen in list(self.seen.items()):
            if target_id not in target_ids and not seen.running:
                del self.seen[target_id]
        self.wake()

    def get_loads(self) -> dict[str, FleetLoad]:
        """Return what this node has at targets."""
        return {
            target_id: FleetLoad(seen.running, seen.running_tokens)
            for target_id, seen in self.seen.items()
            if seen.running
        }

    def wake(self) -> None:
        """Let waiting requests look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def begin(self, target: TargetRecord, tokens: int) -> None:
        """Note that a request goes to a target."""
        seen = self.get(target.target_id)
        seen.running += 1
        seen.running_tokens += tokens
        seen.unread_tokens += tokens

    def note_first(self, target: TargetRecord, tokens: int) -> None:
        """Note that a request's prompt has been read."""
        self.get(target.target_id).unread_tokens -= tokens

    def end(self, target: TargetRecord, tokens: int) -> None:
        """Note that a request has left a target."""
        seen = self.get(target.target_id)
        seen.running -= 1
        seen.running_tokens -= tokens
        self.wake()

    def is_suspect(self, target: TargetRecord) -> bool:
        """Whether a target failed this node a moment ago."""
        return self.get(target.target_id).suspect_until_s > self.get_time_s()

    def is_doubtful(self, target: TargetRecord) -> bool:
        """Whether a target may be dark: nobody hears it, and it serves nobody here."""
        seen = self.get(target.target_id)
        now_s = self.get_time_s()
        if seen.suspect_until_s > now_s or seen.suspect_s > SUSPECT_S:
            return True
        return target.is_silent and now_s - seen.served_s > TRUST_S

    def note_success(self, target: TargetRecord, duration_s: float) -> None:
        """Note a whole answer."""
        seen = self.get(target.target_id)
        seen.failure_rate *= 1.0 - FAILURE_WEIGHT
        seen.service_s += (duration_s - seen.service_s) * TIME_WEIGHT
        seen.suspect_s = SUSPECT_S
        seen.suspect_until_s = 0.0
        seen.served_s = self.get_time_s()

    def note_generated(
        self, target: TargetRecord, tokens: int, duration_s: float
    ) -> None:
        """Note how long a whole stream took from its first event on."""
        if tokens > 0:
            seen = self.get(target.target_id)
            seen.token_s += (duration_s / tokens - seen.token_s) * TIME_WEIGHT

    def note_failure(self, target: TargetRecord, is_unreachable: bool) -> None:
        """Note a failed request.

        Args:
            target: Who failed.
            is_unreachable: Whether the target could not be reached at all.
        """
        seen = self.get(target.target_id)
        seen.failure_rate += (1.0 - seen.failure_rate) * FAILURE_WEIGHT
        if is_unreachable:
            now_s = self.get_time_s()
            seen.suspect_until_s = now_s + seen.suspect_s
            seen.suspect_s = min(MAX_SUSPECT_S, seen.suspect_s * 2)
            self.log.info(
                "target_suspect",
                target=target.target_id,
                until_s=round(seen.suspect_until_s - now_s, 2),
            )

    def note_full(self, target: TargetRecord) -> None:
        """Note that a target took no request."""
        seen = self.get(target.target_id)
        until_s = self.get_time_s() + FULL_S
        seen.suspect_until_s = max(seen.suspect_until_s, until_s)

    def note_replaced(self, target: TargetRecord) -> None:
        """Note that another target has the address."""
        self.get(target.target_id).is_replaced = True

    def note_version(self, target: TargetRecord, model: str, version: int) -> None:
        """Note a weight version that an answer told."""
        seen = self.get(target.target_id)
        seen.versions = {**(seen.versions or {}), model: (version, self.get_time_s())}
