"""A schedule of faults, random from a fixed seed, under load in each deployment."""

from __future__ import annotations

import testtools

from harness.deployment import PARAFINA, STILEPATH
from harness.fault_run import run_once

SEED = 1
DURATION_S = 20.0


class FaultScheduleTest(testtools.TestCase):
    """The properties that recorded requests and answers can show."""

    scenarios = [
        ("parafina", {"deployment": PARAFINA}),
        ("stilepath", {"deployment": STILEPATH}),
    ]

    def test_properties(self) -> None:
        """No property is violated, and each one was checked."""
        outcome = run_once(self.deployment, SEED, DURATION_S)
        for verdict in outcome.verdicts:
            self.assertEqual([], verdict.violations, verdict.name)
        checked = {verdict.name: verdict.checked for verdict in outcome.verdicts}
        for name in ("whole_right_answers", "at_most_once", "configuration_in_force"):
            self.assertGreater(checked[name], 0)
        print(outcome.history.summarise())
