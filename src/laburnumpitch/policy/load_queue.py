"""Orders the engines that lack the desired weight version by how long they wait.

An engine that has waited longest loads first, however many versions are set meanwhile.
After a failed load it waits anew, so that it does not keep the others from loading.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class WaitingEngine:
    """An engine without the desired version."""

    weight_version: str
    since_s: float
    """Monotonic time since when it waits."""


class LoadQueue:
    """Holds since when each engine has waited for a load."""

    def __init__(self) -> None:
        self.waiting: dict[str, WaitingEngine] = {}

    def update(
        self,
        target_id: str,
        weight_version: str,
        desired_version: str,
        now_s: float,
        outdated_s: float = 0.0,
    ) -> float:
        """Update an engine's version and return the time for which it has waited.

        Args:
            target_id: The engine.
            weight_version: Version that it has.
            desired_version: Version that it should have.
            now_s: Monotonic time.
            outdated_s: Time for which its version has been outdated, if that is known;
                counts when the engine begins to wait.

        Returns:
            Seconds; 0 for an engine that has the desired version.
        """
        if weight_version == desired_version:
            self.waiting.pop(target_id, None)
            return 0.0
        engine = self.waiting.get(target_id)
        if engine is None or engine.weight_version != weight_version:
            engine = WaitingEngine(weight_version, now_s - outdated_s)
            self.waiting[target_id] = engine
        return now_s - engine.since_s

    def record_failure(self, target_id: str, now_s: float) -> None:
        """Let an engine whose load failed wait anew."""
        engine = self.waiting.get(target_id)
        if engine is not None:
            self.waiting[target_id] = WaitingEngine(engine.weight_version, now_s)

    def retain(self, target_ids: Iterable[str]) -> None:
        """Forget all engines except the given ones."""
        for target_id in set(self.waiting).difference(target_ids):
            del self.waiting[target_id]

    def clear(self) -> None:
        """Forget all engines."""
        self.waiting.clear()
