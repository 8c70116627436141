"""The order in which waiting requests are dispatched."""

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
NEWER = QueuePriority(1, NOW_S + 0.3)
OLDER = QueuePriority(1, NOW_S + 0.2)
LATE = QueuePriority(1, NOW_S - 0.5)
URGENT = QueuePriority(0, NOW_S + 0.3)
URGENT_LATE = QueuePriority(0, NOW_S - 0.5)


class SortKeyTest(testtools.TestCase):
    """Which of two requests goes first."""

    scenarios = [
        ("older_in_time", {"first": OLDER, "second": NEWER}),
        ("in_time_before_late", {"first": NEWER, "second": LATE}),
        ("urgent_first", {"first": URGENT, "second": OLDER}),
        ("in_time_before_urgent_late", {"first": NEWER, "second": URGENT_LATE}),
        ("urgent_late_before_late", {"first": URGENT_LATE, "second": LATE}),
    ]

    def test_sort_key(self) -> None:
        """The sort key of the first request is lower."""
        self.assertLess(
            get_sort_key(self.first, NOW_S), get_sort_key(self.second, NOW_S)
        )


ChooseRequest = Callable[[list[QueuePriority], float], QueuePriority]


def simulate_burst(choose: ChooseRequest) -> int:
    """Simulate a burst of 1.7 times the capacity, and return how many are in time."""
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
        request = choose(waiting, now_s)
        waiting.remove(request)
        in_time += now_s + ANSWER_LATENCY_S <= request.due_s
        now_s += service_s
    return in_time


class BurstTest(testtools.TestCase):
    """A simulated burst, compared with a first-come-first-served baseline."""

    def test_more_in_time_than_first_come_first_served(self) -> None:
        """Requests that arrive after a burst are not delayed by its backlog."""

        def choose_by_sort_key(
            waiting: list[QueuePriority], now_s: float
        ) -> QueuePriority:
            return min(waiting, key=lambda request: get_sort_key(request, now_s))

        def choose_oldest(waiting: list[QueuePriority], now_s: float) -> QueuePriority:
            return min(waiting, key=lambda request: request.due_s)

        self.assertGreater(
            simulate_burst(choose_by_sort_key), 1.15 * simulate_burst(choose_oldest)
        )
