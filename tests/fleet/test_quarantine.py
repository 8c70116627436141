"""Pieces of prompts that crash targets, as the fleet remembers them."""

from __future__ import annotations

import testtools

from laburnumpitch.fleet.crash_messages import TargetDied
from laburnumpitch.fleet.messages import FleetFacts
from laburnumpitch.fleet.quarantine import QUARANTINE_S, Quarantine
from laburnumpitch.policy.crash_attribution import CONFIRM_S, MIN_CRASHES

from .fleet_case import Fleet, FleetCase, make_configuration, wait_until

PIECE = "deadly"
INTERVAL_S = 0.2
"""Time between two crashes."""


def crash_targets(quarantine: Quarantine, count: int, now_s: float) -> None:
    """Record deaths of targets, each by a request of its own with the piece."""
    for number in range(count):
        notice = TargetDied(f"f{number}", f"t{number}", 1, ["first", PIECE])
        quarantine.record_death(notice, now_s + number * INTERVAL_S)


class QuarantineTest(testtools.TestCase):
    """From the first crash to the release of a piece."""

    def test_piece_is_refused_for_a_time(self) -> None:
        """It is quarantined once it is proven, and released after a time."""
        quarantine = Quarantine(None, 0.0)
        crash_targets(quarantine, MIN_CRASHES, 0.0)
        proven_s = MIN_CRASHES * INTERVAL_S + CONFIRM_S
        quarantine.update(proven_s)
        self.assertEqual([PIECE], list(quarantine.pieces))
        self.assertEqual([], quarantine.list_suspect_pieces())
        quarantine.update(proven_s + QUARANTINE_S + 1)
        self.assertEqual([], list(quarantine.pieces))

    def test_late_crash_is_explained(self) -> None:
        """Requests that were under way with the piece make no neighbour a suspect."""
        facts = FleetFacts({}, [], [], [], {}, quarantined_pieces=[PIECE])
        quarantine = Quarantine(facts, 0.0)
        for number in range(MIN_CRASHES):
            now_s = number * INTERVAL_S
            for pieces in (["first", "a"], ["first", PIECE], ["first", "b"]):
                notice = TargetDied("f", f"t{number}", 1, pieces)
                quarantine.record_death(notice, now_s)
        self.assertEqual([], quarantine.list_suspect_pieces())


class AnsweredRequestTest(testtools.TestCase):
    """Targets that die for reasons of their own while they run one request."""

    def crash(self, quarantine: Quarantine, *numbers: int) -> None:
        """Record deaths of targets that ran the request."""
        for number in numbers:
            notice = TargetDied("f", f"t{number}", 1, [])
            quarantine.record_death(notice, number * INTERVAL_S)

    def test_answered_request_is_not_refused(self) -> None:
        """Guards against refusing an ordinary request for good.

        Three crashes in the fleet's life did so, however often it was answered.
        """
        quarantine = Quarantine(None, 0.0)
        for number in range(0, 9, 2):
            self.crash(quarantine, number, number + 1)
            self.assertEqual(["f"], quarantine.list_suspect_requests())
            quarantine.record_answered("f")
            self.assertEqual([], quarantine.list_suspect_requests())
        self.assertEqual([], list(quarantine.fingerprints))

    def test_request_without_blame(self) -> None:
        """Deaths that are reported without a request as the cause count for none."""
        quarantine = Quarantine(None, 0.0)
        for number in range(9):
            quarantine.record_death(TargetDied("", f"t{number}", 1, []), 0.0)
        self.assertEqual(({}, {}), (quarantine.deaths, quarantine.fingerprints))

    def test_deadly_request(self) -> None:
        """One that is never answered is refused, and after its release at once."""
        quarantine = Quarantine(None, 0.0)
        self.crash(quarantine, 0, 1, 2)
        self.assertEqual(["f"], list(quarantine.fingerprints))
        self.assertEqual([], quarantine.list_suspect_requests())
        quarantine.update(QUARANTINE_S + 1.0)
        self.assertEqual([], list(quarantine.fingerprints))
        self.crash(quarantine, 3)
        self.assertEqual(["f"], list(quarantine.fingerprints))


class RememberedQuarantineTest(FleetCase):
    """A quarantine outlasts the leader, and a restart of all nodes."""

    def test_new_leader(self) -> None:
        """Nodes still refuse the piece under a new leader and after a restart."""

        async def scenario(fleet: Fleet) -> None:
            def is_known() -> bool:
                views = [node.fleet_view for node in fleet.nodes.values()]
                return all(PIECE in view.quarantined_pieces for view in views)

            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            leader = fleet.get_leader()
            publisher = leader.replica_manager.publisher
            crash_targets(publisher.quarantine, MIN_CRASHES, publisher.get_time_s())
            await wait_until(is_known)
            term = leader.fleet_view.term
            await fleet.stop(leader.settings.host)
            await wait_until(fleet.get_leader)
            views = [node.fleet_view for node in fleet.nodes.values()]
            await wait_until(lambda: all(view.term > term for view in views))
            self.assertTrue(is_known())
            await fleet.stop()
            await fleet.start()
            await wait_until(fleet.get_leader)
            await wait_until(lambda: fleet.list_versions() == {5})
            await wait_until(is_known)

        self.run_fleet(4, 3, scenario)
