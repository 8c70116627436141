"""Calls of targets to a new leader that has not heard of them."""

from __future__ import annotations

import asyncio

import testscenarios
import testtools
from msgspec.structs import replace

from laburnumpitch.errors import NotLeaderError
from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.fleet.target_table import (
    TOMBSTONE_S,
    TargetEntry,
    TargetTable,
    make_departed,
)

from .fleet_case import WAIT_S, Fleet, FleetCase, make_configuration, wait_until
from .test_fleet import make_announcement
from .test_fleet_publisher import make_publisher

ANNOUNCE_INTERVAL_S = 1.2
FIRST = TargetRecord("t1", "models", "10.0.0.1:80", "dc1", 1000, 5, 4)
LEAVING = replace(FIRST, sequence=6, is_leaving=True)
GONE = replace(FIRST, is_gone=True)
SUCCESSOR = replace(FIRST, target_id="t2", born_ms=3000, sequence=1)
SILENT = replace(FIRST, is_silent=True, is_loading=True, returns=3)
LATE = replace(FIRST, sequence=4)
"""An announcement that was sent before the newest one of the former leader."""


def make_table(*records: TargetRecord) -> TargetTable:
    """Return the table of a new leader whose node has records of a former one."""
    table = TargetTable(ANNOUNCE_INTERVAL_S)
    table.adopt([TargetEntry(record, 0.0, 7) for record in records], 1.0)
    return table


class AdoptedAnnouncementTest(testtools.TestCase):
    """The first announcement of a target that a former leader knew."""

    scenarios = [
        ("newer", {"former": FIRST, "record": LEAVING, "published": [LEAVING]}),
        ("late", {"former": LEAVING, "record": LATE, "published": [LEAVING]}),
        ("sent_again", {"former": LEAVING, "record": LEAVING, "published": [LEAVING]}),
        ("departed", {"former": GONE, "record": LATE, "published": [GONE]}),
        (
            "restarted",
            {
                "former": GONE,
                "record": replace(FIRST, born_ms=2000, sequence=1),
                "published": [replace(FIRST, born_ms=2000, sequence=1)],
            },
        ),
        (
            "address_reused",
            {"former": SUCCESSOR, "record": FIRST, "published": []},
        ),
        (
            "silent_and_loading",
            {
                "former": SILENT,
                "record": replace(FIRST, sequence=6),
                "published": [replace(FIRST, sequence=6)],
            },
        ),
    ]

    def test_published(self) -> None:
        """Nodes get what both the former leader and the announcement state."""
        table = make_table(self.former)
        self.assertEqual([], table.get_changes(0))
        is_changed = table.apply_announcement(self.record, 1.0)
        self.assertEqual(bool(self.published), is_changed)
        self.assertEqual(self.published, table.get_changes(0))

    def test_old_departure_is_forgotten(self) -> None:
        """A departure of long ago is not remembered any more."""
        table = TargetTable(ANNOUNCE_INTERVAL_S)
        table.adopt([TargetEntry(GONE, 0.0, 7)], TOMBSTONE_S + 1.0)
        self.assertEqual({}, table.former)


class DepartureTest(testtools.TestCase):
    """Departures as the leader publishes them, and nodes apply them."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("unknown", {"former": [], "published": make_departed("t1")}),
            ("known", {"former": [FIRST], "published": GONE}),
            ("sent_again", {"former": [GONE], "published": GONE}),
        ],
        [
            ("node_has_it", {"node_records": [LEAVING]}),
            ("node_lacks_it", {"node_records": []}),
        ],
    )

    def test_node_ends_it(self) -> None:
        """A node that has the target ends it, whatever the leader knew of it."""
        table = make_table(*self.former)
        self.assertTrue(table.depart("t1", 1.0))
        self.assertEqual([self.published], table.get_changes(0))
        self.assertFalse(table.depart("t1", 1.1))
        node = TargetTable(ANNOUNCE_INTERVAL_S)
        node.apply_changes(self.node_records, 0.0)
        node.apply_changes(table.get_changes(0), 1.0)
        self.assertEqual([], node.get_records())


class EndedTermTest(testtools.TestCase):
    """A term that ends while a target's call waits for the nodes."""

    def test_call_is_not_acknowledged(self) -> None:
        """Its change is not known to the next term's leader, even if that is this."""

        async def run() -> None:
            publisher = make_publisher()
            publisher.check_term()
            publisher.targets.apply_announcement(LEAVING, 0.0)
            # A node that followed the former leader has not called yet.
            publisher.subscriptions.awaited_hosts.add("h1")
            waiting = asyncio.create_task(publisher.wait_target_known("t1"))
            await asyncio.sleep(0)
            publisher.replica.core.term += 1
            publisher.check_term()
            try:
                await waiting
                self.fail("the call was acknowledged")
            except NotLeaderError:
                pass

        asyncio.run(run())


class NewLeaderCallTest(FleetCase):
    """A target's call that is the first one which a new leader gets from it.

    Guards against an acknowledged departure without effect: the new leader did not know
    the target, while the nodes went on to send it requests.
    """

    scenarios = [
        (
            "departs",
            {"call": ("DELETE", b""), "is_known": True, "states": []},
        ),
        (
            "departs_unknown",
            {"call": ("DELETE", b""), "is_known": False, "states": []},
        ),
        (
            "leaves",
            {
                "call": ("PUT", make_announcement(2, "draining")),
                "is_known": True,
                "states": [True],
            },
        ),
        (
            "leaves_unknown",
            {
                "call": ("PUT", make_announcement(2, "draining")),
                "is_known": False,
                "states": [True],
            },
        ),
    ]

    def test_acknowledged_call_has_an_effect(self) -> None:
        """Every node knows of it once it is acknowledged."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.put_configuration(fleet.hosts[0], make_configuration(5))
            await wait_until(lambda: fleet.list_versions() == {5})
            announcement = make_announcement(1)
            host, path = fleet.hosts[3], "/-/instances/i-1"
            await fleet.call(host, "PUT", path, announcement)
            former = fleet.get_leader()
            term = former.fleet_view.term
            await fleet.stop(former.settings.host)
            views = [node.fleet_view for node in fleet.nodes.values()]
            await wait_until(lambda: all(view.term > term for view in views))
            self.assertEqual([[False]] * 3, self.list_states(fleet))
            if not self.is_known:
                leader = fleet.get_leader()
                leader.fleet_view.targets.entries.clear()
                leader.replica_manager.publisher.targets.former.clear()
            method, body = self.call
            async with asyncio.timeout(WAIT_S):
                while (await fleet.call(host, method, path, body))[0] != 200:
                    await asyncio.sleep(0.1)
            self.assertEqual([self.states] * 3, self.list_states(fleet))

        self.run_fleet(4, 3, scenario)

    def list_states(self, fleet: Fleet) -> list[list[bool]]:
        """Return, for each node, whether each of its targets is leaving."""
        return [
            [record.is_leaving for record in node.fleet_view.targets.get_records()]
            for node in fleet.nodes.values()
        ]
