"""Replays of placements in a service with many targets."""

from __future__ import annotations

from random import Random

import testtools

from laburnumpitch.policy.target_sample import MAX_COMPARED, TargetSampler
from laburnumpitch.policy.target_selection import choose_by_rendezvous_hash

REQUESTS = 20_000
SLOTS = 16
MEAN_LOAD = 0.6
"""Mean share of the slots that are in use."""


class SampleTest(testtools.TestCase):
    """A coordinator that compares a sample places nearly as well as one of all."""

    scenarios = [
        ("70_targets", {"targets": 70}),
        ("design_size", {"targets": 720}),
    ]

    def replay(self, is_sampled: bool) -> int:
        """Place requests on the least loaded target; return the highest load seen."""
        random = Random(1)
        ids = [f"t{number}" for number in range(self.targets)]
        sampler = TargetSampler(random)
        load = dict.fromkeys(ids, 0)
        running: list[str] = []
        most = 0
        for _ in range(REQUESTS):
            compared = sampler.choose(ids, "") if is_sampled else ids
            chosen = min(sorted(compared), key=lambda i: (load[i], random.random()))
            load[chosen] += 1
            running.append(chosen)
            most = max(most, load[chosen])
            if len(running) > self.targets * SLOTS * MEAN_LOAD:
                ended = running.pop(random.randrange(len(running)))
                load[ended] -= 1
        return most

    def test_highest_load(self) -> None:
        """Guards against full targets while others are idle."""
        mean = SLOTS * MEAN_LOAD
        self.assertLess(self.replay(is_sampled=True), SLOTS)
        self.assertGreaterEqual(self.replay(is_sampled=False), mean)

    def test_preferred_target(self) -> None:
        """Guards against context that is spread over all targets."""
        ids = [f"t{number}" for number in range(self.targets)]
        sampler = TargetSampler(Random(1))
        for number in range(100):
            sample = sampler.choose(ids, f"k{number}")
            self.assertIn(choose_by_rendezvous_hash(f"k{number}", ids), sample)

    def test_changed_targets(self) -> None:
        """Guards against a preferred target that no longer exists."""
        ids = [f"t{number}" for number in range(self.targets)]
        sampler = TargetSampler(Random(1))
        first = choose_by_rendezvous_hash("k", ids)
        sampler.choose(ids, "k")
        ids.remove(first)
        self.assertNotIn(first, sampler.choose(ids, "k"))


class SmallServiceTest(testtools.TestCase):
    """Services of today's smaller deployments."""

    def test_all_are_compared(self) -> None:
        """Guards against a change of how small services are served."""
        ids = [f"t{number}" for number in range(MAX_COMPARED)]
        self.assertIsNone(TargetSampler(Random(1)).choose(ids, "k"))
