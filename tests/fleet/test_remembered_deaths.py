"""Deaths of targets that outlast the leader that counted them."""

from __future__ import annotations

import testscenarios
import testtools

from laburnumpitch.fleet.crash_messages import PastDeath, TargetDied
from laburnumpitch.fleet.messages import FleetFacts, TargetRecord
from laburnumpitch.fleet.quarantine import MAX_TARGET_DEATHS, Quarantine
from laburnumpitch.policy.crash_attribution import CONFIRM_S, MEMORY_S, MIN_CRASHES
from laburnumpitch.relay.reported_deaths import KEEP_S, MAX_DEATHS, ReportedDeaths

from .fleet_case import Fleet, FleetCase, make_configuration, wait_until

DEADLY = "f" * 32
"""Fingerprint of a request that crashes each target which runs it."""

PIECE = "deadly"


def make_notice(number: int, pieces: tuple[str, ...] = ()) -> TargetDied:
    """Return the report of a target's death."""
    return TargetDied(DEADLY, f"t{number}", 1, list(pieces))


def make_target(notice: TargetDied) -> TargetRecord:
    """Return the record of a target that has died."""
    return TargetRecord(notice.target_id, "shop", "127.0.0.1:9", "dc", 1, 1, 4)


class NewLeaderTest(testtools.TestCase):
    """A leader that starts from the facts, and from what nodes report again."""

    scenarios = testscenarios.multiply_scenarios(
        [(f"{count}_before", {"before": count}) for count in range(4)],
        [
            ("in_the_facts", {"is_reported": False}),
            ("and_reported", {"is_reported": True}),
        ],
    )

    def test_counts_go_on(self) -> None:
        """Each target counts once, by whichever way the new leader learns of it."""
        former = Quarantine(None, 0.0)
        for number in range(self.before):
            former.record_death(make_notice(number), 0.0)
        facts = FleetFacts(
            weights={},
            members=[],
            hosts=[],
            quarantined=list(former.fingerprints),
            keepers={},
            suspect_deaths=former.list_suspect_deaths(),
        )
        new = Quarantine(facts, 0.0)
        if self.is_reported:
            for number in range(self.before):
                new.record_death(make_notice(number), 1.0, 1.0)
        is_known = self.is_reported or self.before > 1
        known = self.before if is_known else 0
        self.assertEqual(known, len(new.deaths.get(DEADLY, ())))
        for number in range(known, MAX_TARGET_DEATHS):
            new.record_death(make_notice(number), 2.0)
        self.assertEqual([DEADLY], list(new.fingerprints))

    def test_pieces(self) -> None:
        """Crashes that were found one after the other stay apart, and prove a piece."""
        quarantine = Quarantine(None, 100.0)
        for number in reversed(range(MIN_CRASHES)):
            notice = make_notice(number, ("first", PIECE))
            quarantine.record_death(notice, 100.0, age_s=10.0 * number)
        quarantine.update(100.0)
        self.assertEqual([], list(quarantine.pieces))
        quarantine.record_completed(["first"])
        quarantine.update(100.0 + CONFIRM_S)
        self.assertEqual([PIECE], list(quarantine.pieces))

    def test_old_pieces(self) -> None:
        """A crash of long ago says nothing of pieces any more."""
        quarantine = Quarantine(None, 100.0)
        for number in range(MIN_CRASHES):
            notice = make_notice(number, (PIECE,))
            quarantine.record_death(notice, 100.0, MEMORY_S + number)
        self.assertEqual([], quarantine.list_suspect_pieces())


class ReportedDeathsTest(testtools.TestCase):
    """What a node remembers for the next leader."""

    def test_ages(self) -> None:
        """Deaths have the time since they were found, and are dropped after a time."""
        reported = ReportedDeaths()
        reported.record(make_notice(0), 0.0)
        reported.record(make_notice(0), 3.0)
        self.assertEqual([PastDeath(make_notice(0), 5.0)], reported.list_deaths(5.0))
        self.assertEqual([], reported.list_deaths(KEEP_S + 1.0))

    def test_bound(self) -> None:
        """The newest ones are kept."""
        reported = ReportedDeaths()
        for number in range(MAX_DEATHS + 5):
            reported.record(make_notice(number), 0.0)
        self.assertEqual(MAX_DEATHS, len(reported.list_deaths(0.0)))
        self.assertEqual(make_notice(5), reported.list_deaths(0.0)[0].notice)

    def test_cleared_suspects(self) -> None:
        """What the leader has cleared is not reported to the next one again."""
        reported = ReportedDeaths()
        reported.record(make_notice(0, ("first", PIECE)), 0.0)
        reported.update_suspects({DEADLY}, {"first", PIECE}, set(), set())
        reported.update_suspects(set(), set(), {DEADLY}, {PIECE})
        self.assertEqual(
            [PastDeath(make_notice(0, (PIECE,)), 0.0)], reported.list_deaths(0.0)
        )
        reported.update_suspects({DEADLY}, set(), set(), set())
        reported.update_suspects(set(), set(), set(), set())
        self.assertEqual([], reported.list_deaths(0.0))


class LeaderChangeTest(FleetCase):
    """A request that crashes targets while one leader after the other ends.

    Guards against counts of crashes that end with the leader: the request crashed seven
    targets, with two changes of the leader.
    """

    scenarios = [(f"{count}_before", {"before": count}) for count in (1, 2)]

    def test_third_crash_is_the_last(self) -> None:
        """After a change of the leader, the third crash quarantines the request."""

        async def scenario(fleet: Fleet) -> None:
            def is_refused() -> bool:
                views = [node.fleet_view for node in fleet.nodes.values()]
                return all(DEADLY in view.quarantined for view in views)

            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await wait_until(lambda: fleet.list_versions() == {5})
            reporter = fleet.nodes[fleet.hosts[3]].relay.services.crash_reports

            async def has_died(target) -> bool:
                return True

            reporter.has_died = has_died
            for number in range(MAX_TARGET_DEATHS):
                if number == self.before:
                    await self.change_leader(fleet)
                notice = make_notice(number)
                await reporter.report_death(notice, make_target(notice))
            await wait_until(is_refused)

        self.run_fleet(4, 3, scenario)

    async def change_leader(self, fleet: Fleet) -> None:
        """Stop the leader, and wait until all nodes follow another one."""
        former = fleet.get_leader()
        term = former.fleet_view.term
        await fleet.stop(former.settings.host)
        views = [node.fleet_view for node in fleet.nodes.values()]
        await wait_until(lambda: all(view.term > term for view in views))
