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

MAX_LOADING_OR_RETIRING_SHARE = 0.6
"""Share of a pool's engines that load, or get short requests only."""

ROLLOUT_TIME_SHARE = 0.6
"""Part of the time for a version that a rollout is meant to take: orders are lost, and
holders change meanwhile."""


@dataclass(frozen=True)
class EngineRollout:
    """An engine as the rollout sees it."""

    target_id: str
    weight_version: str
    is_loading: bool
    is_load_deferred: bool = False
    """Whether its last load failed a short time ago."""


@dataclass(frozen=True)
class PoolRollout:
    """The state of one pool's rollout."""

    desired_version: str
    engines: tuple[EngineRollout, ...]
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
    engine_count = len(pool.engines)
    serving_engines = math.ceil(pool.capacity_floor * engine_count)
    min_loads = 1 if pool.capacity_floor < 1 else 0
    return max(min_loads, engine_count - serving_engines)


def list_outdated(pool: PoolRollout) -> list[str]:
    """Return the engines that lack the version and may be ordered to load it."""
    return [
        engine.target_id
        for engine in sorted(pool.engines, key=lambda engine: engine.target_id)
        if engine.weight_version != pool.desired_version
        and not engine.is_loading
        and not engine.is_load_deferred
    ]


def choose_loads(pool: PoolRollout) -> list[str]:
    """Return the engines to order now."""
    if pool.is_paused:
        return []
    loading = sum(engine.is_loading for engine in pool.engines)
    startable_loads = min(count_allowed_loads(pool) - loading, pool.free_loads)
    return list_outdated(pool)[: max(0, startable_loads)]


def get_capacity_floor(engine_count: int, load_s: float, max_rollout_s: float) -> float:
    """Return the share of a pool that has to keep serving through a rollout.

    Args:
        total: Engines of the pool.
        load_s: Time that an engine is away for a load.
        version_s: Time in which all engines must have a version.
    """
    concurrent_loads = math.ceil(
        engine_count * load_s / (max_rollout_s * ROLLOUT_TIME_SHARE)
    )
    return 1.0 - min(concurrent_loads / max(1, engine_count), MAX_LOADING_SHARE)


def choose_retiring(pool: PoolRollout) -> list[str]:
    """Return the engines that come next, which should get short requests only."""
    allowed = count_allowed_loads(pool)
    loading = sum(engine.is_loading for engine in pool.engines)
    max_loading_or_retiring = max(
        1, math.floor(len(pool.engines) * MAX_LOADING_OR_RETIRING_SHARE)
    )
    return list_outdated(pool)[
        : max(0, min(allowed, max_loading_or_retiring - loading))
    ]
