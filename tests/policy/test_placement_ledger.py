"""The placement ledger, and a simulation of many nodes that share engines."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import testtools

from laburnumpitch.policy.placement_ledger import PLACEMENT_TTL_S, PlacementLedger
from laburnumpitch.policy.prefill_rate import (
    INITIAL_PREFILL_TOKENS_PER_S,
    MIN_PREFILL_TOKENS_PER_S,
    PrefillRate,
)
from laburnumpitch.policy.target_selection import TargetCandidate, choose_target


class PlacementLedgerTest(testtools.TestCase):
    """How placements are counted."""

    def test_counts(self) -> None:
        """A placement counts until its release, its prompt until its prefill."""
        ledger = PlacementLedger()
        first = ledger.assign("a", 100, 0.0)
        ledger.assign("a", 50, 0.0)
        ledger.record_prefill(first, 0.1)
        ledger.record_prefill(first, 0.2)
        load = ledger.get_usage("a")
        self.assertEqual(
            (2, 150, 50), (load.running, load.tokens, load.pending_prefill_tokens)
        )
        ledger.release(first)
        ledger.release(first)
        load = ledger.get_usage("a")
        self.assertEqual(
            (1, 50, 50), (load.running, load.tokens, load.pending_prefill_tokens)
        )

    def test_unknown_numbers(self) -> None:
        """Progress of placements from another coordinator changes nothing."""
        ledger = PlacementLedger()
        ledger.record_prefill(7, 0.0)
        ledger.release(7)
        self.assertEqual(0, ledger.get_usage("a").running)

    def test_placements_of_dead_nodes_expire(self) -> None:
        """Placements that no node releases expire."""
        ledger = PlacementLedger()
        ledger.assign("a", 100, 0.0)
        ledger.assign("a", 100, 10.0)
        self.assertEqual(1, ledger.expire(PLACEMENT_TTL_S + 1.0))
        self.assertEqual(1, ledger.get_usage("a").running)

    def test_prefill_rate_is_measured(self) -> None:
        """A rate of half the initial one is measured within some seconds."""
        ledger = PlacementLedger()
        for second in range(20):
            number = ledger.assign(
                "a", int(INITIAL_PREFILL_TOKENS_PER_S / 2), float(second)
            )
            ledger.record_prefill(number, second + 1.0)
            ledger.release(number)
        self.assertLess(
            ledger.prefill_rate.tokens_per_s, INITIAL_PREFILL_TOKENS_PER_S * 0.6
        )

    def test_prefill_rate_has_a_lower_bound(self) -> None:
        """One stuck engine does not reduce the rate of a service without bound."""
        ledger = PlacementLedger()
        for number in range(20):
            placement = ledger.assign("a", 10, number * 100.0)
            ledger.record_prefill(placement, number * 100.0 + 90.0)
            ledger.release(placement)
        self.assertGreaterEqual(
            ledger.prefill_rate.tokens_per_s, MIN_PREFILL_TOKENS_PER_S
        )


ENGINES = 45
NODES = 66
REPORT_AGE_S = 0.4
"""Age of the load reports of other nodes."""

PREFILL_TOKENS_PER_S = 157_000.0
"""Prefill rate of one engine."""

ARRIVALS_PER_S = 700.0
"""About 80% of what the engines can prefill."""

SIMULATED_S = 12.0
OBJECTIVE_S = 0.3
OVERHEAD_S = 0.08
"""Time of an answer other than the wait for prefill and the prefill itself."""

ChooseEngine = Callable[[int, float, list[int], list[int], random.Random], int]
"""Chooses an engine from the node's number, the time, the node's own and the reported
pending tokens by engine, and a random source."""


def choose_by_reports(node, now_s, own, reported, source) -> int:
    """Return the less loaded of two random engines, by the node's last reports."""
    sampled = source.sample(range(ENGINES), 2)
    return min(sampled, key=lambda engine: own[engine] + reported[engine])


def choose_least_in_flight(node, now_s, own, reported, source) -> int:
    """Return the engine with the fewest tokens in flight from this node."""
    return min(range(ENGINES), key=lambda engine: (own[engine], source.random()))


def simulate(choose: ChooseEngine | None) -> float:
    """Simulate steady load and return the share of requests within the objective.

    Without a `choose` function, a placement ledger selects the engines.
    """
    source = random.Random(11)
    free_s = [0.0] * ENGINES
    pending_tokens = [0] * ENGINES
    own = [[0] * ENGINES for _ in range(NODES)]
    ledger = PlacementLedger(prefill_rate=PrefillRate(PREFILL_TOKENS_PER_S))
    counter = itertools.count()
    history: list[tuple[float, list[int]]] = [(-1.0, [0] * ENGINES)]
    events: list[tuple[float, int, int, int, int, int]] = []
    now_s, within_objective, total = 0.0, 0, 0
    while now_s < SIMULATED_S:
        now_s += source.expovariate(ARRIVALS_PER_S)
        while events and events[0][0] <= now_s:
            prefilled_s, _, node, engine, tokens, number = heapq.heappop(events)
            pending_tokens[engine] -= tokens
            own[node][engine] -= tokens
            if number:
                ledger.record_prefill(number, prefilled_s)
                ledger.release(number)
        if now_s - history[-1][0] > REPORT_AGE_S / 8:
            history.append((now_s, list(pending_tokens)))
        tokens = min(30_000, int(source.lognormvariate(8.9, 0.5)))
        node = source.randrange(NODES)
        number = 0
        if choose is None:
            candidates = [
                TargetCandidate(
                    str(engine),
                    12,
                    0,
                    load.pending_prefill_tokens,
                    0.2,
                    0.0,
                    *[False] * 4,
                )
                for engine, load in enumerate(
                    ledger.get_usage(str(e)) for e in range(ENGINES)
                )
            ]
            ties = [source.random() for _ in candidates]
            engine = int(
                choose_target(candidates, "", ties, 1, PREFILL_TOKENS_PER_S).target_id
            )
            number = ledger.assign(str(engine), tokens, now_s)
        else:
            report = next(h for h in reversed(history) if h[0] <= now_s - REPORT_AGE_S)
            engine = choose(node, now_s, own[node], report[1], source)
        pending_tokens[engine] += tokens
        own[node][engine] += tokens
        free_s[engine] = max(free_s[engine], now_s) + tokens / PREFILL_TOKENS_PER_S
        total += 1
        within_objective += free_s[engine] - now_s + OVERHEAD_S <= OBJECTIVE_S
        item = (free_s[engine], next(counter), node, engine, tokens, number)
        heapq.heappush(events, item)
        if len(history) > 40:
            history = history[-20:]
    return within_objective / total


class ManyNodesTest(testtools.TestCase):
    """66 nodes that share 45 engines, each node with some requests a second."""

    scenarios = [
        ("least_in_flight", {"baseline": choose_least_in_flight}),
        ("best_of_two_by_reports", {"baseline": choose_by_reports}),
    ]

    def test_more_within_objective(self) -> None:
        """A shared ledger beats nodes that choose independently."""
        with_ledger, without_ledger = simulate(None), simulate(self.baseline)
        self.assertGreater(with_ledger, 0.97)
        self.assertGreater(with_ledger, without_ledger + 0.1)
