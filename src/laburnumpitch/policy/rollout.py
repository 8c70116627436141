"""Decides which engines load a new weight version next.

From the order to load until its longest stream and the load have ended, an engine
accepts no new requests. To shorten that time and keep enough engines serving, engines
that load next get only short requests for a while before, and no more engines load at
once than the time for the whole rollout requires.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_LOADING_SHARE = 0.4
"""Upper bound of the share of a pool that loads at once, however little time the
rollout may take."""

MAX_LOADING_OR_RETIRING_SHARE = 0.6
"""Upper bound of the share of a pool that loads or gets only short requests."""

ROLLOUT_TIME_SHARE = 0.6
"""Part of the allowed rollout time that is planned for. The rest is reserve for lost
orders and leader changes."""


@dataclass(frozen=True)
class EngineRollout:
    """The state of one engine in a rollout."""

    target_id: str
    weight_version: str
    is_loading: bool
    is_load_deferred: bool = False
    """Whether it must not be ordered to load yet, for example because its last load
    failed a short time ago."""
    waiting_s: float = 0.0
    """Time for which it has waited for the desired version."""


@dataclass(frozen=True)
class PoolRollout:
    """The state of a rollout in one pool."""

    desired_version: str
    engines: tuple[EngineRollout, ...]
    capacity_floor: float
    """Smallest share of the engines that must keep serving."""
    is_paused: bool
    free_loads: int
    """Number of further concurrent loads that the weight store allows."""


def count_allowed_loads(pool: PoolRollout) -> int:
    """Return how many engines of a pool may load at once.

    If the floor is less than the whole pool, at least one engine may load. Otherwise a
    pool of one engine could never change its version.
    """
    engine_count = len(pool.engines)
    serving_engines = math.ceil(pool.capacity_floor * engine_count)
    min_loads = 1 if pool.capacity_floor < 1 else 0
    return max(min_loads, engine_count - serving_engines)


def list_load_candidates(pool: PoolRollout) -> list[str]:
    """Return the engines without the desired version that may be ordered to load it.

    Those that have waited longest come first. In a fixed order, versions that are set
    in quick succession would keep the last engines on the first version.
    """
    return [
        engine.target_id
        for engine in sorted(pool.engines, key=lambda e: (-e.waiting_s, e.target_id))
        if engine.weight_version != pool.desired_version
        and not engine.is_loading
        and not engine.is_load_deferred
    ]


def choose_loads(pool: PoolRollout) -> list[str]:
    """Return the engines to order to load now."""
    if pool.is_paused:
        return []
    loading = sum(engine.is_loading for engine in pool.engines)
    startable_loads = min(count_allowed_loads(pool) - loading, pool.free_loads)
    return list_load_candidates(pool)[: max(0, startable_loads)]


def get_capacity_floor(engine_count: int, load_s: float, max_rollout_s: float) -> float:
    """Return the share of a pool that must keep serving during a rollout.

    Args:
        engine_count: Number of engines in the pool.
        load_s: Time for which an engine does not serve during a load.
        max_rollout_s: Time within which all engines must have the version.
    """
    concurrent_loads = math.ceil(
        engine_count * load_s / (max_rollout_s * ROLLOUT_TIME_SHARE)
    )
    return 1.0 - min(concurrent_loads / max(1, engine_count), MAX_LOADING_SHARE)


def choose_retiring(pool: PoolRollout) -> list[str]:
    """Return the engines that load next, which should get only short requests."""
    allowed = count_allowed_loads(pool)
    loading = sum(engine.is_loading for engine in pool.engines)
    max_loading_or_retiring = max(
        1, math.floor(len(pool.engines) * MAX_LOADING_OR_RETIRING_SHARE)
    )
    return list_load_candidates(pool)[
        : max(0, min(allowed, max_loading_or_retiring - loading))
    ]
