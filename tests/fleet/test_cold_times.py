"""Cold times of targets, as the leader publishes them, and the contact of a node."""

from __future__ import annotations

from types import SimpleNamespace

import testscenarios
import testtools
from msgspec.structs import replace

from laburnumpitch.fleet.fleet_view import FleetView
from laburnumpitch.fleet.messages import FollowAnswer, NodeRecord, TargetRecord
from laburnumpitch.fleet.target_table import TargetTable

from ..relay.relay_case import CONFIGURATION

INTERVAL_S = 1.2
FIRST = TargetRecord("t1", "models", "a1", "dc1", 1000, 5, 4, cold_s=0.0)
COLD = replace(FIRST, cold_s=3.0)


class PublishedTest(testtools.TestCase):
    """The next announcement of a target, one interval after the first."""

    scenarios = testscenarios.multiply_scenarios(
        [("limited", {"is_limited": True}), ("no_limit", {"is_limited": False})],
        [
            ("stays_warm", {"first": FIRST, "cold_s": 0.0, "differs": False}),
            (
                "received_by_older_software",
                {
                    "first": replace(FIRST, states_cold=True),
                    "cold_s": 0.0,
                    "differs": False,
                },
            ),
            ("becomes_cold", {"first": FIRST, "cold_s": 3.0, "differs": True}),
            ("grows", {"first": COLD, "cold_s": 2.9, "differs": True}),
            ("ends_early", {"first": COLD, "cold_s": 0.0, "differs": True}),
            ("as_expected", {"first": COLD, "cold_s": 1.8, "differs": False}),
            ("a_little_late", {"first": COLD, "cold_s": 1.87, "differs": False}),
        ],
    )

    def test_published(self) -> None:
        """Nodes took a target for warm that became cold; now they get each change.

        Announcements that say what nodes know are not sent to all of them.
        """
        table = TargetTable(INTERVAL_S)
        table.apply_announcement(self.first, 0.0, self.is_limited)
        record = replace(FIRST, sequence=6, cold_s=self.cold_s)
        self.assertEqual(
            self.differs and self.is_limited,
            table.apply_announcement(record, INTERVAL_S, self.is_limited),
        )

    def test_return(self) -> None:
        """Each return of a silent target counts, also for nodes that miss it."""
        table = TargetTable(INTERVAL_S)
        table.apply_announcement(self.first, 0.0)
        table.mark_not_announcing("t1")
        table.apply_announcement(replace(FIRST, sequence=6), 5.0)
        self.assertEqual(1, table.get_records()[0].returns)
        table.apply_announcement(replace(FIRST, sequence=7), 6.0)
        self.assertEqual(1, table.get_records()[0].returns)


class ContactTest(testtools.TestCase):
    """The time since which a node has been in contact with one leader."""

    scenarios = [
        ("steady", {"calls": [(1, 0.0), (1, 0.3), (1, 0.6)], "since_s": 0.1}),
        ("gap", {"calls": [(1, 0.0), (1, 1.2)], "since_s": 1.3}),
        ("another_leader", {"calls": [(1, 0.0), (2, 0.3)], "since_s": 0.4}),
        ("former_leader", {"calls": [(2, 0.0), (1, 2.0)], "since_s": 0.1}),
        ("none", {"calls": [], "since_s": float("inf")}),
    ]

    def test_since(self) -> None:
        """A coordinator that may have been replaced meanwhile granted sends."""
        leader_client = SimpleNamespace(leader_name="h", set_hosts=lambda hosts: None)
        view = FleetView(
            NodeRecord("h", "n", "", "", "dc", True),
            leader_client,
            lambda text: CONFIGURATION,
            INTERVAL_S,
            lambda: self.now_s,
        )
        for term, called_s in self.calls:
            self.now_s = called_s + 0.1
            answer = FollowAnswer(term, 1, True, True, [], 1, b"", None, {})
            view.apply_answer(answer, called_s)
        self.assertAlmostEqual(self.since_s, view.contact_since_s)
