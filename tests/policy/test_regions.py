"""Combinations of restrictions, and the regions that they allow."""

from __future__ import annotations

import testtools

from laburnumpitch.policy.regions import combine_restrictions, is_region_allowed


class RestrictionTest(testtools.TestCase):
    """Restrictions of a route and of an organisation.

    Guards against the difference between no restriction and nothing allowed being lost.
    """

    scenarios = [
        (name, {"route": route, "organisation": organisation, "expected": expected})
        for name, route, organisation, expected in (
            ("none", (), (), None),
            ("route", ("b", "a"), (), ("a", "b")),
            ("organisation", (), ("a",), ("a",)),
            ("both", ("a", "b"), ("b", "c"), ("b",)),
            ("nothing_in_common", ("a",), ("b",), ()),
        )
    ]

    def test_combined(self) -> None:
        """Both restrictions bind, and an empty one restricts nothing."""
        allowed = combine_restrictions(self.route, self.organisation)
        self.assertEqual(self.expected, allowed)
        for region in ("a", "b", "c", ""):
            is_allowed = self.expected is None or region in self.expected
            self.assertEqual(is_allowed, is_region_allowed(region, allowed))

    def test_unknown_region(self) -> None:
        """No name, not even an empty one, allows a data centre without a region."""
        self.assertFalse(is_region_allowed("", ("", "a")))
