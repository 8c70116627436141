"""Weight versions that operators set one after another, and engines that lag behind."""

from __future__ import annotations

import zlib
from types import SimpleNamespace

import testtools
from msgspec.structs import replace

from laburnumpitch.fleet.fleet_view import FleetView
from laburnumpitch.fleet.messages import (
    FleetFacts,
    FleetSnapshot,
    FollowAnswer,
    NodeRecord,
    PlaceCall,
    TargetRecord,
)
from laburnumpitch.relay.target_catalog import TargetCatalog
from laburnumpitch.relay.target_statistics import TargetStatistics

from ..relay.relay_case import CONFIGURATION, SERVICE

MODEL = "m"
MAX_OUTDATED_S = 12.0
HOST = "h1"

TARGET = TargetRecord(
    "t0", SERVICE, "a0", "dc", 1, 1, 4, versions={MODEL: 1}, build="v1"
)
FACTS = FleetFacts({MODEL: 1}, [], [HOST], [], {})
CALL = PlaceCall(SERVICE, "", MODEL, 100, 0, 1, 0.4, 0.2, "dc", [], [])


class SuccessiveVersionsTest(testtools.TestCase):
    """A node whose only engine keeps version 1."""

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 1000.0
        self.sequence = 0
        self.view = self.make_view()

    def make_view(self) -> FleetView:
        """Return the view of a node that has just started."""
        leader_client = SimpleNamespace(leader_name=HOST, set_hosts=lambda hosts: None)
        return FleetView(
            NodeRecord(HOST, "n1", "", "", "dc", False),
            leader_client,
            lambda text: CONFIGURATION,
            1.0,
            lambda: self.now_s,
        )

    def apply(self, view: FleetView, version: int, **changes) -> None:
        """Receive facts with a desired version from the leader."""
        self.sequence += 1
        facts = replace(FACTS, weights={MODEL: version}, **changes)
        answer = FollowAnswer(1, self.sequence, True, True, [TARGET], 1, b"", facts, {})
        view.apply_answer(answer, self.now_s)

    def is_eligible(self, view: FleetView) -> bool:
        """Whether a request may begin on the engine."""
        catalog = TargetCatalog(
            view,
            TargetStatistics(lambda: self.now_s),
            lambda: self.now_s,
            MAX_OUTDATED_S,
        )
        return catalog.is_eligible(TARGET, CALL)

    def test_later_versions_do_not_extend_the_use_of_old_weights(self) -> None:
        """Guards against requests that begin on weights replaced long ago.

        Each further version made the weights before it count as just replaced.
        """
        self.apply(self.view, 1)
        self.assertTrue(self.is_eligible(self.view))
        for version in range(2, 6):
            self.apply(self.view, version)
            self.assertTrue(self.is_eligible(self.view), version)
            self.now_s += 3.0
        self.assertFalse(self.is_eligible(self.view))

    def test_a_restart_does_not_extend_the_use_of_old_weights(self) -> None:
        """Guards against a node that counts from its own start."""
        for restore in (self.restore_from_leader, self.restore_from_snapshot):
            self.view = self.make_view()
            self.apply(self.view, 1)
            self.apply(self.view, 2)
            self.now_s += 8.0
            view = self.make_view()
            restore(view)
            self.assertTrue(self.is_eligible(view))
            self.now_s += 3.0
            self.assertFalse(self.is_eligible(view))

    def restore_from_leader(self, view: FleetView) -> None:
        """Let a restarted node hear the ages from the leader."""
        self.apply(view, 2, weight_ages=self.view.get_facts().weight_ages)

    def restore_from_snapshot(self, view: FleetView) -> None:
        """Let a restarted node take over another node's state, without a leader."""
        snapshot = FleetSnapshot(zlib.compress(b"{}"), [TARGET], self.view.get_facts())
        view.apply_snapshot(snapshot)
