"""Shares of a cold engine's limit."""

from __future__ import annotations

import testscenarios
import testtools

from laburnumpitch.policy.cold_admission import (
    GRANT_WINDOW_S,
    LOCAL_SENDERS,
    TAKEOVER_WAIT_S,
    VIEW_FACTOR,
    ColdBounds,
    GrantAllowance,
    LocalAllowance,
    choose_local_senders,
    may_grant,
)

STEP_S = 0.001
LONG_S = 60.0
HOSTS = [f"10.0.0.{number}" for number in range(91)]


def count_most(times_s: list[float], window_s: float) -> int:
    """Return the most events in any window."""
    return max(sum(s <= t < s + window_s for t in times_s) for s in times_s)


class SharesTest(testtools.TestCase):
    """All who may send do so as soon and as often as they may."""

    scenarios = testscenarios.multiply_scenarios(
        [(f"rate_{r}", {"rate_per_s": r}) for r in (0.5, 1.0, 1.7, 2.0, 5.9, 15.0)],
        [
            ("usual", {"bounds": ColdBounds()}),
            ("no_slack", {"bounds": ColdBounds(1.5, 0.0)}),
            ("exact", {"bounds": ColdBounds(1.0, 0.0)}),
            ("wide", {"bounds": ColdBounds(3.0, 40.0)}),
        ],
    )

    def test_sum(self) -> None:
        """The sends of a second stay within the limit.

        Guards against shares that each look small: grants of 1.3 s may be sent within
        a second, and nodes with two views of the fleet may send without grants.
        """
        allowance = GrantAllowance(self.bounds.get_fill_per_s(self.rate_per_s), 0.0)
        granted_s = []
        for step in range(6000):
            if allowance.has_grant(step * STEP_S):
                allowance.take()
                granted_s.append(step * STEP_S)
        share = self.bounds.get_local_share(self.rate_per_s)
        most = count_most(granted_s, GRANT_WINDOW_S) if granted_s else 0
        limit = int(self.bounds.get_limit(self.rate_per_s))
        self.assertLessEqual(most + share * LOCAL_SENDERS * VIEW_FACTOR, limit)
        if granted_s:
            in_second = count_most(granted_s, 1.0)
            self.assertLessEqual(in_second, max(1.0, self.rate_per_s))


class AllowanceTest(testtools.TestCase):
    """Allowances at their bounds."""

    def test_begins_empty_and_keeps_no_reserve(self) -> None:
        """A new coordinator adds nothing to what the former one granted."""
        allowance = GrantAllowance(4.9, 10.0)
        self.assertFalse(allowance.has_grant(10.0))
        self.assertTrue(allowance.has_grant(20.0))
        allowance.take()
        self.assertFalse(allowance.has_grant(20.0))

    def test_clock_goes_back(self) -> None:
        """A time before the last one fills nothing twice."""
        allowance = GrantAllowance(1.0, 10.0)
        allowance.has_grant(10.9)
        self.assertFalse(allowance.has_grant(10.0))
        self.assertFalse(allowance.has_grant(10.95))

    def test_local_window(self) -> None:
        """A share counts for the second in which a request may still be sent."""
        allowance = LocalAllowance()
        allowance.record(0.0)
        self.assertFalse(allowance.may_send(1, 1.2))
        self.assertTrue(allowance.may_send(2, 1.2))
        self.assertTrue(allowance.may_send(1, GRANT_WINDOW_S))

    def test_local_senders(self) -> None:
        """Engines have different senders, and the loss of another host changes none."""
        senders = {n: choose_local_senders(f"e{n}", HOSTS) for n in range(18)}
        self.assertGreater(
            len({host for pair in senders.values() for host in pair}), 12
        )
        for name, pair in senders.items():
            others = [host for host in HOSTS if host in pair or host[-1] != "7"]
            self.assertEqual(pair, choose_local_senders(f"e{name}", others))


class MayGrantTest(testtools.TestCase):
    """Coordinators of which another one may still grant."""

    scenarios = [
        (
            "usual",
            {"age_s": 0.3, "contact_s": LONG_S, "assigned_s": LONG_S, "may": True},
        ),
        (
            "lost",
            {"age_s": 1.0, "contact_s": LONG_S, "assigned_s": LONG_S, "may": False},
        ),
        (
            "former_one_timed_out",
            {"age_s": 0.1, "contact_s": LONG_S, "assigned_s": 0.0, "may": True},
        ),
        (
            "new_leader",
            {"age_s": 0.1, "contact_s": 1.2, "assigned_s": LONG_S, "may": False},
        ),
        (
            "named_by_new_leader",
            {"age_s": 0.1, "contact_s": 1.5, "assigned_s": 0.4, "may": False},
        ),
        (
            "named_by_new_leader_some_time_ago",
            {
                "age_s": 0.1,
                "contact_s": 2.0,
                "assigned_s": TAKEOVER_WAIT_S,
                "may": True,
            },
        ),
    ]

    def test_may_grant(self) -> None:
        """Two coordinators at once do not both grant the whole rate."""
        found = may_grant(self.age_s, self.contact_s, self.assigned_s)
        self.assertEqual(self.may, found)
