"""Remembers since when each weight version of a model has been replaced by a newer one.

Every version has an age of its own: a newer one does not make the versions before it
younger.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_VERSIONS = 16
"""Maximum number of versions of one model that are remembered."""

RETAINED_S = 600.0
"""Age above which ages need not be told apart; far longer than a rollout may take."""

WeightAges = Mapping[str, Mapping[int, float]]
"""Seconds since each version was set, by model."""


class WeightHistory:
    """Holds the times at which the weight versions of each model were set."""

    def __init__(self) -> None:
        self.set_at_s: dict[str, dict[int, float]] = {}
        """Monotonic time at which each version was set, by model; rising versions."""

    def record(self, versions: Mapping[str, int], now_s: float) -> None:
        """Record the newest version of each model, if it is not known yet."""
        self.merge(
            {model: {version: 0.0} for model, version in versions.items()}, now_s
        )

    def merge(self, ages: WeightAges, now_s: float) -> None:
        """Add what another node knows; of two ages of a version, the higher one counts.

        Args:
            ages: Ages of versions, by model.
            now_s: Monotonic time.
        """
        for model, model_ages in ages.items():
            times = dict(self.set_at_s.get(model, {}))
            for version, age_s in model_ages.items():
                set_at_s = now_s - max(0.0, age_s)
                times[version] = min(set_at_s, times.get(version, set_at_s))
            self.set_at_s[model] = limit_versions(dict(sorted(times.items())), now_s)

    def get_ages(self, now_s: float) -> dict[str, dict[int, float]]:
        """Return the age of each version, by model."""
        return {
            model: {version: now_s - set_at_s for version, set_at_s in times.items()}
            for model, times in self.set_at_s.items()
        }

    def get_outdated_s(self, model: str, version: int, now_s: float) -> float:
        """Return the time since the first version newer than a given one was set.

        Returns:
            Seconds; 0 if no newer version is known.
        """
        times = self.set_at_s.get(model, {})
        newer = [set_at_s for known, set_at_s in times.items() if known > version]
        return now_s - min(newer) if newer else 0.0


def limit_versions(times: dict[int, float], now_s: float) -> dict[int, float]:
    """Drop the oldest versions that are too many, or whose successor is old enough.

    A successor takes over the time of a version that is dropped because of the number,
    so that older weights never count as younger than they are.
    """
    versions = list(times)
    while len(versions) > 1:
        oldest, successor = versions[:2]
        if len(versions) > MAX_VERSIONS:
            times[successor] = min(times[oldest], times[successor])
        elif now_s - times[successor] < RETAINED_S:
            break
        del times[versions.pop(0)]
    return times
