"""Capacity of targets, in small and in large fleets."""

from __future__ import annotations

import testtools

from laburnumpitch.fleet.messages import FleetLoad
from laburnumpitch.policy.capacity import TargetCapacity, has_capacity

NO_LOAD = FleetLoad(0, 0)
LARGE_ENGINE = TargetCapacity(128, 80_000)
SMALL_ENGINE = TargetCapacity(12, 60_000)
PROMPT_TOKENS = 9_000


class CapacityTest(testtools.TestCase):
    """Whether a target has capacity for one more prompt."""

    scenarios = [
        (
            "drained_engine_still_reported_full",
            {
                "own_load": NO_LOAD,
                "other_nodes_load": FleetLoad(60, 400_000),
                "capacity": LARGE_ENGINE,
                "node_count": 9,
                "expected": True,
            },
        ),
        (
            "own_share_is_used",
            {
                "own_load": FleetLoad(2, 2 * PROMPT_TOKENS),
                "other_nodes_load": NO_LOAD,
                "capacity": LARGE_ENGINE,
                "node_count": 9,
                "expected": False,
            },
        ),
        (
            "many_nodes_use_reported_load",
            {
                "own_load": NO_LOAD,
                "other_nodes_load": FleetLoad(24, 20_000),
                "capacity": SMALL_ENGINE,
                "node_count": 66,
                "expected": False,
            },
        ),
        (
            "many_nodes_within_token_limit",
            {
                "own_load": FleetLoad(1, PROMPT_TOKENS),
                "other_nodes_load": FleetLoad(11, 11 * PROMPT_TOKENS),
                "capacity": SMALL_ENGINE,
                "node_count": 66,
                "expected": True,
            },
        ),
        (
            "many_nodes_over_token_limit",
            {
                "own_load": FleetLoad(1, PROMPT_TOKENS),
                "other_nodes_load": FleetLoad(13, 13 * PROMPT_TOKENS),
                "capacity": SMALL_ENGINE,
                "node_count": 66,
                "expected": False,
            },
        ),
        (
            "prompt_larger_than_the_target",
            {
                "own_load": NO_LOAD,
                "other_nodes_load": NO_LOAD,
                "capacity": TargetCapacity(12, 1_000),
                "node_count": 66,
                "expected": True,
            },
        ),
        (
            "without_kept_context",
            {
                "own_load": FleetLoad(1, 0),
                "other_nodes_load": FleetLoad(10, 0),
                "capacity": TargetCapacity(6, None),
                "node_count": 9,
                "expected": True,
            },
        ),
    ]

    def test_has_capacity(self) -> None:
        """One more prompt of 9,000 tokens is accepted or refused as expected."""
        has_free_capacity = has_capacity(
            self.own_load,
            self.other_nodes_load,
            PROMPT_TOKENS,
            self.capacity,
            self.node_count,
        )
        self.assertEqual(self.expected, has_free_capacity)
