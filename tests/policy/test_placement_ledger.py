"""What a fleet has at targets, and a replay of many nodes that share engines."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import testtools

from laburnumpitch.policy.placement_ledger import (
    INITIAL_PREFILL_TOKENS_PER_S,
    MIN_PREFILL_TOKENS_PER_S,
    PLACEMENT_TTL_S,
    PlacementLedger,
)
from laburnumpitch.policy.target_selection import TargetCandidate, choose_target


class LedgerTest(testtools.TestCase):
    """How places are counted."""

    def test_counts(self) -> None:
        """A place counts until it is given back, its prompt until it is read."""
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
        """News of places that another coordinator gave change nothing."""
        ledger = PlacementLedger()
        ledger.record_prefill(7, 0.0)
        ledger.release(7)
        self.assertEqual(0, ledger.get_usage("a").running)

    def test_places_of_dead_nodes_come_free(self) -> None:
        """Nobody gives them back."""
        ledger = PlacementLedger()
        ledger.assign("a", 100, 0.0)
        ledger.assign("a", 100, 10.0)
        self.assertEqual(1, ledger.expire(PLACEMENT_TTL_S + 1.0))
        self.assertEqual(1, ledger.get_usage("a").running)

    def test_rate_is_learnt(self) -> None:
        """Reading at half of the first rate is noticed within some seconds."""
        ledger = PlacementLedger()
        for second in range(20):
            number = ledger.assign(
                "a", int(INITIAL_PREFILL_TOKENS_PER_S / 2), float(second)
            )
            ledger.record_prefill(number, second + 1.0)
            ledger.release(number)
        self.assertLess(ledger.prefill_tokens_per_s, INITIAL_PREFILL_TOKENS_PER_S * 0.6)

    def test_stuck_engines_do_not_stop_others(self) -> None:
        """The rate does not fall without bound."""
        ledger = PlacementLedger()
        for number in range(20):
            place = ledger.assign("a", 10, number * 100.0)
            ledger.record_prefill(place, number * 100.0 + 90.0)
            ledger.release(place)
        self.assertGreaterEqual(ledger.prefill_tokens_per_s, MIN_PREFILL_TOKENS_PER_S)


ENGINES = 45
NODES = 66
REPORT_S = 0.4
"""Age of what nodes know of each other's load."""

RATE = 157_000.0
ARRIVALS_PER_S = 700.0
"""Some eight tenths of what the engines read."""

SECONDS = 12.0
OBJECTIVE_S = 0.3
OTHER_S = 0.08
"""Time of an answer beside the wait for a place and the reading."""

Choose = Callable[[int, float, list[int], list[int], random.Random], int]


def choose_by_reports(node, now_s, own, reported, source) -> int:
    """Return the less loaded of two engines, as far as a node knows."""
    pair = source.sample(range(ENGINES), 2)
    return min(pair, key=lambda engine: own[engine] + reported[engine])


def choose_least_in_flight(node, now_s, own, reported, source) -> int:
    """Return the engine where this node has least."""
    return min(range(ENGINES), key=lambda engine: (own[engine], source.random()))


def replay(choose: Choose | None) -> float:
    """Play steady load and return the share in aim; without a choice, the ledger's."""
    source = random.Random(11)
    free_s = [0.0] * ENGINES
    unread = [0] * ENGINES
    own = [[0] * ENGINES for _ in range(NODES)]
    ledger = PlacementLedger(prefill_tokens_per_s=RATE)
    counter = itertools.count()
    history: list[tuple[float, list[int]]] = [(-1.0, [0] * ENGINES)]
    events: list[tuple[float, int, int, int, int, int]] = []
    now_s, in_aim, total = 0.0, 0, 0
    while now_s < SECONDS:
        now_s += source.expovariate(ARRIVALS_PER_S)
        while events and events[0][0] <= now_s:
            read_s, _, node, engine, tokens, number = heapq.heappop(events)
            unread[engine] -= tokens
            own[node][engine] -= tokens
            if number:
                ledger.record_prefill(number, read_s)
                ledger.release(number)
        if now_s - history[-1][0] > REPORT_S / 8:
            history.append((now_s, list(unread)))
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
            engine = int(choose_target(candidates, "", ties, 1, RATE).target_id)
            number = ledger.assign(str(engine), tokens, now_s)
        else:
            known = next(h for h in reversed(history) if h[0] <= now_s - REPORT_S)
            engine = choose(node, now_s, own[node], known[1], source)
        unread[engine] += tokens
        own[node][engine] += tokens
        free_s[engine] = max(free_s[engine], now_s) + tokens / RATE
        total += 1
        in_aim += free_s[engine] - now_s + OTHER_S <= OBJECTIVE_S
        item = (free_s[engine], next(counter), node, engine, tokens, number)
        heapq.heappush(events, item)
        if len(history) > 40:
            history = history[-20:]
    return in_aim / total


class ManyNodesTest(testtools.TestCase):
    """66 nodes before 45 engines, each node with some requests a second."""

    scenarios = [
        ("least_in_flight", {"baseline": choose_least_in_flight}),
        ("two_by_reports", {"baseline": choose_by_reports}),
    ]

    def test_more_in_aim(self) -> None:
        """One ledger places what nodes apart from each other cannot."""
        ours, base = replay(None), replay(self.baseline)
        self.assertGreater(ours, 0.97)
        self.assertGreater(ours, base + 0.1)
