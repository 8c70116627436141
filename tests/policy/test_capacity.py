"""Places at targets, on small and on large fleets."""

from __future__ import annotations

import testtools

from laburnumpitch.fleet.messages import FleetLoad
from laburnumpitch.policy.capacity import TargetCapacity, has_capacity

NOTHING = FleetLoad(0, 0)
LARGE_ENGINE = TargetCapacity(128, 80_000)
SMALL_ENGINE = TargetCapacity(12, 60_000)
PROMPT = 9_000


class RoomTest(testtools.TestCase):
    """Whether there is a place for one more prompt."""

    scenarios = [
        (
            "drained_engine_reported_full",
            {
                "own": NOTHING,
                "others": FleetLoad(60, 400_000),
                "room": LARGE_ENGINE,
                "nodes": 9,
                "expected": True,
            },
        ),
        (
            "own_share_is_used",
            {
                "own": FleetLoad(2, 2 * PROMPT),
                "others": NOTHING,
                "room": LARGE_ENGINE,
                "nodes": 9,
                "expected": False,
            },
        ),
        (
            "many_nodes_go_by_reports",
            {
                "own": NOTHING,
                "others": FleetLoad(24, 20_000),
                "room": SMALL_ENGINE,
                "nodes": 66,
                "expected": False,
            },
        ),
        (
            "many_nodes_tokens",
            {
                "own": FleetLoad(1, PROMPT),
                "others": FleetLoad(11, 11 * PROMPT),
                "room": SMALL_ENGINE,
                "nodes": 66,
                "expected": True,
            },
        ),
        (
            "many_nodes_tokens_full",
            {
                "own": FleetLoad(1, PROMPT),
                "others": FleetLoad(13, 13 * PROMPT),
                "room": SMALL_ENGINE,
                "nodes": 66,
                "expected": False,
            },
        ),
        (
            "prompt_larger_than_the_target",
            {
                "own": NOTHING,
                "others": NOTHING,
                "room": TargetCapacity(12, 1_000),
                "nodes": 66,
                "expected": True,
            },
        ),
        (
            "without_kept_context",
            {
                "own": FleetLoad(1, 0),
                "others": FleetLoad(10, 0),
                "room": TargetCapacity(6, None),
                "nodes": 9,
                "expected": True,
            },
        ),
    ]

    def test_room(self) -> None:
        """The place is given or not."""
        found = has_capacity(self.own, self.others, PROMPT, self.room, self.nodes)
        self.assertEqual(self.expected, found)
