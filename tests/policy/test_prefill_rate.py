"""The measured prefill rate under loads of different prompts."""

from __future__ import annotations

import random

import testtools

from laburnumpitch.policy.placement_ledger import PlacementLedger

TOKENS_PER_S = 80_000.0
OVERHEAD_S = 0.09
"""Time of a first event besides the prefill."""

PROMPTS = 600
LARGE_TOKENS = 12_000
SMALL_TOKENS = 800
STUCK_S = 2.4


def measure(stuck_share: float, small_share: float) -> float:
    """Return the rate after prompts one by one, some at a stuck engine."""
    source = random.Random(5)
    ledger = PlacementLedger()
    now_s = 0.0
    for _ in range(PROMPTS):
        tokens = SMALL_TOKENS if source.random() < small_share else LARGE_TOKENS
        tokens = int(tokens * source.uniform(0.5, 1.5))
        number = ledger.assign("engine", tokens, now_s)
        if source.random() < stuck_share:
            other = ledger.assign("engine", tokens, now_s)
            now_s += STUCK_S
            ledger.release(number)
            ledger.record_prefill(other, now_s)
            ledger.release(other)
        else:
            now_s += OVERHEAD_S + tokens / TOKENS_PER_S
            ledger.record_prefill(number, now_s)
            ledger.release(number)
    return ledger.prefill_rate.tokens_per_s


class PrefillRateTest(testtools.TestCase):
    """Loads whose prompts, or engines, hide the rate."""

    scenarios = [
        ("large_prompts", {"stuck_share": 0.0, "small_share": 0.0}),
        ("mostly_small_prompts", {"stuck_share": 0.0, "small_share": 0.8}),
        ("a_quarter_stuck", {"stuck_share": 0.25, "small_share": 0.8}),
    ]

    def test_rate(self) -> None:
        """The rate is that of the engines."""
        rate = measure(self.stuck_share, self.small_share)
        self.assertTrue(0.8 * TOKENS_PER_S < rate < 1.25 * TOKENS_PER_S, rate)
