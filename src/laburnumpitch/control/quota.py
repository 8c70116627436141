"""Token buckets that enforce organisations' rate limits over all nodes.

The control leader grants the tokens. It starts its term with empty buckets. The
time in which it cannot grant any yet makes up for the tokens that an earlier
leader granted, so the grants of both never exceed the rate by more than one burst.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST_S = 0.1
"""Capacity of a bucket, as seconds of its rate."""

GRANT_VALID_S = 0.1
"""Time within which a node must use granted tokens, in seconds."""


@dataclass
class TokenBucket:
    """The unused tokens of one organisation."""

    rate_per_s: float
    tokens: float
    refilled_at_s: float

    @property
    def capacity(self) -> float:
        """Maximum number of tokens; at least one, so that a request can pass."""
        return max(1.0, self.rate_per_s * BURST_S)

    def refill(self, now_s: float) -> None:
        """Add the tokens for the time since the last refill."""
        added = (now_s - self.refilled_at_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + added)
        self.refilled_at_s = now_s

    def consume(self, requested: float, now_s: float) -> float:
        """Remove up to the requested number of whole tokens; return how many.

        A fraction of a token stays in the bucket.
        """
        self.refill(now_s)
        # The margin keeps rounding errors of the refill from withholding a token.
        granted = float(min(int(requested), int(self.tokens + 1e-9)))
        self.tokens -= granted
        return granted


class QuotaTable:
    """Token buckets of the organisations that sent requests in this term.

    Args:
        term_started_at_s: When the leader's term began; buckets are empty then.
    """

    def __init__(self, term_started_at_s: float) -> None:
        self.term_started_at_s = term_started_at_s
        self.buckets: dict[str, TokenBucket] = {}

    def grant(
        self, organisation: str, rate_per_s: float, requested: float, now_s: float
    ) -> float:
        """Grant tokens of an organisation and return how many.

        The rate may have changed since the last call. Time up to now counts at the
        old rate.
        """
        bucket = self.buckets.get(organisation)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, 0.0, self.term_started_at_s)
            self.buckets[organisation] = bucket
        if bucket.rate_per_s != rate_per_s:
            bucket.refill(now_s)
            bucket.rate_per_s = rate_per_s
        return bucket.consume(requested, now_s)
