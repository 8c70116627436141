"""Long and short prompts at the same engines: a replay of lost engines at the peak."""

from __future__ import annotations

import random

import testtools

from laburnumpitch.policy.backlog_bound import (
    MAX_OBJECTIVES,
    RequestKind,
    get_max_backlog_s,
)
from laburnumpitch.policy.queue_priority import QueuePriority, get_sort_key

SCREEN = RequestKind(0, 0.5)
REPLY = RequestKind(1, 0.4)
REVIEW = RequestKind(2, 0.8)
KINDS = (SCREEN, REPLY, REVIEW)
LOADS = {SCREEN: (26.5, 1_500), REPLY: (23.9, 600), REVIEW: (16.5, 9_000)}
"""Requests a second and prompt tokens to prefill, by kind."""

ENGINES = 3
"""Engines left: together they prefill nine tenths of what arrives."""

TOKENS_PER_S = 62_000.0
OVERHEAD_S = 0.08
STEP_S = 0.005
END_S = 30.0


def get_own_bound_s(kind: RequestKind, is_late: bool) -> float:
    """Return a bound that follows from the request's own objective alone."""
    return kind.objective_s * (0.15 if is_late else MAX_OBJECTIVES)


def get_shared_bound_s(kind: RequestKind, is_late: bool) -> float:
    """Return the bound of the policy."""
    return get_max_backlog_s(kind, KINDS, is_late)


def replay(get_bound_s) -> dict[RequestKind, float]:
    """Return the share of the requests of each kind that are in time."""
    source = random.Random(9)
    arrivals = []
    for kind, (per_s, tokens) in LOADS.items():
        now_s = 0.0
        while now_s < END_S:
            now_s += source.expovariate(per_s)
            arrivals.append((now_s, tokens * source.uniform(0.4, 1.6), kind))
    arrivals.sort(key=lambda item: item[0])
    asked = {kind: sum(item[2] is kind for item in arrivals) for kind in KINDS}
    in_time = dict.fromkeys(KINDS, 0)
    free_s = [0.0] * ENGINES
    waiting: list[tuple[float, float, RequestKind]] = []
    now_s = 0.0
    while now_s < END_S:
        now_s += STEP_S
        while arrivals and arrivals[0][0] <= now_s:
            waiting.append(arrivals.pop(0))
        waiting = [w for w in waiting if now_s - w[0] < w[2].objective_s]
        waiting.sort(
            key=lambda w: get_sort_key(
                QueuePriority(w[2].priority_class, w[0] + w[2].objective_s), now_s
            )
        )
        for item in list(waiting):
            arrived_s, tokens, kind = item
            engine = min(range(ENGINES), key=lambda e: free_s[e])
            backlog_s = max(0.0, free_s[engine] - now_s)
            is_late = now_s + OVERHEAD_S > arrived_s + kind.objective_s
            if backlog_s > get_bound_s(kind, is_late):
                break
            waiting.remove(item)
            free_s[engine] = now_s + backlog_s + tokens / TOKENS_PER_S
            if free_s[engine] + OVERHEAD_S - arrived_s <= kind.objective_s:
                in_time[kind] += 1
    return {kind: in_time[kind] / asked[kind] for kind in KINDS}


class BacklogBoundTest(testtools.TestCase):
    """Engines that cannot prefill all that arrives."""

    def test_short_urgent_prompts_are_in_time(self) -> None:
        """Nearly all short prompts are in time, and as many long ones as before."""
        own = replay(get_own_bound_s)
        shared = replay(get_shared_bound_s)
        self.assertLess(own[REPLY], 0.8, own)
        self.assertGreater(shared[REPLY], 0.95, shared)
        self.assertGreater(shared[SCREEN], 0.95, shared)
        self.assertGreaterEqual(shared[REVIEW], own[REVIEW] - 0.05, (own, shared))

    def test_bounds(self) -> None:
        """Urgent requests get more than others, and late ones get least."""
        screen_s = get_max_backlog_s(SCREEN, KINDS, False)
        review_s = get_max_backlog_s(REVIEW, KINDS, False)
        late_s = get_max_backlog_s(REVIEW, KINDS, True)
        self.assertTrue(screen_s > review_s > late_s > 0.0)
        alone_s = get_max_backlog_s(REVIEW, (), False)
        self.assertEqual(REVIEW.objective_s * MAX_OBJECTIVES, alone_s)
