"""Decides when a request may go to a target that is possibly unreachable.

With a quarter of the engines silent, the others are full. Requests that wait would all
try the silent ones, lose their time and come too late even where a slot becomes free.
"""

from __future__ import annotations

from collections.abc import Sequence

from .target_selection import TargetCandidate

PROBE_INTERVAL_S = 1.0
"""Time between two requests that are sent to a target to see whether it answers."""


class ProbeSchedule:
    """The last probes of the targets of all services."""

    def __init__(self) -> None:
        self.probed_s: dict[str, float] = {}
        """When a request was last sent to a target as a probe."""

    def select(
        self, candidates: Sequence[TargetCandidate], are_others_full: bool, now_s: float
    ) -> Sequence[TargetCandidate]:
        """Return the candidates that a request may be sent to, which may be a probe.

        Args:
            candidates: Targets with capacity.
            are_others_full: Whether reachable targets exist that have no capacity.
            now_s: Monotonic time.
        """
        found = self.find_open(candidates, are_others_full, now_s)
        if are_others_full and found and found[0].is_possibly_unreachable:
            self.probed_s[found[0].target_id] = now_s
        return found

    def find_open(
        self, candidates: Sequence[TargetCandidate], are_others_full: bool, now_s: float
    ) -> Sequence[TargetCandidate]:
        """Return the candidates that a request may be sent to, and record no probe."""
        reachable = [c for c in candidates if not c.is_possibly_unreachable]
        if reachable:
            return reachable
        if not are_others_full:
            # Distrust never leaves a service without targets.
            return candidates
        for candidate in candidates:
            if candidate.running:
                continue
            last_s = self.probed_s.get(candidate.target_id)
            if last_s is None or now_s - last_s >= PROBE_INTERVAL_S:
                return [candidate]
        return []

    def retain(self, target_ids: set[str]) -> None:
        """Drop targets that no longer exist."""
        for target_id in set(self.probed_s) - target_ids:
            del self.probed_s[target_id]
