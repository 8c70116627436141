"""Which engines load next, which retire before it, and how many load at once."""

from __future__ import annotations

import testtools

from laburnumpitch.policy.rollout import (
    EngineRollout,
    PoolRollout,
    choose_loads,
    choose_retiring,
    get_capacity_floor,
)

LOAD_S = 2.5
"""Time in which one engine loads a version."""

MAX_ROLLOUT_S = 12.0


def make_pool(count: int, loading: int = 0, done: int = 0, floor: float = 0.6):
    """Return a pool whose first engines are done, and whose next ones are loading."""
    engines = tuple(
        EngineRollout(
            f"e{number:02}",
            "2" if number < done else "1",
            done <= number < done + loading,
        )
        for number in range(count)
    )
    return PoolRollout("2", engines, floor, False, count)


class FloorTest(testtools.TestCase):
    """How many engines load at once for the rollout to end in time."""

    scenarios = [
        ("five", {"engine_count": 5, "concurrent_loads": 2}),
        ("thirty", {"engine_count": 30, "concurrent_loads": 11}),
        ("forty_five", {"engine_count": 45, "concurrent_loads": 16}),
        ("one", {"engine_count": 1, "concurrent_loads": 1}),
    ]

    def test_concurrent_loads(self) -> None:
        """Loading all engines in rounds of this size ends within the allowed time."""
        floor = get_capacity_floor(self.engine_count, LOAD_S, MAX_ROLLOUT_S)
        pool = make_pool(self.engine_count, floor=floor)
        chosen = len(choose_loads(pool))
        self.assertEqual(self.concurrent_loads, chosen)
        rounds = -(-self.engine_count // chosen)
        self.assertLess(rounds * LOAD_S, MAX_ROLLOUT_S)

    def test_short_time_keeps_most_serving(self) -> None:
        """However short the allowed time is, more than half keeps serving."""
        floor = get_capacity_floor(self.engine_count, LOAD_S, 0.1)
        allowed = len(choose_loads(make_pool(self.engine_count, floor=floor)))
        self.assertLessEqual(allowed, max(1, self.engine_count // 2))


class RetiringTest(testtools.TestCase):
    """Which engines get short requests only."""

    scenarios = [
        ("at_the_start", {"pool": make_pool(5), "chosen": ["e00", "e01"]}),
        ("beside_loads", {"pool": make_pool(5, loading=2), "chosen": ["e02"]}),
        ("last_ones", {"pool": make_pool(5, loading=1, done=3), "chosen": ["e04"]}),
        ("done", {"pool": make_pool(5, done=5), "chosen": []}),
        ("a_pool_of_one", {"pool": make_pool(1), "chosen": ["e00"]}),
    ]

    def test_chosen(self) -> None:
        """Engines that load next retire, while enough others take all requests."""
        self.assertEqual(self.chosen, choose_retiring(self.pool))
