"""Measures how fast the engines of a service prefill prompts.

A first event takes a fixed time besides the prefill: the network, a step of the batch,
the setup. Tokens divided by time would give a rate that falls with the size of the
prompts, so that engines with a few small ones look overloaded. The rate is therefore
the slope of time over tokens, by linear regression over busy periods.
"""

from __future__ import annotations

INITIAL_PREFILL_TOKENS_PER_S = 120_000.0
"""Assumed prefill rate of an engine before the first measurement."""

MIN_PREFILL_TOKENS_PER_S = 10_000.0
MAX_PREFILL_TOKENS_PER_S = 2_000_000.0
"""Bounds of the measured rate."""

INITIAL_OVERHEAD_S = 0.05
"""Assumed fixed time of a busy period."""

INITIAL_TOKENS = 4096.0
"""Assumed mean and deviation of a busy period's tokens."""

SAMPLE_WEIGHT = 0.005
"""Weight of the newest busy period."""

MAX_RATIO = 3.0
"""Largest time of a busy period that counts, relative to the expected one. An engine
that takes longer is stuck, which says nothing about the others."""


class PrefillRate:
    """Regression of the time of busy periods over their tokens.

    Args:
        tokens_per_s: Assumed rate before the first measurement.
    """

    def __init__(self, tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S) -> None:
        self.mean_tokens = INITIAL_TOKENS
        self.mean_s = INITIAL_OVERHEAD_S + INITIAL_TOKENS / tokens_per_s
        self.variance = INITIAL_TOKENS**2
        self.covariance = self.variance / tokens_per_s

    @property
    def tokens_per_s(self) -> float:
        """Prefill rate; tokens of kept context count as prefilled."""
        if self.covariance * MAX_PREFILL_TOKENS_PER_S <= self.variance:
            return MAX_PREFILL_TOKENS_PER_S
        return max(MIN_PREFILL_TOKENS_PER_S, self.variance / self.covariance)

    def predict_s(self, tokens: float) -> float:
        """Return the expected time of a busy period."""
        return max(
            INITIAL_OVERHEAD_S,
            self.mean_s + (tokens - self.mean_tokens) / self.tokens_per_s,
        )

    def record(self, tokens: int, busy_s: float) -> None:
        """Add a busy period in which an engine prefilled all prompts that it had."""
        duration_s = min(busy_s, MAX_RATIO * self.predict_s(tokens))
        tokens_offset = tokens - self.mean_tokens
        duration_offset = duration_s - self.mean_s
        self.mean_tokens += SAMPLE_WEIGHT * tokens_offset
        self.mean_s += SAMPLE_WEIGHT * duration_offset
        remaining = 1.0 - SAMPLE_WEIGHT
        self.variance = remaining * (
            self.variance + SAMPLE_WEIGHT * tokens_offset * tokens_offset
        )
        self.covariance = remaining * (
            self.covariance + SAMPLE_WEIGHT * tokens_offset * duration_offset
        )
