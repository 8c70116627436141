"""Tokens of each organisation's rate, granted by the control leader.

A leader starts its term with empty buckets. Tokens that an earlier leader
granted are therefore covered by the time in which the new one grants none, and
the sum over both never exceeds the rate by more than one burst.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST_S = 0.1
"""Seconds of the rate that a bucket holds at most."""

GRANT_VALID_S = 0.1
"""Seconds in which a node must use granted tokens."""


@dataclass
class TokenBucket:
    """The unspent tokens of one organisation."""

    rate_per_s: float
    tokens: float
    refilled_at_s: float

    @property
    def capacity(self) -> float:
        """Most tokens that the bucket holds; at least one request."""
        return max(1.0, self.rate_per_s * BURST_S)

    def refill(self, now_s: float) -> None:
        """Add the tokens of the time that has passed."""
        added = (now_s - self.refilled_at_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + added)
        self.refilled_at_s = now_s

    def consume(self, requested: float, now_s: float) -> float:
        """Take whole tokens, as many as wanted and there are."""
        self.refill(now_s)
        # Rounding errors of the refill must not withhold a token for good.
        granted = float(min(int(requested), int(self.tokens + 1e-9)))
        self.tokens -= granted
        return granted


class QuotaTable:
    """Buckets of the organisations that sent requests in this term.

    Args:
        since_s: When the leader's term began; buckets are empty then.
    """

    def __init__(self, term_started_at_s: float) -> None:
        self.term_started_at_s = term_started_at_s
        self.buckets: dict[str, TokenBucket] = {}

    def grant(
        self, organisation: str, rate_per_s: float, requested: float, now_s: float
    ) -> float:
        """Grant tokens of an organisation's rate."""
        bucket = self.buckets.get(organisation)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, 0.0, self.term_started_at_s)
            self.buckets[organisation] = bucket
        if bucket.rate_per_s != rate_per_s:
            bucket.refill(now_s)
            bucket.rate_per_s = rate_per_s
        return bucket.consume(requested, now_s)
