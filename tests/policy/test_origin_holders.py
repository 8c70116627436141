"""Tests of the choice of the nodes that remember the origins of streams."""

from __future__ import annotations

import testtools

from laburnumpitch.policy.origin_holders import MIN_GROUP_SIZE, choose_holders
from laburnumpitch.policy.target_selection import rank_by_rendezvous_hash

STREAMS = 2000


class HoldersTest(testtools.TestCase):
    """A fleet of many nodes that all begin streams."""

    scenarios = [
        ("small", {"nodes": 9, "most": MIN_GROUP_SIZE}),
        ("grown", {"nodes": 91, "most": 9}),
        ("design_size", {"nodes": 330, "most": 18}),
    ]

    def test_connections_of_a_node(self) -> None:
        """Guards against a connection from every node to every other one."""
        hosts = [f"h{number}" for number in range(self.nodes)]
        holders = choose_holders(hosts)
        told = {
            host
            for number in range(STREAMS)
            for host in rank_by_rendezvous_hash(f"a{number}", holders)[:2]
        }
        self.assertLessEqual(len(told), self.most)

    def test_host_leaves(self) -> None:
        """Guards against origins that nobody finds after one node has left."""
        hosts = [f"h{number}" for number in range(self.nodes)]
        before = set(choose_holders(hosts))
        after = set(choose_holders(hosts[1:]))
        self.assertLessEqual(len(before - after), 1)
