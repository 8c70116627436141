"""Crashes of targets, replayed, and the piece that they are attributed to."""

from __future__ import annotations

import testscenarios
import testtools

from laburnumpitch.policy.crash_attribution import (
    CONFIRM_S,
    JOINT_FAILURE_S,
    CrashAttribution,
)
from laburnumpitch.policy.recent_answers import MEMORY_S, RecentAnswers

INTERVAL_S = 2 * JOINT_FAILURE_S
"""Time between crashes that single requests cause."""

COMPLETED = "completed"

CRASHING = ("first", "deadly")
"""Pieces of a request that crashes its target."""


def replay(events: list[tuple]) -> list[str]:
    """Return the pieces that are proven after crashes and completed answers.

    Args:
        events: Each is `COMPLETED` and a piece, or the pieces of each request that was
            unanswered at a target when this crashed.
    """
    attribution = CrashAttribution()
    now_s = 0.0
    for number, event in enumerate(events):
        now_s += INTERVAL_S
        if event[0] == COMPLETED:
            attribution.record_completed(event[1:])
            continue
        for pieces in event:
            attribution.record_crash(f"t{number}/1", pieces, now_s)
    proven = []
    while (piece := attribution.pop_proven(now_s + CONFIRM_S)) is not None:
        proven.append(piece)
    return proven


class AttributionTest(testscenarios.WithScenarios, testtools.TestCase):
    """What crashed, what was completed in between, and what that proves."""

    scenarios = [
        (
            "neighbours share the first piece",
            {
                "events": [
                    (CRASHING, ("first", "a"), ("other", "b")),
                    (CRASHING, ("first", "c")),
                    (CRASHING, ("other", "d")),
                ],
                "proven": ["deadly"],
            },
        ),
        (
            "the first piece is deadly",
            {
                "events": [
                    (("deadly", "a"), ("first", "x")),
                    (("deadly", "b"), ("first", "y")),
                    (("deadly", "c"),),
                ],
                "proven": ["deadly"],
            },
        ),
        (
            "two deadly pieces",
            {
                "events": [
                    (CRASHING,),
                    (("first", "deadlier"),),
                    (CRASHING,),
                    (("first", "deadlier"),),
                    (CRASHING,),
                    (("first", "deadlier"),),
                    (COMPLETED, "first"),
                ],
                "proven": ["deadly", "deadlier"],
            },
        ),
        (
            "a completed answer clears",
            {
                "events": [
                    (("first", "a"),),
                    (("first", "b"),),
                    (COMPLETED, "first"),
                    (("first", "c"),),
                ],
                "proven": [],
            },
        ),
        (
            "too few crashes",
            {"events": [(CRASHING,), (CRASHING,)], "proven": []},
        ),
    ]

    def test_attribution(self) -> None:
        """Replay the events and compare."""
        self.assertEqual(sorted(self.proven), sorted(replay(self.events)))


class FailureOfManyTargetsTest(testtools.TestCase):
    """A rack fails, and with it requests of all kinds."""

    def test_joint_failure_is_one_crash(self) -> None:
        """A piece that many of these requests share is not suspected."""
        attribution = CrashAttribution()
        for number in range(12):
            attribution.record_crash(f"t{number}/1", ["first", f"p{number}"], 1.0)
        self.assertEqual([], attribution.list_suspects())
        self.assertIsNone(attribution.pop_proven(1.0 + CONFIRM_S))


class ExplainedCrashTest(testtools.TestCase):
    """Crashes by requests that were under way when their piece was quarantined."""

    def test_neighbours_are_not_suspected(self) -> None:
        """Reports of the same crash do not count, before and after."""
        attribution = CrashAttribution()
        for number in range(4):
            incarnation, now_s = f"t{number}/1", number * INTERVAL_S
            attribution.record_crash(incarnation, ["neighbour"], now_s)
            attribution.record_explained(incarnation, now_s)
            attribution.record_crash(incarnation, ["neighbour"], now_s)
        self.assertEqual([], attribution.list_suspects())


class RecentAnswersTest(testtools.TestCase):
    """Which pieces of an unanswered request a node reports."""

    def test_suspects(self) -> None:
        """Pieces without a complete answer lately, or all if each has one."""
        completed = RecentAnswers()
        completed.record(["first"], 0.0)
        self.assertEqual(["own"], completed.select_suspects(["first", "own"], 1.0))
        self.assertEqual(["first"], completed.select_suspects(["first"], 1.0))
        late_s = 2 * MEMORY_S
        self.assertEqual(["first"], completed.select_suspects(["first"], late_s))
