"""What makes a target count as cold at a node."""

from __future__ import annotations

from types import SimpleNamespace

import testscenarios
import testtools
from msgspec.structs import replace

from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.fleet.target_table import TargetTable
from laburnumpitch.relay.cold_targets import DOUBT_S, ColdTargets
from laburnumpitch.relay.configuration import Limits, RoutingConfiguration, Service
from laburnumpitch.relay.target_statistics import TargetStatistics

SERVICE = "models"
COLD_START_S = 3.0
FIRST = TargetRecord("t1", SERVICE, "a1", "dc1", 1000, 5, 4, states_cold=True)
SECOND = replace(FIRST, sequence=6)
SILENT = replace(FIRST, is_silent=True)
EXPIRED = replace(FIRST, is_gone=True, has_expired=True)
RESTARTED = replace(FIRST, born_ms=2000, sequence=1)


class ColdTargetsCase(testtools.TestCase):
    """A node with one target that was there at its start."""

    cold_start_s = COLD_START_S
    rate_per_s = 5.9
    first = FIRST

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        service = Service(
            SERVICE, cold_start_s=self.cold_start_s, cold_rate_per_s=self.rate_per_s
        )
        self.view = SimpleNamespace(
            targets=TargetTable(1.2),
            configuration=RoutingConfiguration(1, (), (service,), Limits(), ()),
            evacuated=frozenset(),
        )
        self.statistics = TargetStatistics(self.get_time_s)
        self.cold = ColdTargets(self.view, self.statistics, self.get_time_s)
        self.apply(self.first)

    def get_time_s(self) -> float:
        """Return the time that the test sets."""
        return self.now_s

    def apply(self, *records: TargetRecord) -> None:
        """Apply records of the leader, one after the other."""
        for record in records:
            self.view.targets.apply_changes([record], self.now_s)
            self.cold.update()

    def evacuate(self, *data_centres: str) -> None:
        """Change which data centres are evacuated."""
        self.view.evacuated = frozenset(data_centres)
        self.cold.update()

    def get_cold_s(self) -> float:
        """Return the remaining cold time of the target."""
        return round(self.cold.get_cold_s(FIRST), 3)


class RecordTest(ColdTargetsCase):
    """Changes of the target's record."""

    scenarios = [
        ("there_at_the_start", {"records": [], "cold_s": 0.0}),
        ("unchanged", {"records": [SECOND], "cold_s": 0.0}),
        ("says_cold", {"records": [replace(SECOND, cold_s=1.5)], "cold_s": 1.5}),
        (
            "other_change_of_a_cold_one",
            {
                "records": [
                    replace(SECOND, cold_s=1.5),
                    replace(SECOND, cold_s=1.5, is_loading=True),
                ],
                "cold_s": 1.5,
            },
        ),
        (
            "says_warm",
            {"records": [replace(SECOND, cold_s=1.5), replace(FIRST, sequence=7)]},
        ),
        (
            "restarted_cold",
            {"records": [replace(RESTARTED, cold_s=2.9)], "cold_s": 2.9},
        ),
        ("restarted_and_says_warm", {"records": [RESTARTED]}),
        (
            "restarted_and_says_nothing",
            {"records": [replace(RESTARTED, states_cold=False)], "cold_s": 3.0},
        ),
        ("silent_and_back", {"records": [SILENT, SECOND], "cold_s": 3.0}),
        ("gone_and_back", {"records": [EXPIRED, SECOND], "cold_s": 3.0}),
        ("back_unseen", {"records": [replace(SECOND, returns=1)], "cold_s": 3.0}),
        (
            "late_announcement_after_its_return",
            {"records": [SILENT, SECOND, replace(FIRST, sequence=7)], "cold_s": 3.0},
        ),
        ("back_in_another_incarnation", {"records": [SILENT, RESTARTED]}),
    ]
    cold_s = 0.0

    def test_cold_time(self) -> None:
        """It is counted down on the node's clock, and ends."""
        self.apply(*self.records)
        self.assertEqual(self.cold_s, self.get_cold_s())
        self.now_s += 1.0
        self.assertEqual(max(0.0, round(self.cold_s - 1.0, 3)), self.get_cold_s())
        self.now_s += 2.01
        self.assertFalse(self.cold.is_cold(FIRST))


