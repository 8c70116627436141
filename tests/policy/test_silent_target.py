"""When a request may leave a silent target."""

from __future__ import annotations

from dataclasses import replace

import testtools

from laburnumpitch.policy.silent_target import RetryOutlook, can_run_elsewhere

GOOD = RetryOutlook(
    runs_left=1,
    has_budget=True,
    is_suspect=False,
    has_other_target=True,
    remaining_s=1.0,
    objective_s=0.5,
)


class CanRunElsewhereTest(testtools.TestCase):
    """Whether another target may run the request."""

    scenarios = [
        ("all_allow_it", {"changes": {}, "expected": True}),
        ("no_run_left", {"changes": {"runs_left": 0}, "expected": False}),
        ("budget_spent", {"changes": {"has_budget": False}, "expected": False}),
        ("may_crash_it", {"changes": {"is_suspect": True}, "expected": False}),
        (
            "no_other_target",
            {"changes": {"has_other_target": False}, "expected": False},
        ),
        ("too_late", {"changes": {"remaining_s": 0.5}, "expected": False}),
        ("past_the_deadline", {"changes": {"remaining_s": -1.0}, "expected": False}),
    ]

    def test_outlook(self) -> None:
        """One reason against it is enough to wait for the silent target."""
        outlook = replace(GOOD, **self.changes)
        self.assertEqual(self.expected, can_run_elsewhere(outlook))
