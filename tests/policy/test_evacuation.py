"""Calls of operators in any order, and requests while a data centre is evacuated."""

from __future__ import annotations

import random

import testtools

from laburnumpitch.policy.evacuation import Evacuations, find_usable

NORTH, SOUTH = "north", "south"

ORDER, WITHDRAW = True, False

REQUESTS_PER_S = 526
ENGINES = [NORTH] * 27 + [SOUTH] * 18


class CallsTest(testtools.TestCase):
    """Changes of which some are late; each one is what is ordered and its base."""

    scenarios = [
        ("order", {"calls": [(ORDER, 0)], "is_evacuated": True}),
        ("twice", {"calls": [(ORDER, 0), (ORDER, 0)], "is_evacuated": True}),
        (
            "late_order_after_withdrawal",
            {"calls": [(ORDER, 0), (WITHDRAW, 1), (ORDER, 0)], "is_evacuated": False},
        ),
        (
            "late_order_after_needless_withdrawal",
            {"calls": [(WITHDRAW, 0), (ORDER, 0)], "is_evacuated": False},
        ),
        (
            "late_withdrawal_after_repeated_order",
            {"calls": [(ORDER, 0), (ORDER, 1), (WITHDRAW, 1)], "is_evacuated": True},
        ),
        (
            "ordered_again",
            {"calls": [(ORDER, 0), (WITHDRAW, 1), (ORDER, 2)], "is_evacuated": True},
        ),
    ]

    def test_newest_is_in_force(self) -> None:
        """A late call changes nothing."""
        state = Evacuations().apply(NORTH, ORDER, 0)
        for is_evacuated, base_revision in self.calls:
            state = state.apply(SOUTH, is_evacuated, base_revision)
        self.assertEqual(self.is_evacuated, SOUTH in state.evacuated)
        self.assertTrue(state.is_as_ordered(SOUTH, self.is_evacuated))
        self.assertIn(NORTH, state.evacuated)


class MergeTest(testtools.TestCase):
    """Two nodes start anew, each with what it has read from its file."""

    def test_newer_of_each_data_centre(self) -> None:
        """A withdrawal and an order that the node has not seen are both applied."""
        own = Evacuations(frozenset({NORTH, "west"}), {NORTH: 1, "west": 3})
        other = Evacuations(frozenset({SOUTH}), {NORTH: 2, SOUTH: 1, "west": 2})
        merged = own.merge(other)
        self.assertEqual({SOUTH, "west"}, merged.evacuated)
        self.assertEqual({NORTH: 2, SOUTH: 1, "west": 3}, merged.revisions)


class LoadTest(testtools.TestCase):
    """A data centre is evacuated, returns and is evacuated again under full load."""

    def test_no_request_reaches_it(self) -> None:
        """Engines are chosen anew when a request is sent, a moment after it arrived."""
        source = random.Random(1)
        state = Evacuations()
        # Seconds, what is ordered, and its base; the third call is a late first one.
        calls = [
            (1.0, ORDER, 0),
            (3.0, WITHDRAW, 1),
            (3.5, ORDER, 0),
            (4.0, ORDER, 2),
            (4.5, WITHDRAW, 1),
        ]
        chosen: list[tuple[float, int]] = []
        sent = {False: 0, True: 0}
        for number in range(6 * REQUESTS_PER_S):
            now_s = number / REQUESTS_PER_S
            while calls and calls[0][0] <= now_s:
                _, is_evacuated, base_revision = calls.pop(0)
                state = state.apply(SOUTH, is_evacuated, base_revision)
            usable = find_usable(ENGINES, state.evacuated)
            chosen.append((now_s + source.uniform(0.0, 0.4), source.choice(usable)))
            due = [item for item in chosen if item[0] <= now_s]
            chosen = [item for item in chosen if item[0] > now_s]
            for _, engine in due:
                if engine not in usable:
                    engine = source.choice(usable)
                is_evacuated = 1.0 <= now_s < 3.0 or now_s >= 4.0
                sent[is_evacuated] += ENGINES[engine] == SOUTH
        self.assertEqual(0, sent[True])
        self.assertGreater(sent[False], 0.3 * 2 * REQUESTS_PER_S)
