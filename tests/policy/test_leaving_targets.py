"""Targets that were used after they had said that they are leaving."""

from __future__ import annotations

import testscenarios
import testtools

from laburnumpitch.policy.leaving_targets import (
    DRAIN_S,
    LAST_RESORT_SHARE,
    find_usable,
)

LAST_RESORT_S = DRAIN_S * LAST_RESORT_SHARE
EARLY_S = LAST_RESORT_S / 2

CASES = [
    ("no_target", [], []),
    ("none_leaves", [None, None], [0, 1]),
    ("others_are_left", [0.0, None, EARLY_S], [1]),
    ("other_is_left_after_the_time", [DRAIN_S, None], [1]),
    ("all_leave", [0.0, EARLY_S], [0, 1]),
    ("time_of_one_has_passed", [DRAIN_S, EARLY_S], [1]),
    ("time_of_all_has_passed", [DRAIN_S, DRAIN_S * 2], []),
    ("last_moment", [LAST_RESORT_S], []),
]


class FindUsableTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """Which targets may get new requests."""

    scenarios = [
        (name, {"ages_s": ages_s, "expected": expected})
        for name, ages_s, expected in CASES
    ]

    def test_usable(self) -> None:
        """Leaving targets were used beside others, or for too long."""
        self.assertEqual(self.expected, find_usable(self.ages_s))

    def test_longer_drain(self) -> None:
        """The time follows from the deployment's settings."""
        ages_s = [age_s and age_s * 3 for age_s in self.ages_s]
        self.assertEqual(self.expected, find_usable(ages_s, DRAIN_S * 3))


class LastResortTest(testtools.TestCase):
    """For how long a target is used as the last resort."""

    def test_ends_before_the_drain(self) -> None:
        """A request could still reach the target after it has drained."""
        self.assertLess(LAST_RESORT_S, DRAIN_S)
