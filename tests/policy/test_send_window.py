"""The send window, and a simulation of load close to the capacity of the engines."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

import testtools

from laburnumpitch.policy.send_window import (
    INITIAL_WINDOW_PROMPTS,
    MIN_WINDOW_PROMPTS,
    PENDING_EXPIRY_OBJECTIVES,
    TYPICAL_PROMPT_TOKENS,
    SendWindow,
)

OBJECTIVE_S = 0.4


class WindowTest(testtools.TestCase):
    """How the window adapts."""

    def test_one_prompt_always_fits(self) -> None:
        """A prompt larger than the window is sent alone."""
        window = SendWindow()
        self.assertTrue(window.may_send(10**6, 0.0))
        window.record_sent(1, 10**6, OBJECTIVE_S, 0.0)
        self.assertFalse(window.may_send(1, 0.0))

    def test_pending_prompts_expire(self) -> None:
        """A prompt at an unreachable engine stops counting after some time."""
        window = SendWindow()
        window.record_sent(1, 10**6, OBJECTIVE_S, 0.0)
        self.assertTrue(
            window.may_send(1, PENDING_EXPIRY_OBJECTIVES * OBJECTIVE_S + 0.01)
        )

    def test_slow_prefill_shrinks_window_once(self) -> None:
        """Prompts sent before a decrease do not cause another one."""
        window = SendWindow()
        for _ in range(5):
            window.update_limit(1000, OBJECTIVE_S, OBJECTIVE_S, 10.0)
        initial = INITIAL_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS
        self.assertLess(window.limit_tokens, initial)
        self.assertGreater(window.limit_tokens, initial / 2)

    def test_window_has_a_lower_bound(self) -> None:
        """However slow prefill is, some prompts are sent."""
        window = SendWindow()
        for second in range(100):
            window.update_limit(1000, 5.0, OBJECTIVE_S, second * 10.0)
        self.assertEqual(
            MIN_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS, window.limit_tokens
        )

    def test_fast_prefill_grows_window(self) -> None:
        """With fast prefill, the window grows to fit a burst of a node's clients."""
        window = SendWindow()
        for second in range(40):
            window.update_limit(4096, 0.05, OBJECTIVE_S, float(second))
        initial = INITIAL_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS
        self.assertGreater(window.limit_tokens, 2 * initial)


ENGINES = 4
NODES = 12
PREFILL_TOKENS_PER_S = 112_000.0
"""Prefill rate of one engine."""

MEMORY_TOKENS = 65_000
"""Tokens of pending prompts above which an engine evicts the kept part."""

KEPT_TOKENS = 6_000
"""Part of a prompt that an engine keeps in memory until newer prompts evict it."""

PROMPT_TOKENS = 9_000
ARRIVALS_PER_S = 100.0
"""Load that the engines can serve with the kept parts, but not without them."""

SIMULATED_S = 20.0
STALL_PERIOD_S = (5.0, 7.0)
"""Start and end of the time in which half of the engines are stalled."""


@dataclass
class Engine:
    """Prefills prompts in turn; evicts the kept part when memory is exceeded."""

    free_s: float = 0.0
    """Time at which the engine has prefilled all prompts that it has received."""
    pending: int = 0
    """Number of prompts that are not yet prefilled."""

    def prefill(self, now_s: float) -> float:
        """Return the time at which a prompt that arrives now is prefilled."""
        exceeds_memory = self.pending * PROMPT_TOKENS > MEMORY_TOKENS
        tokens = PROMPT_TOKENS if exceeds_memory else PROMPT_TOKENS - KEPT_TOKENS
        self.free_s = max(self.free_s, now_s) + tokens / PREFILL_TOKENS_PER_S
        return self.free_s


def simulate(make_window: Callable[[], SendWindow | None]) -> tuple[float, float]:
    """Simulate a stall of half of the engines; return the shares served and in time.

    Each node sends what its window allows to the engine with the fewest of its own
    requests in flight, and drops a request after two objectives.
    """
    source = random.Random(7)
    engines = [Engine() for _ in range(ENGINES)]
    windows = [make_window() for _ in range(NODES)]
    waiting: list[list[float]] = [[] for _ in range(NODES)]
    own = [[0] * ENGINES for _ in range(NODES)]
    numbers = itertools.count()
    events: list[tuple[float, int, str, tuple]] = []
    now_s = 0.0
    while now_s < SIMULATED_S:
        now_s += source.expovariate(ARRIVALS_PER_S)
        node = source.randrange(NODES)
        heapq.heappush(events, (now_s, next(numbers), "arrives", (node,)))
    total, served, within_objective = len(events), 0, 0
    while events:
        now_s, _, kind, detail = heapq.heappop(events)
        node = detail[0]
        if kind == "arrives":
            waiting[node].append(now_s)
        else:
            _, engine, number, arrived_s, sent_s = detail
            engines[engine].pending -= 1
            own[node][engine] -= 1
            served += 1
            within_objective += now_s - arrived_s <= OBJECTIVE_S
            window = windows[node]
            if window is not None:
                window.remove(number)
                window.update_limit(PROMPT_TOKENS, now_s - sent_s, OBJECTIVE_S, now_s)
        while waiting[node]:
            window = windows[node]
            if window is not None and not window.may_send(PROMPT_TOKENS, now_s):
                break
            arrived_s = waiting[node].pop(0)
            if now_s - arrived_s > 2 * OBJECTIVE_S:
                continue
            number = next(numbers)
            engine = min(range(ENGINES), key=lambda e: (own[node][e], source.random()))
            engines[engine].pending += 1
            own[node][engine] += 1
            if STALL_PERIOD_S[0] < now_s < STALL_PERIOD_S[1] and engine < ENGINES // 2:
                engines[engine].free_s = max(engines[engine].free_s, STALL_PERIOD_S[1])
            prefilled_s = engines[engine].prefill(now_s)
            if window is not None:
                window.record_sent(number, PROMPT_TOKENS, OBJECTIVE_S, now_s)
            item = (node, engine, number, arrived_s, now_s)
            heapq.heappush(events, (prefilled_s, number, "prefilled", item))
    return served / total, within_objective / total


class StallTest(testtools.TestCase):
    """A simulated stall, with the window and with the baseline, least in flight."""

    def test_more_within_objective_than_least_in_flight(self) -> None:
        """Engines keep shared context, so that they recover after the stall."""
        served, within_objective = simulate(SendWindow)
        base_served, base_within_objective = simulate(lambda: None)
        self.assertGreater(within_objective, 1.3 * base_within_objective)
        self.assertGreater(within_objective, 0.5)
        self.assertGreater(served, 0.7)
