"""Ages of weight versions that are set one after another, and pass between nodes."""

from __future__ import annotations

import testtools

from laburnumpitch.policy.weight_history import (
    MAX_VERSIONS,
    RETAINED_S,
    WeightHistory,
)

MODEL = "m"


class OutdatedTest(testtools.TestCase):
    """Versions 2 to 5, set at 1, 4, 7 and 10 s, and seen at 11 s."""

    scenarios = [
        ("first", {"version": 1, "outdated_s": 10.0}),
        ("between", {"version": 3, "outdated_s": 4.0}),
        ("one_before", {"version": 4, "outdated_s": 1.0}),
        ("newest", {"version": 5, "outdated_s": 0.0}),
        ("not_set_yet", {"version": 6, "outdated_s": 0.0}),
    ]

    def test_age_counts_from_the_first_newer_version(self) -> None:
        """Versions that are set later do not make an outdated one younger."""
        history = WeightHistory()
        for number, time_s in enumerate((1.0, 4.0, 7.0, 10.0)):
            history.record({MODEL: number + 2}, time_s)
        self.assertEqual(
            self.outdated_s, history.get_outdated_s(MODEL, self.version, 11.0)
        )
        self.assertEqual(0.0, history.get_outdated_s("other", self.version, 11.0))


class MergeTest(testtools.TestCase):
    """Ages that a node takes over from another one."""

    def test_restarted_node(self) -> None:
        """A node that starts later counts from the time at which others heard."""
        leader, node = WeightHistory(), WeightHistory()
        leader.record({MODEL: 2}, 0.0)
        leader.record({MODEL: 3}, 8.0)
        # The clock of the other node starts anew.
        node.merge(leader.get_ages(11.0), 500.0)
        node.record({MODEL: 3}, 500.0)
        self.assertEqual(11.0, node.get_outdated_s(MODEL, 1, 500.0))
        self.assertEqual(3.0, node.get_outdated_s(MODEL, 2, 500.0))

    def test_higher_age_counts(self) -> None:
        """A node that heard later does not make a version younger."""
        history = WeightHistory()
        history.record({MODEL: 2}, 0.0)
        history.merge({MODEL: {2: 1.0}}, 5.0)
        self.assertEqual(5.0, history.get_outdated_s(MODEL, 1, 5.0))
        history.merge({MODEL: {2: 7.0}}, 5.0)
        self.assertEqual(7.0, history.get_outdated_s(MODEL, 1, 5.0))


class BoundTest(testtools.TestCase):
    """The number of versions that are remembered."""

    def test_many_versions(self) -> None:
        """Too many versions in a short time never make old weights younger."""
        history = WeightHistory()
        for version in range(2, 2 + 3 * MAX_VERSIONS):
            history.record({MODEL: version}, version * 0.1)
        self.assertEqual(MAX_VERSIONS, len(history.set_at_s[MODEL]))
        self.assertAlmostEqual(9.8, history.get_outdated_s(MODEL, 1, 10.0))

    def test_old_versions(self) -> None:
        """Of the versions that are old enough, the newest one is kept."""
        history = WeightHistory()
        for number in range(3):
            history.record({MODEL: number + 2}, float(number))
        history.record({MODEL: 5}, RETAINED_S + 10.0)
        self.assertEqual([4, 5], list(history.set_at_s[MODEL]))
