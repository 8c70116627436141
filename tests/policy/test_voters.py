"""When a lost voter has to be removed."""

from __future__ import annotations

import testscenarios
import testtools

from laburnumpitch.policy.voters import get_majority, is_removal_due

MAX_VOTERS = 9


class RemovalTest(testscenarios.WithScenarios, testtools.TestCase):
    """Voters, those that are reachable, tolerated losses: is a removal due?"""

    scenarios = [
        ("all reachable", {"voters": 5, "reachable": 5, "losses": 2, "due": False}),
        (
            "lost, no successor",
            {"voters": 5, "reachable": 4, "losses": 2, "due": False},
        ),
        ("successor of five", {"voters": 6, "reachable": 5, "losses": 2, "due": True}),
        ("two successors", {"voters": 7, "reachable": 5, "losses": 2, "due": True}),
        ("successor of four", {"voters": 5, "reachable": 4, "losses": 1, "due": False}),
        ("spare voters", {"voters": 8, "reachable": 7, "losses": 2, "due": False}),
        ("two of eight lost", {"voters": 8, "reachable": 6, "losses": 2, "due": True}),
        ("too few remain", {"voters": 4, "reachable": 2, "losses": 1, "due": False}),
    ]

    def test_removal(self) -> None:
        """Compare the decision."""
        is_due = is_removal_due(self.voters, self.reachable, self.losses)
        self.assertEqual(self.due, is_due)


class ToleranceTest(testtools.TestCase):
    """Removals until none is due."""

    def test_losses_are_tolerated_again(self) -> None:
        """The voters that remain are a majority after the tolerated losses."""
        for losses in (1, 2, 3):
            for reachable in range(2 * losses + 1, MAX_VOTERS + 1):
                for voters in range(reachable, MAX_VOTERS + 1):
                    remaining = voters
                    while is_removal_due(remaining, reachable, losses):
                        remaining -= 1
                    case = f"{losses} losses, {reachable} of {voters} reachable"
                    self.assertGreaterEqual(
                        reachable - losses, get_majority(remaining), case
                    )
                    # A majority is never small enough to be lost as a whole.
                    self.assertGreater(get_majority(remaining), losses, case)
