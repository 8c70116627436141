"""Tests of the view: packed loads, deltas and changes of the leader."""

from __future__ import annotations

import testtools
from msgspec.structs import replace

from laburnumpitch.control.leader_view import TARGET_TTL_S, LeaderView
from laburnumpitch.membership.cluster_view import ClusterView
from laburnumpitch.membership.load_codec import (
    decode_prefill_tokens,
    encode_prefill_tokens,
    pack_loads,
    quantise_load,
    unpack_loads,
)
from laburnumpitch.membership.messages import (
    LEAVING,
    Heartbeat,
    HeartbeatAnswer,
    NodeInfo,
    TargetInfo,
    TargetLoad,
    ViewCursor,
)
from laburnumpitch.membership.session import Session
from laburnumpitch.metrics import Metrics

NODE = NodeInfo("n1", 1, "a", "b", "dc")
TARGET = TargetInfo("t1", "engine", "p", "addr", "dc", 1)
LOAD = TargetLoad("t1", 1, 1, running=3, queued=2, weight_version="v1")


def make_heartbeat(targets=(), loads=(), heard=()) -> Heartbeat:
    """Return a heartbeat that reports targets and loads.

    The ids in `heard` are of targets whose announcements changed nothing.
    """
    names = [target.target_id for target in targets] + list(heard)
    cursor = ViewCursor()
    return Heartbeat(NODE, 0, cursor, 0, list(targets), names, list(loads))


def send_delta(view: ClusterView, leader: LeaderView, now_s: float = 1.0) -> None:
    """Apply the leader's current delta to a node's view."""
    view.apply_delta(leader.make_delta(view.cursor, now_s))


class LoadCodecTest(testtools.TestCase):
    """Encoding of load reports."""

    scenarios = [
        (str(tokens), {"tokens": tokens})
        for tokens in (0, 255, 256, 1000, 4096, 70_000, 5_000_000)
    ]

    def test_prefill_token_scale(self) -> None:
        """A decoded number of tokens is within 5% and is encoded to the same code."""
        value = decode_prefill_tokens(encode_prefill_tokens(self.tokens))
        if self.tokens >= 256:
            self.assertLessEqual(abs(value - self.tokens), 0.05 * self.tokens)
        self.assertEqual(value, decode_prefill_tokens(encode_prefill_tokens(value)))

    def test_round_trip(self) -> None:
        """A report is encoded in five bytes and decoded to the same values."""
        load = quantise_load(replace(LOAD, queued_prefill_tokens=self.tokens))
        data = pack_loads([load], {"t1": 7}, {"v0": 0, "v1": 1})
        self.assertEqual(5, len(data))
        row = next(unpack_loads(data))
        self.assertEqual(
            (7, 5, 1, False),
            (
                row.target_number,
                row.running,
                row.version_index,
                row.is_loading,
            ),
        )
        self.assertEqual(load.queued_prefill_tokens, row.queued_prefill_tokens)


class ViewTest(testtools.TestCase):
    """A node's view compared with its leader's."""

    def test_deltas(self) -> None:
        """Deltas reproduce the leader's view; a diverged view gets the full one."""
        leader = LeaderView(1, 0.0)
        view = ClusterView()
        leader.apply_heartbeat(make_heartbeat([TARGET], [quantise_load(LOAD)]), 1.0)
        send_delta(view, leader, 10.0)
        self.assertEqual(leader.digest, view.cursor.digest)
        self.assertEqual(5, view.loads["t1"].running)
        self.assertEqual("v1", view.loads["t1"].weight_version)
        delta = leader.make_delta(view.cursor, 10.0)
        self.assertEqual((False, [], b""), (delta.is_full, delta.nodes, delta.loads))
        view.targets.remove("t1")
        self.assertTrue(leader.make_delta(view.cursor, 10.0).is_full)
        send_delta(view, leader, 10.0)
        self.assertEqual([TARGET], view.get_available_targets("p"))

    def test_leaving_is_final(self) -> None:
        """An older announcement does not bring a leaving target back."""
        leader = LeaderView(1, 0.0)
        view = ClusterView()
        leader.apply_heartbeat(make_heartbeat([TARGET]), 1.0)
        send_delta(view, leader)
        leaving = replace(TARGET, state=LEAVING)
        leader.apply_heartbeat(make_heartbeat([leaving]), 1.5)
        leader.apply_heartbeat(make_heartbeat([TARGET]), 2.0)
        send_delta(view, leader)
        self.assertEqual([], view.get_available_targets("p"))
        returned = replace(TARGET, incarnation=2)
        leader.apply_heartbeat(make_heartbeat([returned]), 3.0)
        send_delta(view, leader)
        self.assertEqual([returned], view.get_available_targets("p"))

    def test_new_leader(self) -> None:
        """A new leader removes nothing until all nodes had time to send heartbeats."""
        first, second = LeaderView(1, 0.0), LeaderView(2, 100.0)
        view = ClusterView()
        first.apply_heartbeat(make_heartbeat([TARGET], [quantise_load(LOAD)]), 1.0)
        send_delta(view, first, 10.0)
        second.apply_heartbeat(make_heartbeat(), 100.1)
        send_delta(view, second, 100.1)
        self.assertEqual([TARGET], view.get_available_targets("p"))
        send_delta(view, second, 100.0 + TARGET_TTL_S + 0.1)
        self.assertEqual([], view.get_available_targets("p"))
        send_delta(view, first, 200.0)
        self.assertEqual([], view.get_available_targets("p"))

    def test_new_leader_requests_missing_targets(self) -> None:
        """Targets and unchanged loads are sent again to a leader that lacks them."""
        session = Session(None, NODE, Metrics(), lambda: 0.0)
        first, second = LeaderView(1, 0.0), LeaderView(2, 50.0)
        for leader in (first, second, second):
            session.record_announcement(TARGET, LOAD)
            announced_targets, session.announced_targets = session.announced_targets, {}
            changed_loads, session.changed_loads = session.changed_loads, {}
            heartbeat = session.make_heartbeat(announced_targets, changed_loads)
            leader.apply_heartbeat(heartbeat, 60.0)
            session.apply_answer(
                HeartbeatAnswer(
                    3.0,
                    0,
                    [],
                    leader.make_delta(session.view.cursor, 60.0),
                    0,
                    None,
                    [],
                    leader.find_unknown_targets(heartbeat.heard),
                ),
                0.0,
            )
        self.assertEqual({"t1"}, set(second.targets.items))
        self.assertEqual({"t1"}, set(second.loads.items))

    def test_unreachable_target(self) -> None:
        """A target without announcements for `TARGET_TTL_S` is removed."""
        leader = LeaderView(1, 0.0)
        view = ClusterView()
        leader.apply_heartbeat(make_heartbeat([TARGET]), 1.0)
        send_delta(view, leader)
        leader.apply_heartbeat(make_heartbeat(heard=["t1"]), 3.0)
        self.assertEqual([], leader.expire_targets(3.0 + TARGET_TTL_S))
        self.assertEqual(["t1"], leader.expire_targets(3.1 + TARGET_TTL_S))
        send_delta(view, leader)
        self.assertEqual([], view.get_available_targets("p"))
