"""The order in which engines load, replayed with versions set in succession."""

from __future__ import annotations

import testtools

from laburnumpitch.policy.load_queue import LoadQueue
from laburnumpitch.policy.rollout import (
    EngineRollout,
    PoolRollout,
    choose_loads,
    get_capacity_floor,
)

STEP_S = 0.1
LOAD_S = 2.5
MAX_ROLLOUT_S = 12.0


class Replay:
    """Engines that load versions set at an interval.

    Args:
        engine_count: Number of engines.
        interval_s: Time between two versions.
        versions: Number of versions that are set.
        failing: Engines whose loads fail.
    """

    def __init__(
        self, engine_count: int, interval_s: float, versions: int, failing: set[str]
    ) -> None:
        self.engines = {f"e{number:02}": 1 for number in range(engine_count)}
        self.interval_s = interval_s
        self.last_version = 1 + versions
        self.failing = failing
        self.queue = LoadQueue()
        self.loads: dict[str, tuple[int, float]] = {}
        """Version and end of the loads in progress."""
        self.max_outdated_s: dict[str, float] = dict.fromkeys(self.engines, 0.0)

    def run(self, duration_s: float) -> None:
        """Play the given time."""
        for step in range(round(duration_s / STEP_S)):
            now_s = step * STEP_S
            self.end_loads(now_s)
            desired = min(self.last_version, 2 + int(now_s / self.interval_s))
            for target_id, version in self.engines.items():
                if version < desired:
                    outdated_s = now_s - (version - 1) * self.interval_s
                    longest_s = max(self.max_outdated_s[target_id], outdated_s)
                    self.max_outdated_s[target_id] = longest_s
            for target_id in choose_loads(self.make_pool(desired, now_s)):
                self.loads[target_id] = (desired, now_s + LOAD_S)

    def make_pool(self, desired: int, now_s: float) -> PoolRollout:
        """Return the pool as the policy takes it."""
        engines = tuple(
            EngineRollout(
                target_id,
                str(version),
                target_id in self.loads,
                waiting_s=self.queue.update(
                    target_id, str(version), str(desired), now_s
                ),
            )
            for target_id, version in self.engines.items()
        )
        count = len(engines)
        floor = get_capacity_floor(count, LOAD_S, MAX_ROLLOUT_S)
        return PoolRollout(str(desired), engines, floor, False, count)

    def end_loads(self, now_s: float) -> None:
        """End the loads that are due."""
        for target_id, (version, end_s) in list(self.loads.items()):
            if now_s >= end_s:
                del self.loads[target_id]
                if target_id in self.failing:
                    self.queue.record_failure(target_id, now_s)
                else:
                    self.engines[target_id] = version


class SuccessionTest(testtools.TestCase):
    """Versions that are set faster than all engines can load them."""

    scenarios = [
        ("five", {"engine_count": 5, "failing": set()}),
        ("eighteen", {"engine_count": 18, "failing": set()}),
        ("one_fails", {"engine_count": 5, "failing": {"e00"}}),
    ]

    def test_no_engine_is_left_behind(self) -> None:
        """No engine keeps an outdated version for longer than a rollout may take."""
        replay = Replay(self.engine_count, 3.0, 10, self.failing)
        replay.run(45.0)
        for target_id, outdated_s in replay.max_outdated_s.items():
            if target_id not in self.failing:
                self.assertLess(outdated_s, MAX_ROLLOUT_S, target_id)
                self.assertEqual(11, replay.engines[target_id])


class QueueTest(testtools.TestCase):
    """Since when an engine waits."""

    def test_waits_from_its_outdated_version(self) -> None:
        """A queue that begins anew goes on from the age of the engine's version."""
        queue = LoadQueue()
        self.assertEqual(7.0, queue.update("e0", "1", "3", 100.0, outdated_s=7.0))
        self.assertEqual(8.0, queue.update("e0", "1", "4", 101.0, outdated_s=8.0))
        self.assertEqual(0.0, queue.update("e0", "4", "4", 102.0))
        self.assertEqual(0.0, queue.update("e0", "4", "5", 110.0))

    def test_retain(self) -> None:
        """Engines that are gone are forgotten."""
        queue = LoadQueue()
        queue.update("e0", "1", "2", 0.0)
        queue.update("e1", "1", "2", 0.0)
        queue.retain(["e1"])
        self.assertEqual(["e1"], list(queue.waiting))
