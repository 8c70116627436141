"""Choices of targets for relayed requests."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import testtools

from laburnumpitch.policy.target_selection import (
    PREFILL_TOKENS_PER_S,
    TargetCandidate,
    choose_target,
    rank_by_rendezvous_hash,
)

FREE = TargetCandidate(
    target_id="a",
    slots=12,
    running=0,
    pending_prefill_tokens=0,
    service_s=0.1,
    failure_rate=0.0,
    is_in_backoff=False,
    is_possibly_unreachable=False,
    has_outdated_weights=False,
    is_remote=False,
)
OTHER = replace(FREE, target_id="b")
HOME = rank_by_rendezvous_hash("session", ["a", "b"])[0]
AWAY = "b" if HOME == "a" else "a"
SESSION_TOKENS = 7500
TRANSFER_S = SESSION_TOKENS / PREFILL_TOKENS_PER_S


def choose(candidates: list[TargetCandidate], key: str = "") -> str:
    """Return the chosen target."""
    ties = [0.1 * number for number in range(len(candidates))]
    return choose_target(candidates, key, ties, 9).target_id


class PlainTest(testtools.TestCase):
    """The better of two targets without kept context."""

    scenarios = [
        ("fewer_requests", {"worse": replace(FREE, running=3)}),
        ("fails", {"worse": replace(FREE, failure_rate=0.5)}),
        ("failed_right_now", {"worse": replace(FREE, is_in_backoff=True)}),
        ("doubtful", {"worse": replace(FREE, is_possibly_unreachable=True)}),
        ("outdated", {"worse": replace(FREE, has_outdated_weights=True)}),
        ("remote", {"worse": replace(FREE, is_remote=True)}),
        ("cold", {"worse": replace(FREE, cold_start_s=2.0)}),
    ]

    def test_better_one(self) -> None:
        """It is chosen, whichever comes first."""
        self.assertEqual("b", choose([self.worse, OTHER]))
        self.assertEqual("b", choose([OTHER, self.worse]))


class OnlyOneTest(testtools.TestCase):
    """A service of which one target is left."""

    scenarios = [
        ("suspect", {"left": replace(FREE, is_in_backoff=True)}),
        ("doubtful", {"left": replace(FREE, is_possibly_unreachable=True)}),
        ("failing", {"left": replace(FREE, failure_rate=1.0)}),
    ]

    def test_it_is_used(self) -> None:
        """Mistrust alone never shuts a service."""
        self.assertEqual("a", choose([self.left]))


class ManyNodesTest(testtools.TestCase):
    """Many nodes that all know the same late loads."""

    def test_they_do_not_all_take_the_same_target(self) -> None:
        """No target gets more than a few times its share."""
        source = random.Random(7)
        targets = [
            replace(FREE, target_id=f"t{number}", running=number % 5)
            for number in range(20)
        ]
        chosen: Counter[str] = Counter()
        for _ in range(400):
            ties = [source.random() for _ in targets]
            chosen[choose_target(targets, "", ties, 66).target_id] += 1
        self.assertLess(max(chosen.values()), 3 * 400 / len(targets))
        busiest = sum(chosen[t.target_id] for t in targets if t.running == 4)
        self.assertLess(busiest, 400 / len(targets) * 4)


class AffinityTest(testtools.TestCase):
    """Requests that share context."""

    def make(self, **home) -> list[TargetCandidate]:
        """Return two targets, of which the home has something changed."""
        return [
            replace(FREE, target_id=HOME, transfer_s=TRANSFER_S, **home),
            replace(FREE, target_id=AWAY, transfer_s=TRANSFER_S),
        ]

    def test_home(self) -> None:
        """They go where the context is."""
        self.assertEqual(HOME, choose(self.make(), "session"))

    def test_home_is_busy(self) -> None:
        """They leave when waiting takes longer than reading the context anew."""
        wait = int(2 * SESSION_TOKENS)
        found = choose(self.make(pending_prefill_tokens=wait), "session")
        self.assertEqual(AWAY, found)

    def test_outdated_targets_share_a_rollout_s_load(self) -> None:
        """During a rollout the engines not yet reached carry load too."""
        busy = int(PREFILL_TOKENS_PER_S * 0.6)
        renewed = replace(FREE, pending_prefill_tokens=busy)
        outdated = replace(OTHER, has_outdated_weights=True)
        self.assertEqual("b", choose([renewed, outdated]))

    def test_same_order_on_every_node(self) -> None:
        """The order depends on the names alone."""
        names = [f"t{number}" for number in range(20)]
        self.assertEqual(
            rank_by_rendezvous_hash("session", names),
            rank_by_rendezvous_hash("session", names[::-1]),
        )
