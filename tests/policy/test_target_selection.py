"""Selection of targets for relayed requests."""

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

FREE_A = TargetCandidate(
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
FREE_B = replace(FREE_A, target_id="b")
AFFINITY_TARGET = rank_by_rendezvous_hash("session", ["a", "b"])[0]
OTHER_TARGET = "b" if AFFINITY_TARGET == "a" else "a"
SESSION_TOKENS = 7500
TRANSFER_S = SESSION_TOKENS / PREFILL_TOKENS_PER_S
"""Time to get the session's context elsewhere: as long as computing it again."""


def choose(candidates: list[TargetCandidate], key: str = "") -> str:
    """Return the id of the target that one of nine nodes chooses."""
    ties = [0.1 * number for number in range(len(candidates))]
    return choose_target(candidates, key, ties, 9).target_id


class CostTest(testtools.TestCase):
    """Selection between two targets without kept context."""

    scenarios = [
        ("more_requests", {"worse": replace(FREE_A, running=3)}),
        ("failing", {"worse": replace(FREE_A, failure_rate=0.5)}),
        ("in_backoff", {"worse": replace(FREE_A, is_in_backoff=True)}),
        (
            "possibly_unreachable",
            {"worse": replace(FREE_A, is_possibly_unreachable=True)},
        ),
        ("outdated_weights", {"worse": replace(FREE_A, has_outdated_weights=True)}),
        ("remote", {"worse": replace(FREE_A, is_remote=True)}),
        ("cold_start", {"worse": replace(FREE_A, cold_start_s=2.0)}),
    ]

    def test_cheaper_target(self) -> None:
        """The cheaper target is chosen, whichever comes first in the list."""
        self.assertEqual("b", choose([self.worse, FREE_B]))
        self.assertEqual("b", choose([FREE_B, self.worse]))


class LastTargetTest(testtools.TestCase):
    """A service with a single target left."""

    scenarios = [
        ("in_backoff", {"left": replace(FREE_A, is_in_backoff=True)}),
        (
            "possibly_unreachable",
            {"left": replace(FREE_A, is_possibly_unreachable=True)},
        ),
        ("failing", {"left": replace(FREE_A, failure_rate=1.0)}),
    ]

    def test_last_target_is_used(self) -> None:
        """Penalties alone never make a service unavailable."""
        self.assertEqual("a", choose([self.left]))


class ManyNodesTest(testtools.TestCase):
    """Many nodes that all know the same delayed loads."""

    def test_requests_spread_over_targets(self) -> None:
        """No target gets more than a few times its even share."""
        source = random.Random(7)
        targets = [
            replace(FREE_A, target_id=f"t{number}", running=number % 5)
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

    def make_candidates(self, **changes) -> list[TargetCandidate]:
        """Return two targets, with the given changes to the affinity target."""
        return [
            replace(
                FREE_A, target_id=AFFINITY_TARGET, transfer_s=TRANSFER_S, **changes
            ),
            replace(FREE_A, target_id=OTHER_TARGET, transfer_s=TRANSFER_S),
        ]

    def test_affinity_target(self) -> None:
        """Requests go to the target that keeps their context."""
        self.assertEqual(AFFINITY_TARGET, choose(self.make_candidates(), "session"))

    def test_busy_affinity_target(self) -> None:
        """Requests go elsewhere if the wait is longer than recomputing the context."""
        queued_tokens = int(2 * SESSION_TOKENS)
        chosen = choose(
            self.make_candidates(pending_prefill_tokens=queued_tokens), "session"
        )
        self.assertEqual(OTHER_TARGET, chosen)

    def test_outdated_targets_take_requests_during_rollout(self) -> None:
        """During a rollout, engines with older weights still take requests."""
        busy_tokens = int(PREFILL_TOKENS_PER_S * 0.6)
        updated = replace(FREE_A, pending_prefill_tokens=busy_tokens)
        outdated = replace(FREE_B, has_outdated_weights=True)
        self.assertEqual("b", choose([updated, outdated]))

    def test_ranking_is_independent_of_input_order(self) -> None:
        """The ranking depends only on the names, so every node computes the same."""
        names = [f"t{number}" for number in range(20)]
        self.assertEqual(
            rank_by_rendezvous_hash("session", names),
            rank_by_rendezvous_hash("session", names[::-1]),
        )


class ReachabilityTest(testtools.TestCase):
    """Targets that are possibly unreachable, beside loaded ones."""

    def test_loaded_target_goes_first(self) -> None:
        """A loaded target is chosen before one that may not answer at all."""
        loaded = replace(FREE_A, running=40, slots=12, service_s=3.0)
        silent = replace(FREE_B, is_possibly_unreachable=True)
        self.assertEqual("a", choose([loaded, silent]))
        self.assertEqual("b", choose([silent]))
