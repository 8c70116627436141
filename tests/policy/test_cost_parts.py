"""Costs of targets, split into parts."""

from __future__ import annotations

from dataclasses import fields, replace

import testtools

from laburnumpitch.policy.cost_parts import NEUTRAL_STATES, TRANSFER_PART, split_cost
from laburnumpitch.policy.target_selection import TargetCandidate, estimate_cost_s

IDLE = TargetCandidate("t0", 4, 0.0, 0, 0.5, 0.0, False, False, False, False)
LOADED = TargetCandidate(
    "t1",
    4,
    6.0,
    900,
    0.5,
    0.3,
    True,
    True,
    True,
    True,
    cold_start_s=0.4,
    transfer_s=0.2,
)

OTHER_FIELDS = {"target_id", "slots", "service_s", "transfer_s"}
"""Fields of a candidate that are no states of their own with a cost."""


class CostPartTest(testtools.TestCase):
    """Parts of the costs by which targets are chosen."""

    def test_sum(self) -> None:
        """Guards against a state that costs something and is not shown."""
        self.assertEqual({}, split_cost(IDLE, ""))
        parts = split_cost(LOADED, "")
        self.assertEqual({*NEUTRAL_STATES, TRANSFER_PART}, set(parts))
        cost_s = estimate_cost_s(LOADED) + LOADED.transfer_s
        self.assertAlmostEqual(cost_s, sum(parts.values()))

    def test_every_state_has_a_part(self) -> None:
        """A field that is added to candidates is added to the parts, too."""
        neutral = {name for state in NEUTRAL_STATES.values() for name in state}
        names = {field.name for field in fields(TargetCandidate)}
        self.assertEqual(names - OTHER_FIELDS, neutral)

    def test_preferred_target(self) -> None:
        """The target that the context prefers has no cost for its transfer."""
        candidate = replace(IDLE, transfer_s=0.1)
        self.assertEqual({}, split_cost(candidate, "t0"))
        self.assertEqual({TRANSFER_PART: 0.1}, split_cost(candidate, "t1"))
