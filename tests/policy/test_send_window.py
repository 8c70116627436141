"""What a node may have unread, and a replay of load at the edge of capacity."""

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
    """How the window moves."""

    def test_one_prompt_always_fits(self) -> None:
        """A prompt larger than the window is sent alone."""
        window = SendWindow()
        self.assertTrue(window.may_send(10**6, 0.0))
        window.record_sent(1, 10**6, OBJECTIVE_S, 0.0)
        self.assertFalse(window.may_send(1, 0.0))

    def test_silent_engines_do_not_block(self) -> None:
        """A prompt at a dark engine stops counting after a while."""
        window = SendWindow()
        window.record_sent(1, 10**6, OBJECTIVE_S, 0.0)
        self.assertTrue(
            window.may_send(1, PENDING_EXPIRY_OBJECTIVES * OBJECTIVE_S + 0.01)
        )

    def test_slow_reads_shrink_it_once(self) -> None:
        """Prompts sent before a decrease do not cause another one."""
        window = SendWindow()
        for _ in range(5):
            window.update_limit(1000, OBJECTIVE_S, OBJECTIVE_S, 10.0)
        first = INITIAL_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS
        self.assertLess(window.limit_tokens, first)
        self.assertGreater(window.limit_tokens, first / 2)

    def test_it_never_closes(self) -> None:
        """However slow reads are, some prompts are sent."""
        window = SendWindow()
        for second in range(100):
            window.update_limit(1000, 5.0, OBJECTIVE_S, second * 10.0)
        self.assertEqual(
            MIN_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS, window.limit_tokens
        )

    def test_fast_reads_widen_it(self) -> None:
        """In time, the window takes a burst of a node's clients."""
        window = SendWindow()
        for second in range(40):
            window.update_limit(4096, 0.05, OBJECTIVE_S, float(second))
        first = INITIAL_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS
        self.assertGreater(window.limit_tokens, 2 * first)


ENGINES = 4
NODES = 12
TOKENS_PER_S = 112_000.0
ROOM_TOKENS = 65_000
SHARED_TOKENS = 6_000
"""Part of a prompt that an engine has, unless newer prompts took its room."""

PROMPT_TOKENS = 9_000
RATE_PER_S = 100.0
"""What the engines serve while they have the shared parts, but not without them."""

SECONDS = 20.0
OUTAGE = (5.0, 7.0)
"""Time in which half of the engines read nothing."""


@dataclass
class Engine:
    """Reads prompts in turn; those beyond its room cost it what it kept."""

    free_s: float = 0.0
    unread: int = 0

    def read(self, now_s: float) -> float:
        """Return when a prompt that arrives now is read."""
        is_crowded = self.unread * PROMPT_TOKENS > ROOM_TOKENS
        tokens = PROMPT_TOKENS if is_crowded else PROMPT_TOKENS - SHARED_TOKENS
        self.free_s = max(self.free_s, now_s) + tokens / TOKENS_PER_S
        return self.free_s


def replay(make_window: Callable[[], SendWindow | None]) -> tuple[float, float]:
    """Play a stall of half of the engines, and return the shares served and in aim.

    Each node sends what its window lets through to the engine where it has least, and
    gives a request up after two objectives.
    """
    source = random.Random(7)
    engines = [Engine() for _ in range(ENGINES)]
    windows = [make_window() for _ in range(NODES)]
    waiting: list[list[float]] = [[] for _ in range(NODES)]
    own = [[0] * ENGINES for _ in range(NODES)]
    numbers = itertools.count()
    events: list[tuple[float, int, str, tuple]] = []
    now_s = 0.0
    while now_s < SECONDS:
        now_s += source.expovariate(RATE_PER_S)
        node = source.randrange(NODES)
        heapq.heappush(events, (now_s, next(numbers), "arrives", (node,)))
    total, served, in_aim = len(events), 0, 0
    while events:
        now_s, _, kind, detail = heapq.heappop(events)
        node = detail[0]
        if kind == "arrives":
            waiting[node].append(now_s)
        else:
            _, engine, number, arrived_s, sent_s = detail
            engines[engine].unread -= 1
            own[node][engine] -= 1
            served += 1
            in_aim += now_s - arrived_s <= OBJECTIVE_S
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
            engines[engine].unread += 1
            own[node][engine] += 1
            if OUTAGE[0] < now_s < OUTAGE[1] and engine < ENGINES // 2:
                engines[engine].free_s = max(engines[engine].free_s, OUTAGE[1])
            read_s = engines[engine].read(now_s)
            if window is not None:
                window.record_sent(number, PROMPT_TOKENS, OBJECTIVE_S, now_s)
            item = (node, engine, number, arrived_s, now_s)
            heapq.heappush(events, (read_s, number, "read", item))
    return served / total, in_aim / total


class StallTest(testtools.TestCase):
    """A stall, replayed with the window and with the baseline, least in flight."""

    def test_more_in_aim_than_least_in_flight(self) -> None:
        """Engines keep what they have, so that the load is carried afterwards."""
        served, in_aim = replay(SendWindow)
        base_served, base_in_aim = replay(lambda: None)
        self.assertGreater(in_aim, 1.3 * base_in_aim)
        self.assertGreater(in_aim, 0.5)
        self.assertGreater(served, 0.7)
