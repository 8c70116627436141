"""The order in which waiting requests get places."""

from __future__ import annotations

import random
from collections.abc import Callable

import testtools

from laburnumpitch.policy.queue_priority import (
    ANSWER_LATENCY_S,
    QueuePriority,
    get_sort_key,
)

NOW_S = 10.0
FRESH = QueuePriority(1, NOW_S + 0.3)
OLDER = QueuePriority(1, NOW_S + 0.2)
LATE = QueuePriority(1, NOW_S - 0.5)
URGENT = QueuePriority(0, NOW_S + 0.3)
URGENT_LATE = QueuePriority(0, NOW_S - 0.5)


class OrderTest(testtools.TestCase):
    """Which of two requests goes first."""

    scenarios = [
        ("older_in_time", {"first": OLDER, "second": FRESH}),
        ("in_time_before_late", {"first": FRESH, "second": LATE}),
        ("urgent_first", {"first": URGENT, "second": OLDER}),
        ("in_time_before_urgent_late", {"first": FRESH, "second": URGENT_LATE}),
        ("urgent_late_before_late", {"first": URGENT_LATE, "second": LATE}),
    ]

    def test_order(self) -> None:
        """The first one goes before the second."""
        self.assertLess(
            get_sort_key(self.first, NOW_S), get_sort_key(self.second, NOW_S)
        )


Choose = Callable[[list[QueuePriority], float], QueuePriority]


def replay_burst(choose: Choose) -> int:
    """Return how many are in time through a burst of 1.7 times the capacity."""
    source = random.Random(3)
    service_s, objective_s = 0.05, 0.4
    arrivals = []
    now_s = 0.0
    while now_s < 20.0:
        is_burst = 5.0 < now_s < 8.0
        now_s += source.expovariate((1.7 if is_burst else 0.8) / service_s)
        arrivals.append(now_s)
    waiting: list[QueuePriority] = []
    in_time = 0
    now_s = 0.0
    for _ in range(len(arrivals)):
        while arrivals and (arrivals[0] <= now_s or not waiting):
            now_s = max(now_s, arrivals[0])
            waiting.append(QueuePriority(1, arrivals.pop(0) + objective_s))
        place = choose(waiting, now_s)
        waiting.remove(place)
        in_time += now_s + ANSWER_LATENCY_S <= place.due_s
        now_s += service_s
    return in_time


class BurstTest(testtools.TestCase):
    """A burst, replayed through the decision and through the baseline."""

    def test_more_in_time_than_first_come_first_served(self) -> None:
        """Those who come after the burst's queue do not pay for it."""

        def serve_ours(waiting: list[QueuePriority], now_s: float) -> QueuePriority:
            return min(waiting, key=lambda place: get_sort_key(place, now_s))

        def serve_oldest(waiting: list[QueuePriority], now_s: float) -> QueuePriority:
            return min(waiting, key=lambda place: place.due_s)

        self.assertGreater(replay_burst(serve_ours), 1.15 * replay_burst(serve_oldest))
