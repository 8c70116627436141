"""Targets that got requests although they had asked for none, or none for ever."""

from __future__ import annotations

import testscenarios
import testtools

from laburnumpitch.policy.shedding_targets import (
    ShedPeriod,
    find_usable,
    make_period,
)

NOW_S = 100.0
BEGUN = ShedPeriod(99.0, 110.0)
HALF_OVER = ShedPeriod(90.0, 110.0)
TRIED = ShedPeriod(90.0, 110.0, has_tried=True)
ENDED = ShedPeriod(80.0, 100.0, has_tried=True)

CASES = [
    ("no_target", [], []),
    ("none_sheds", [None, None], [0, 1]),
    ("others_are_left", [BEGUN, None, HALF_OVER], [1]),
    ("time_of_one_has_ended", [BEGUN, ENDED, HALF_OVER], [1]),
    ("too_early_for_a_trial", [BEGUN, BEGUN], []),
    ("trial", [BEGUN, HALF_OVER], [1]),
    ("trial_was_made", [TRIED, BEGUN], []),
]


class FindUsableTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """Which targets may get a request."""

    scenarios = [
        (name, {"periods": periods, "expected": expected})
        for name, periods, expected in CASES
    ]

    def test_usable(self) -> None:
        """A target got a request that it had asked not to get, or never a trial."""
        self.assertEqual(self.expected, find_usable(self.periods, NOW_S))


class MakePeriodTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """The period after an answer that asks for no requests."""

    scenarios = [
        ("first", {"current": None, "share": 0.0, "expected": (100.0, 104.0, False)}),
        ("spread", {"current": None, "share": 1.0, "expected": (100.0, 105.0, False)}),
        (
            "after_another",
            {"current": ENDED, "share": 0.0, "expected": (100, 104, False)},
        ),
        ("shorter", {"current": BEGUN, "share": 0.0, "expected": (99.0, 110.0, False)}),
        ("after_trial", {"current": TRIED, "share": 0.0, "expected": (90, 110, True)}),
    ]

    def test_period(self) -> None:
        """A period ended early, or another one allowed one more trial."""
        period = make_period(NOW_S, 4.0, self.share, self.current)
        self.assertEqual(ShedPeriod(*self.expected), period)