class EvacuationTest(ColdTargetsCase):
    """An evacuation of the target's data centre that ends."""

    def test_end(self) -> None:
        """The target is cold, whatever an announcement says that was made before."""
        self.evacuate("dc1", "dc2")
        self.assertEqual(0.0, self.get_cold_s())
        self.evacuate("dc1")
        self.assertEqual(0.0, self.get_cold_s())
        self.evacuate()
        self.apply(SECOND)
        self.assertEqual(COLD_START_S, self.get_cold_s())
        self.now_s += 1.0
        self.apply(RESTARTED)
        self.assertEqual(COLD_START_S - 1.0, self.get_cold_s())


class NoLimitTest(ColdTargetsCase):
    """Events that make a target cold, where the configuration does not say so."""

    scenarios = testscenarios.multiply_scenarios(
        [("no_rate", {"rate_per_s": 0.0}), ("never_cold", {"cold_start_s": 0.0})],
        [
            ("returned", {"records": [SILENT, SECOND]}),
            ("silent", {"records": [SILENT]}),
            ("restarted", {"records": [replace(RESTARTED, states_cold=False)]}),
        ],
    )

    def test_not_cold(self) -> None:
        """Nothing changes."""
        self.apply(*self.records)
        self.cold.record_unreachable(FIRST)
        self.evacuate("dc1")
        self.evacuate()
        self.assertFalse(self.cold.is_cold(FIRST))
        self.assertEqual({}, self.cold.list_news(SERVICE))


class SilentTest(ColdTargetsCase):
    """A target that does not announce itself and may come back at any moment."""

    def test_without_answers(self) -> None:
        """Requests that probe it are limited, as it may be cold when it comes back."""
        self.apply(SILENT)
        self.assertTrue(self.cold.is_cold(FIRST))
        self.now_s += 60.0
        self.assertTrue(self.cold.is_cold(FIRST))

    def test_that_goes_on_to_answer(self) -> None:
        """Lost announcements alone do not throttle it; a pause of its answers does."""
        self.statistics.record_success(FIRST, 0.1)
        self.apply(SILENT)
        self.assertFalse(self.cold.is_cold(FIRST))
        self.now_s += 2.5
        self.assertTrue(self.cold.is_cold(FIRST))
        self.statistics.record_success(FIRST, 0.1)
        self.assertTrue(self.cold.is_cold(FIRST))

    def test_broken_connection(self) -> None:
        """It may have restarted, until it says that it is warm or time has passed."""
        self.cold.record_unreachable(FIRST)
        self.assertEqual(DOUBT_S, self.get_cold_s())
        self.cold.record_answer(FIRST, None)
        self.assertEqual(DOUBT_S, self.get_cold_s())
        self.cold.record_answer(FIRST, 0.0)
        self.assertEqual(0.0, self.get_cold_s())


class AnswerTest(ColdTargetsCase):
    """Answers that state a cold time."""

    def test_unannounced(self) -> None:
        """The node tells coordinators, which take the target for warm."""
        self.cold.record_answer(FIRST, 2.0)
        self.assertEqual(2.0, self.get_cold_s())
        self.assertEqual({"t1": 2.0}, self.cold.list_news(SERVICE))
        self.assertEqual({}, self.cold.list_news("other"))
        self.now_s += 2.0
        self.assertEqual({}, self.cold.list_news(SERVICE))

    def test_announced(self) -> None:
        """What all nodes know is not told again with each call."""
        self.apply(replace(SECOND, cold_s=3.0))
        self.cold.record_answer(FIRST, 3.0)
        self.assertEqual({}, self.cold.list_news(SERVICE))

    def test_news(self) -> None:
        """A coordinator applies what a node tells, and does not tell it on."""
        self.cold.apply_news(SERVICE, {"t1": 2.0, "unknown": 2.0})
        self.cold.apply_news("other", {"t1": 9.0})
        self.assertEqual(2.0, self.get_cold_s())
        self.assertEqual({}, self.cold.list_news(SERVICE))
