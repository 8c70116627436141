"""Clients that send more than they may, or read no answers, at each address.

In a trial such clients made a process run out of memory.
"""

from __future__ import annotations

from harness.hostile_clients import FLOODS, FloodRun

from .node_process import NodeCase

RUNS_ALONE = True
"""The runner runs this module apart from other load."""

ORDINARY_REQUESTS = (
    ("clients", "/x"),
    ("readiness", "/-/readyz"),
    ("control", "/-/configuration"),
    ("metrics", "/metrics"),
)
NOT_CONFIGURED = 503
"""Status of an ordinary request before the first configuration."""


class HostileClientTest(NodeCase):
    """One kind of client outside the limits, at a node without a configuration."""

    scenarios = [(name, {"flood": flood}) for name, flood in FLOODS.items()]

    def test_node_stays_within_its_machine(self) -> None:
        """The node lives within its memory, and answers ordinary requests then."""
        node = self.start_node()
        run = FloodRun(self.flood, node.addresses[self.flood.address])
        self.addCleanup(run.close)
        run.run(node.watch)
        for address, path in ORDINARY_REQUESTS:
            status = node.request(address, "GET", path)
            expected = 200 if address == "metrics" else NOT_CONFIGURED
            self.assertEqual(expected, status, address)
        self.check_bounds(node)
