"""Which builds are on record, and what follows from the record alone."""

from __future__ import annotations

import testtools

from laburnumpitch.fleet.subscriptions import CONTACT_MARGIN_S, MIN_HOLD_S
from laburnumpitch.policy.build_history import (
    MAX_BUILDS,
    MAX_RECORD_AGE_S,
    MIN_TERM_AGE_S,
    RETIREMENT_S,
    BuildHistory,
    infer_build,
)

OLD, NEW = "v1", "v2"


class UpdateTest(testtools.TestCase):
    """One pass over a service's builds."""

    scenarios = [
        ("first", {"present": {OLD}, "expected": {OLD: False}}),
        (
            "two_at_first",
            {"present": {OLD, NEW}, "expected": {OLD: False, NEW: False}},
        ),
        (
            "further_one",
            {
                "on_record": {OLD: True},
                "present": {OLD, NEW},
                "known": {OLD},
                "expected": {OLD: True, NEW: False},
            },
        ),
        (
            "further_one_replaces_all_targets",
            {
                "on_record": {OLD: True},
                "present": {NEW},
                "known": {OLD},
                "expected": {OLD: True, NEW: False},
            },
        ),
        (
            "not_known_everywhere",
            {
                "on_record": {OLD: True, NEW: False},
                "present": {OLD, NEW},
                "known": {OLD},
                "expected": {OLD: True, NEW: False},
            },
        ),
        (
            "known_everywhere",
            {
                "on_record": {OLD: True, NEW: False},
                "present": {OLD, NEW},
                "known": {OLD, NEW},
                "expected": {OLD: True, NEW: True},
            },
        ),
        (
            "stays_active_in_a_new_term",
            {
                "on_record": {OLD: True, NEW: True},
                "present": {OLD, NEW},
                "expected": {OLD: True, NEW: True},
            },
        ),
        (
            "too_many",
            {
                "on_record": {f"b{n}": True for n in range(MAX_BUILDS)},
                "present": {"b0", NEW},
                "expected": {f"b{n}": True for n in range(MAX_BUILDS)},
            },
        ),
    ]
    on_record: dict[str, bool] = {}
    known: set[str] = set()

    def test_update(self) -> None:
        """A further build is recorded first, and begins streams once all know it."""
        builds = BuildHistory().update(self.on_record, self.present, self.known, 0.0)
        self.assertEqual(self.expected, builds)


class RetirementTest(testtools.TestCase):
    """A build whose last target has left."""

    def test_retirement(self) -> None:
        """It stays on record for a long time, which a target that returns restarts."""
        history = BuildHistory()
        on_record = {OLD: True, NEW: True}
        both = {OLD, NEW}
        steps = [
            (0.0, both, on_record),
            (RETIREMENT_S / 2, {NEW}, on_record),
            (RETIREMENT_S - 1.0, both, on_record),
            (RETIREMENT_S + 1.0, {NEW}, on_record),
            (2 * RETIREMENT_S - 2.0, {NEW}, on_record),
            (2 * RETIREMENT_S, {NEW}, {NEW: True}),
        ]
        for now_s, present, expected in steps:
            self.assertEqual(
                expected, history.update(on_record, present, both, now_s), now_s
            )


class InferBuildTest(testtools.TestCase):
    """What a node concludes without a stream's origin."""

    scenarios = [
        ("one", {"on_record": {OLD: True}, "expected": OLD}),
        ("two", {"on_record": {OLD: True, NEW: True}}),
        ("second_begins_no_streams_yet", {"on_record": {OLD: True, NEW: False}}),
        ("none", {"on_record": {}}),
        ("old_record", {"on_record": {OLD: True}, "age_s": MAX_RECORD_AGE_S}),
    ]
    age_s = MAX_RECORD_AGE_S - 0.1
    expected: str | None = None

    def test_infer_build(self) -> None:
        """Only a single build on a fresh record is certain."""
        self.assertEqual(self.expected, infer_build(self.on_record, self.age_s))

    def test_bounds(self) -> None:
        """A node that the leader does not wait for relies on the record no more."""
        self.assertLess(MAX_RECORD_AGE_S, MIN_HOLD_S + CONTACT_MARGIN_S)
        self.assertLess(MAX_RECORD_AGE_S, MIN_TERM_AGE_S)
