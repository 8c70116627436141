"""Announcements of targets that arrive in any order."""

from __future__ import annotations

import testtools
from msgspec.structs import replace

from laburnumpitch.errors import CodecError
from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.fleet.target_table import GONE_TIMEOUT_S, TargetTable

ANNOUNCE_INTERVAL_S = 1.2
FIRST = TargetRecord("t1", "models", "10.0.0.1:80", "dc1", 1000, 5, 4)
LEAVING = replace(FIRST, sequence=6, is_leaving=True)
GONE = replace(FIRST, is_gone=True)
RESTARTED = replace(FIRST, born_ms=2000, sequence=1)
SUCCESSOR = replace(FIRST, target_id="t2", service="shop", born_ms=3000, sequence=1)


class AnnouncementSequenceTest(testtools.TestCase):
    """Targets that remain usable after announcements in different sequences."""

    scenarios = [
        (
            "late_announcement",
            {"records": [LEAVING, FIRST], "leaving": {"t1"}, "ids": {"t1"}},
        ),
        (
            "leaving_is_final",
            {
                "records": [LEAVING, replace(FIRST, sequence=7)],
                "leaving": {"t1"},
                "ids": {"t1"},
            },
        ),
        (
            "new_incarnation",
            {"records": [LEAVING, RESTARTED], "leaving": set(), "ids": {"t1"}},
        ),
        (
            "old_incarnation_after_new",
            {"records": [RESTARTED, LEAVING], "leaving": set(), "ids": {"t1"}},
        ),
        (
            "address_reused",
            {"records": [FIRST, SUCCESSOR], "leaving": set(), "ids": {"t2"}},
        ),
        (
            "late_announcement_at_reused_address",
            {"records": [SUCCESSOR, FIRST], "leaving": set(), "ids": {"t2"}},
        ),
    ]

    def test_remaining_targets(self) -> None:
        """Only the newest incarnation of each target and address remains."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        for record in self.records:
            table.apply_announcement(record, 0.0)
        records = table.get_records()
        self.assertEqual(self.ids, {record.target_id for record in records})
        leaving = {record.target_id for record in records if record.is_leaving}
        self.assertEqual(self.leaving, leaving)


class TargetTableTest(testtools.TestCase):
    """Changes at the leader and at the other nodes."""

    def test_record_that_cannot_be_sent(self) -> None:
        """It is refused, and the former record stays."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.apply_announcement(FIRST, 0.0)
        sequence = table.sequence
        self.assertRaises(CodecError, table.update, "t1", versions={"m": 2**70})
        self.assertEqual([FIRST], table.get_changes(0))
        self.assertEqual(sequence, table.sequence)

    def test_gone_target_stays_gone(self) -> None:
        """A late announcement does not bring a target back."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.apply_announcement(FIRST, 0.0)
        self.assertTrue(table.mark_gone("t1", 0.0))
        self.assertFalse(table.apply_announcement(replace(FIRST, sequence=9), 0.1))
        self.assertEqual([], table.get_records())

    def test_target_stops_and_resumes_announcing(self) -> None:
        """A target that stops and resumes announcing changes both times."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.apply_announcement(FIRST, 0.0)
        self.assertTrue(table.check_announcements(ANNOUNCE_INTERVAL_S * 3.5))
        self.assertTrue(table.get_records()[0].is_silent)
        self.assertTrue(table.apply_announcement(replace(FIRST, sequence=6), 5.0))
        self.assertFalse(table.get_records()[0].is_silent)

    def test_late_announcement_keeps_weight_versions(self) -> None:
        """An announcement sent before a load's end does not restore the old version."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.apply_announcement(replace(FIRST, versions={"m": 1}), 0.0)
        table.update("t1", versions={"m": 2})
        table.apply_announcement(replace(FIRST, sequence=6, versions={"m": 1}), 0.1)
        self.assertEqual({"m": 2}, table.get_records()[0].versions)

    def test_newer_record_is_kept(self) -> None:
        """An older record from a leader does not replace a node's newer one."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.apply_changes([GONE], 0.0)
        table.apply_changes([FIRST], 0.1)
        self.assertEqual([], table.get_records())


class BuildTest(testtools.TestCase):
    """Announcements of one target with different builds."""

    scenarios = [
        ("same_incarnation", {"record": replace(FIRST, sequence=6), "expected": "v1"}),
        ("new_incarnation", {"record": RESTARTED, "expected": "v2"}),
    ]

    def test_build(self) -> None:
        """Only a new incarnation can have another build."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.apply_announcement(replace(FIRST, build="v1"), 0.0)
        table.apply_announcement(replace(self.record, build="v2"), 0.0)
        self.assertEqual([self.expected], [r.build for r in table.get_records()])


class ForeignWriterTest(testtools.TestCase):
    """Announcements that name a service which is not configured."""

    foreign = replace(SUCCESSOR, service="no-such-service")

    scenarios = [
        ("after", {"records": [FIRST, foreign]}),
        ("before", {"records": [foreign, FIRST]}),
        (
            "same_identifier",
            {"records": [FIRST, replace(foreign, target_id="t1")]},
        ),
        (
            "later_announcement",
            {"records": [FIRST, foreign, replace(FIRST, sequence=6)]},
        ),
    ]

    def test_sound_target_stays(self) -> None:
        """Guards against a sound target that is ended by another writer's entry.

        The entry named its address and a later start.
        """
        table = TargetTable(
            ANNOUNCE_INTERVAL_S, lambda service: service in ("models", "shop")
        )
        for record in self.records:
            table.apply_announcement(record, 0.0)
        usable = {r.target_id for r in table.get_records() if r.service == "models"}
        self.assertEqual({"t1"}, usable)


class ExpiredTargetTest(testtools.TestCase):
    """A target that was cut off for so long that it counted as gone."""

    def setUp(self) -> None:
        super().setUp()
        self.table = TargetTable(ANNOUNCE_INTERVAL_S)
        self.node_table = TargetTable(ANNOUNCE_INTERVAL_S)
        self.table.apply_announcement(FIRST, 0.0)
        self.publish()
        self.now_s = GONE_TIMEOUT_S + 1.0
        self.table.check_announcements(self.now_s)
        self.publish()

    def publish(self) -> None:
        """Apply all records of the leader at a node."""
        self.node_table.apply_changes(self.table.get_changes(0), 0.0)

    def list_ids(self) -> list[list[str]]:
        """Return the targets that the leader and the node know."""
        return [
            [record.target_id for record in table.get_records()]
            for table in (self.table, self.node_table)
        ]

    def announce(self, **changes) -> None:
        """Apply an announcement, also at the node."""
        self.table.apply_announcement(replace(FIRST, **changes), self.now_s)
        self.publish()

    def test_comes_back(self) -> None:
        """Guards against ignoring the announcements of a target that was cut off.

        They were acknowledged, but counted as those of an incarnation that had ended.
        """
        self.assertEqual([[], []], self.list_ids())
        self.announce(sequence=5)
        self.assertEqual([[], []], self.list_ids())
        self.announce(sequence=6)
        self.assertEqual([["t1"], ["t1"]], self.list_ids())

    def test_ends_meanwhile(self) -> None:
        """A target that has ended since then does not come back."""
        self.table.mark_gone("t1", self.now_s)
        self.announce(sequence=6)
        self.assertEqual([[], []], self.list_ids())

    def test_address_is_used_again(self) -> None:
        """A target whose address has a younger one does not come back."""
        self.table.apply_announcement(SUCCESSOR, self.now_s)
        self.announce(sequence=6)
        self.assertEqual([["t2"], ["t2"]], self.list_ids())
