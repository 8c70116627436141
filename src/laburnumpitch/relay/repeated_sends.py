"""What a node knows and counts of requests that it sends to a second target."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable

from ..logging import get_logger
from ..metrics import Metrics
from ..policy.hedging import HedgePolicy
from ..policy.usual_latency import PLAIN_CLASS_BYTES, RequestKind, get_size_class
from .request import AdmittedRequest

LOG_INTERVAL_S = 10.0
"""Least time between two log lines with the counts of second sends."""


class RepeatedSends:
    """A node's policy for second sends, and the counts that operators read.

    Args:
        share: Second sends allowed for each request in the policy's window.
        metrics: Records measurements.
        get_time_s: Monotonic time.
    """

    def __init__(
        self, share: float, metrics: Metrics, get_time_s: Callable[[], float]
    ) -> None:
        self.policy = HedgePolicy(share)
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.numbers = itertools.count()
        self.counts: Counter[str] = Counter()
        """Requests, second sends, wins and reasons against sends since the last log
        line."""
        self.logged_s = get_time_s()
        self.log = get_logger()

    def make_kind(self, admitted: AdmittedRequest) -> RequestKind:
        """Return the kind of a request, which tells how long it usually takes."""
        size = admitted.metadata.prompt_tokens
        if not admitted.route.has_context:
            size = len(admitted.request.body) // PLAIN_CLASS_BYTES
        route = admitted.route.name
        return RequestKind(admitted.service, route, get_size_class(size))

    def record_request(self) -> None:
        """Count a request that may be sent to a second target."""
        self.policy.record_request(self.get_time_s())
        self.counts["requests"] += 1
        self.log_counts()

    def record_suppressed(self, reason: str) -> None:
        """Count a late request that is not sent to a second target."""
        self.metrics.count("hedge.suppressed")
        self.counts[f"against_{reason}"] += 1

    def record_sent(self, has_won: bool) -> None:
        """Count a second send of which something was written.

        Args:
            has_won: Whether its answer came first.
        """
        self.metrics.count("hedge.sent")
        self.counts["sent"] += 1
        if has_won:
            self.metrics.count("hedge.won")
            self.counts["won"] += 1

    def log_counts(self) -> None:
        """Log the counts at intervals."""
        now_s = self.get_time_s()
        if now_s - self.logged_s < LOG_INTERVAL_S:
            return
        requests, sent = self.counts.pop("requests"), self.counts.pop("sent", 0)
        self.log.info(
            "repeated_sends",
            span_s=round(now_s - self.logged_s, 1),
            requests=requests,
            sent=sent,
            won=self.counts.pop("won", 0),
            share=round(sent / requests, 4),
            allowed=self.policy.share,
            **self.counts,
        )
        self.logged_s = now_s
        self.counts.clear()


def make_repeated_sends(
    share: float, metrics: Metrics, get_time_s: Callable[[], float]
) -> RepeatedSends | None:
    """Return what a node needs for second sends; None if it sends none."""
    return RepeatedSends(share, metrics, get_time_s) if share > 0 else None
