"""Decides which engines load a new weight version next.

Answers a version that is named under load: an engine takes nothing new from its order
to the end of its longest stream and of the load. So the engines that come next get
short requests only for a while before, and no more engines load at once than the time
for the whole rollout asks for.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_LOADING_SHARE = 0.4
"""Share of a pool's engines that may load at once, however little time there is."""

MAX_AWAY_SHARE = 0.6
"""Share of a pool's engines that load, or get short requests only."""

ROLLOUT_SHARE = 0.6
"""Part of the time for a version that a rollout is meant to take: orders are lost, and
holders change meanwhile."""


@dataclass(frozen=True)
class EngineVersion:
    """An engine as the rollout sees it."""

    target_id: str
    weight_version: str
    is_loading: bool
    is_backing_off: bool = False
    """Whether its last load failed a short time ago."""


@dataclass(frozen=True)
class PoolRollout:
    """The state of one pool's rollout."""

    wanted_version: str
    engines: tuple[EngineVersion, ...]
    capacity_floor: float
    """Share of the engines that keep serving."""
    is_paused: bool
    free_loads: int
    """Loads that the weight store still allows."""


def count_allowed_loads(pool: PoolRollout) -> int:
    """Return how many engines of a pool may load at once.

    One engine may always load if the floor is below the whole pool, since a
    pool of one could never change its version otherwise.
    """
    total = len(pool.engines)
    kept = math.ceil(pool.capacity_floor * total)
    least = 1 if pool.capacity_floor < 1 else 0
    return max(least, total - kept)


def list_behind(pool: PoolRollout) -> list[str]:
    """Return the engines that lack the version and may be ordered to load it."""
    return [
        engine.target_id
        for engine in sorted(pool.engines, key=lambda engine: engine.target_id)
        if engine.weight_version != pool.wanted_version
        and not engine.is_loading
        and not engine.is_backing_off
    ]


def choose_loads(pool: PoolRollout) -> list[str]:
    """Return the engines to order now."""
    if pool.is_paused:
        return []
    loading = sum(engine.is_loading for engine in pool.engines)
    room = min(count_allowed_loads(pool) - loading, pool.free_loads)
    return list_behind(pool)[: max(0, room)]


def get_capacity_floor(total: int, load_s: float, version_s: float) -> float:
    """Return the share of a pool that has to keep serving through a rollout.

    Args:
        total: Engines of the pool.
        load_s: Time that an engine is away for a load.
        version_s: Time in which all engines must have a version.
    """
    at_once = math.ceil(total * load_s / (version_s * ROLLOUT_SHARE))
    return 1.0 - min(at_once / max(1, total), MAX_LOADING_SHARE)


def choose_retiring(pool: PoolRollout) -> list[str]:
    """Return the engines that come next, which should get short requests only."""
    allowed = count_allowed_loads(pool)
    loading = sum(engine.is_loading for engine in pool.engines)
    away = max(1, math.floor(len(pool.engines) * MAX_AWAY_SHARE))
    return list_behind(pool)[: max(0, min(allowed, away - loading))]
