"""When requests go to targets that are possibly unreachable."""

from __future__ import annotations

from dataclasses import replace

import testtools

from laburnumpitch.policy.probe_schedule import PROBE_INTERVAL_S, ProbeSchedule

from .test_target_selection import FREE_A, FREE_B

SILENT_B = replace(FREE_B, is_possibly_unreachable=True)
SILENT_A = replace(FREE_A, is_possibly_unreachable=True)
WAITING_REQUESTS = 200
"""Requests that wait and try again while the reachable targets are full."""

OUTAGE_S = 14.0


class ProbeScheduleTest(testtools.TestCase):
    """A quarter of the targets is silent."""

    def setUp(self) -> None:
        super().setUp()
        self.schedule = ProbeSchedule()

    def test_reachable_only(self) -> None:
        """Silent targets get nothing while a reachable one has capacity."""
        found = self.schedule.select([FREE_A, SILENT_B], False, 0.0)
        self.assertEqual([FREE_A], found)

    def test_few_probes_while_others_are_full(self) -> None:
        """Waiting requests probe a silent target at intervals, and one at a time."""
        probes = 0
        for number in range(WAITING_REQUESTS):
            now_s = number * OUTAGE_S / WAITING_REQUESTS
            probes += len(self.schedule.select([SILENT_B], True, now_s))
        self.assertTrue(0 < probes <= OUTAGE_S / PROBE_INTERVAL_S + 1, probes)
        running = replace(SILENT_B, running=1)
        self.assertEqual([], self.schedule.select([running], True, 99.0))

    def test_whole_service_silent(self) -> None:
        """If no target is known to be reachable, each gets requests."""
        silent = [SILENT_A, SILENT_B]
        for _ in range(3):
            self.assertEqual(silent, self.schedule.select(silent, False, 0.0))

    def test_removed_targets_are_dropped(self) -> None:
        """The schedule does not grow with targets that are gone."""
        self.schedule.select([SILENT_B], True, 0.0)
        self.schedule.retain(set())
        self.assertEqual({}, self.schedule.probed_s)
