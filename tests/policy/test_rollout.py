"""Which engines load next, which get ready for it, and how many at once."""

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
VERSION_S = 12.0


def make_pool(count: int, loading: int = 0, done: int = 0, floor: float = 0.6):
    """Return a pool whose first engines have the version, and the next ones load."""
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
    """How many engines load at once so that the rollout ends in time."""

    scenarios = [
        ("five", {"total": 5, "at_once": 2}),
        ("thirty", {"total": 30, "at_once": 11}),
        ("forty_five", {"total": 45, "at_once": 16}),
        ("one", {"total": 1, "at_once": 1}),
    ]

    def test_at_once(self) -> None:
        """Loads of all engines, one after the other in so many lanes, fit."""
        floor = get_capacity_floor(self.total, LOAD_S, VERSION_S)
        pool = make_pool(self.total, floor=floor)
        chosen = len(choose_loads(pool))
        self.assertEqual(self.at_once, chosen)
        rounds = -(-self.total // chosen)
        self.assertLess(rounds * LOAD_S, VERSION_S)

    def test_short_time_keeps_most(self) -> None:
        """However little time there is, more than half keeps serving."""
        floor = get_capacity_floor(self.total, LOAD_S, 0.1)
        allowed = len(choose_loads(make_pool(self.total, floor=floor)))
        self.assertLessEqual(allowed, max(1, self.total // 2))


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
        """Those that load next, as long as enough take all requests."""
        self.assertEqual(self.chosen, choose_retiring(self.pool))
