"""Assignments of stores and services to nodes, and the time at which they move."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

import testtools

from laburnumpitch.fleet.assignments import assign_hosts
from laburnumpitch.fleet.fleet_publisher import ASSIGNEE_TIMEOUT_S
from laburnumpitch.fleet.fleet_view import FleetView
from laburnumpitch.fleet.messages import FollowAnswer, NodeRecord
from laburnumpitch.fleet.store_owner import (
    FREE_CONTACT_S,
    FREE_VALIDITY_MS,
    TAKEOVER_DELAY_S,
    StoreOwner,
)
from laburnumpitch.policy.target_selection import choose_by_weighted_hash
from laburnumpitch.relay.configuration import StoreSpec

STORES = [f"store{number}" for number in range(5)]
SERVICES = ["places/model", "places/shop"]
HOSTS = ["h1", "h2", "h3"]
SUSPENDED_S = 3.0


class AssignHostsTest(testtools.TestCase):
    """Which host gets what."""

    def test_spread(self) -> None:
        """No host has all large stores, and the leader has least."""
        for leader in HOSTS:
            found = assign_hosts(STORES + SERVICES, HOSTS, {}, leader)
            counts = Counter(found.values())
            self.assertEqual(7, sum(counts.values()))
            self.assertLessEqual(max(counts.values()) - min(counts.values()), 2)
            self.assertEqual(min(counts.values()), counts[leader])
            self.assertEqual(2, len({found["store0"], found["store1"]}))

    def test_live_hosts_keep_theirs(self) -> None:
        """Only the assignments of a lost host move."""
        before = assign_hosts(STORES, HOSTS, {})
        after = assign_hosts(STORES, HOSTS[1:], before)
        for name in STORES:
            if before[name] != HOSTS[0]:
                self.assertEqual(before[name], after[name])
        self.assertEqual(set(HOSTS[1:]), set(after.values()))

    def test_no_host(self) -> None:
        """Without a live host nothing is assigned."""
        self.assertEqual({}, assign_hosts(STORES, [], {}))


class WeightedHashTest(testtools.TestCase):
    """Sessions by the capacity of stores."""

    def test_shares(self) -> None:
        """Each store gets sessions in proportion to its capacity."""
        weights = {"large": 8.0, "small": 2.0}
        found = Counter(choose_by_weighted_hash(f"k{n}", weights) for n in range(4000))
        self.assertTrue(0.17 < found["small"] / 4000 < 0.23, found)

    def test_other_keys_stay(self) -> None:
        """Without one store, only its sessions move."""
        weights = {"a": 3.0, "b": 2.0, "c": 1.0}
        rest = {"a": 3.0, "b": 2.0}
        for number in range(300):
            before = choose_by_weighted_hash(f"k{number}", weights)
            if before != "c":
                self.assertEqual(before, choose_by_weighted_hash(f"k{number}", rest))


class TakeoverTest(testtools.TestCase):
    """An owner that is replaced while it has no contact with the leader."""

    def test_last_free_ends_before_the_next_owner(self) -> None:
        """A store refuses the last call to free before another owner may start."""
        last_free_s = FREE_CONTACT_S + FREE_VALIDITY_MS / 1000
        self.assertLessEqual(last_free_s, ASSIGNEE_TIMEOUT_S)

    def test_frees_nothing_without_contact(self) -> None:
        """An owner out of contact frees nothing, however full the store is."""
        store = StoreSpec("store0", "dc", 1600, 1e9, 0.0, True)
        freed = []

        async def free(*call) -> None:
            freed.append(call)

        clock = SimpleNamespace(now_s=TAKEOVER_DELAY_S + 100.0)
        contact = SimpleNamespace(age_s=FREE_CONTACT_S + 0.1)
        owner = StoreOwner(
            store,
            1,
            SimpleNamespace(free=free),
            lambda contact_s: contact.age_s < contact_s,
            lambda: clock.now_s,
        )
        owner.started_s = 0.0
        owner.allocations.handle_added(("v1", "a"), 1600)
        asyncio.run(owner.free_excess())
        self.assertEqual([], freed)
        contact.age_s = 0.1
        asyncio.run(owner.free_excess())
        self.assertEqual(1, len(freed))

    def test_answer_read_after_a_suspension(self) -> None:
        """An answer that waited for a suspended node is no fresh contact."""
        clock = SimpleNamespace(now_s=10.0)

        async def answer_late(call, timeout_s) -> FollowAnswer:
            if view.term >= 0:
                raise asyncio.CancelledError
            clock.now_s += SUSPENDED_S
            return FollowAnswer(1, 1, False, False, [], 0, b"", None, {})

        async def run() -> None:
            await view.start()
            await asyncio.gather(view.task, return_exceptions=True)

        node = NodeRecord("h1", "n1", "", "", "dc", True)
        view = FleetView(
            node,
            SimpleNamespace(call=answer_late, leader_name="h2"),
            lambda text: None,
            1.0,
            lambda: clock.now_s,
        )
        asyncio.run(run())
        self.assertEqual(SUSPENDED_S, view.get_contact_age_s())
        self.assertFalse(view.has_leader_contact)
