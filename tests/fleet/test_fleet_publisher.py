"""Calls that the leader holds until there is a change."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import testtools
from msgspec.structs import replace

from laburnumpitch.fleet.crash_messages import TargetDied
from laburnumpitch.fleet.fleet_publisher import (
    MAX_HOLD_S,
    QUARANTINE_INTERVAL_S,
    FleetPublisher,
)
from laburnumpitch.fleet.fleet_view import LEADER_TIMEOUT_S
from laburnumpitch.fleet.messages import FleetFacts, Follow, NodeRecord
from laburnumpitch.fleet.subscriptions import (
    KNOWN_NODES_TIMEOUT_S,
    MIN_HOLD_S,
    SubscriberState,
)

NODES = 12
ENGINES = 30
REQUESTS = 40
"""Requests that an engine has when it crashes."""

CRASH_INTERVAL_S = 0.04
TERM = 3


def make_publisher() -> FleetPublisher:
    """Return the publisher of a leader without targets."""
    state = SimpleNamespace(
        configuration_version=1,
        configuration=b"",
        context_epoch=0,
        weights={},
        builds={},
        evacuated=[],
        evacuation_revisions={},
    )
    replica = SimpleNamespace(
        require_leader=lambda: None,
        get_leader_name=lambda: "h0",
        core=SimpleNamespace(term=TERM, committed_members=[]),
        state_machine=SimpleNamespace(state=state),
    )
    return FleetPublisher(
        replica,
        1.0,
        list,
        lambda: None,
        lambda service: True,
        asyncio.get_running_loop().time,
    )


def make_call(number: int, sequence: int) -> Follow:
    """Return the call of a node that has all changes up to a sequence number."""
    node = NodeRecord(f"h{number}", f"n{number}", "", "", "dc", False)
    return Follow(node, TERM, sequence, 1, {})


class HeldCallTest(testtools.TestCase):
    """Many nodes with held calls."""

    def run_publisher(self, scenario) -> None:
        """Run a scenario with a publisher whose checks for changes are counted."""

        async def run() -> None:
            publisher = make_publisher()
            publisher.check_term()
            self.checks = 0
            has_update = publisher.has_update

            def count(call: Follow) -> bool:
                self.checks += 1
                return has_update(call)

            publisher.has_update = count
            await scenario(publisher)

        asyncio.run(run())

    def test_calls_do_not_wake_each_other(self) -> None:
        """Each held call checks once when it starts, not at the others' calls.

        If calls woke each other, the checks would grow with the square of the nodes.
        """

        async def scenario(publisher: FleetPublisher) -> None:
            publisher.update_facts()
            held = []
            for number in range(NODES):
                call = make_call(number, publisher.sequence)
                held.append(asyncio.create_task(publisher.handle_follow(call)))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            self.assertLessEqual(self.checks, NODES)
            await asyncio.gather(*held)

        self.run_publisher(scenario)

    def test_change_wakes_all_calls(self) -> None:
        """A change reaches every held call at once."""

        async def scenario(publisher: FleetPublisher) -> None:
            publisher.update_facts()
            before = publisher.sequence
            held = [
                asyncio.create_task(publisher.handle_follow(make_call(number, before)))
                for number in range(NODES)
            ]
            await asyncio.sleep(0)
            newest = publisher.publish()
            answers = await asyncio.gather(*held)
            self.assertEqual({newest}, {answer.sequence for answer in answers})

        self.run_publisher(scenario)

    def test_next_calls_confirm_a_change(self) -> None:
        """A change is confirmed once each node has called again."""

        async def scenario(publisher: FleetPublisher) -> None:
            publisher.update_facts()
            before = publisher.sequence
            held = [asyncio.create_task(publisher.handle_follow(make_call(0, before)))]
            await asyncio.sleep(0)
            newest = publisher.publish()
            waiting = asyncio.create_task(
                publisher.subscriptions.wait_confirmed(newest)
            )
            await asyncio.gather(*held)
            self.assertFalse(waiting.done())
            held = [asyncio.create_task(publisher.handle_follow(make_call(0, newest)))]
            self.assertTrue(await waiting)
            await asyncio.gather(*held)

        self.run_publisher(scenario)


class NewLeaderTest(testtools.TestCase):
    """Changes right after an election, before the nodes have found the new leader."""

    def test_change_waits_for_nodes_of_the_former_leader(self) -> None:
        """It waits until they follow, but not for the former leader itself."""

        async def run() -> None:
            publisher = make_publisher()
            hosts = [f"h{number}" for number in range(NODES)]
            facts = FleetFacts({}, [], hosts, [], {}, leader_host=hosts[0])
            publisher.get_facts = lambda: facts
            publisher.reset(TERM)
            waiting = asyncio.create_task(publisher.subscriptions.wait_known_nodes())
            for number in range(1, NODES):
                await asyncio.sleep(0)
                self.assertFalse(waiting.done())
                call = replace(make_call(number, 0), term=TERM - 1)
                await publisher.handle_follow(call)
            await waiting
            self.assertEqual(set(), publisher.subscriptions.awaited_hosts)

        asyncio.run(run())

    def test_expected_hosts(self) -> None:
        """Nodes that have not found the new leader yet are listed for a while."""

        async def run() -> None:
            publisher = make_publisher()
            hosts = [f"h{number}" for number in range(NODES)]
            facts = FleetFacts({}, [], hosts, [], {}, leader_host=hosts[0])
            publisher.get_facts = lambda: facts
            publisher.reset(TERM)
            publisher.update_facts()
            self.assertEqual(set(hosts[1:]), set(publisher.facts.hosts))
            publisher.subscriptions.started_s -= KNOWN_NODES_TIMEOUT_S
            publisher.update_facts()
            self.assertEqual([], publisher.facts.hosts)

        asyncio.run(run())

    def test_lost_node_is_not_awaited_for_ever(self) -> None:
        """A node that does not call after the election counts as lost."""

        async def run() -> None:
            publisher = make_publisher()
            publisher.get_facts = lambda: FleetFacts({}, [], ["h1"], [], {})
            publisher.reset(TERM)
            publisher.subscriptions.started_s -= KNOWN_NODES_TIMEOUT_S
            await publisher.subscriptions.wait_known_nodes()
            self.assertEqual(set(), publisher.subscriptions.awaited_hosts)

        asyncio.run(run())


class HoldTimeTest(testtools.TestCase):
    """How long calls are held in fleets of different sizes."""

    scenarios = [
        ("small", {"nodes": 9, "has_disk": False, "hold_s": MIN_HOLD_S}),
        ("hundreds", {"nodes": 330, "has_disk": False, "hold_s": MAX_HOLD_S}),
        ("with_a_disk", {"nodes": 330, "has_disk": True, "hold_s": MIN_HOLD_S}),
    ]

    def test_hold_time(self) -> None:
        """Calls are held longer in a large fleet, but nodes stay in contact."""

        async def run() -> float:
            publisher = make_publisher()
            publisher.check_term()
            for number in range(self.nodes):
                node = make_call(number, 0).node
                publisher.subscriptions.by_host[node.host] = SubscriberState(
                    node, 0.0, 0
                )
            node = NodeRecord("h0", "n0", "", "", "dc", self.has_disk)
            return publisher.choose_hold_s(node)

        self.assertEqual(self.hold_s, asyncio.run(run()))
        self.assertLess(2 * self.hold_s, LEADER_TIMEOUT_S)


class CrashStormTest(testtools.TestCase):
    """Many engines crash in quick succession, each with many requests."""

    def test_publications_are_few(self) -> None:
        """Nodes are not woken for each death; the last state is published."""

        async def run() -> None:
            now_s = 0.0
            publisher = make_publisher()
            publisher.get_time_s = lambda: now_s
            publisher.reset(TERM)
            first_sequence = publisher.update_facts()
            for engine in range(ENGINES):
                for request in range(REQUESTS):
                    now_s += CRASH_INTERVAL_S / REQUESTS
                    # A repeated request waits at the engine that crashes four later.
                    pieces = [f"p{engine // 8}-{engine % 4}-{request}", "deadly"]
                    notice = TargetDied(f"{engine}/{request}", f"t{engine}", 1, pieces)
                    publisher.handle_target_death(notice)
            published = publisher.facts_sequence - first_sequence
            max_count = ENGINES * CRASH_INTERVAL_S / QUARANTINE_INTERVAL_S + 1
            self.assertIn(published, range(1, int(max_count) + 1))
            now_s += QUARANTINE_INTERVAL_S
            publisher.update_quarantine()
            self.assertEqual(["deadly"], publisher.facts.quarantined_pieces)

        asyncio.run(run())
