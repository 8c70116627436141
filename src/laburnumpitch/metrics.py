"""Counters, gauges and latency histograms, and the table of all metrics."""

from __future__ import annotations

import bisect
from dataclasses import dataclass

NAME_PREFIX = "laburnumpitch_"
"""Prefix of all exported names."""

BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of a histogram's buckets."""


@dataclass(frozen=True)
class Metric:
    """Name and documentation of a metric."""

    name: str
    """Name; it is exported with the prefix, and with `_` for each dot."""
    kind: str
    """`counter`, `gauge` or `timing` (a histogram of durations)."""
    unit: str
    """Unit of the value."""
    help: str
    """Description for operators."""


METRICS = (
    Metric("request.accepted", "counter", "requests", "Requests admitted."),
    Metric("request.refused", "counter", "requests", "Requests refused as not run."),
    Metric("request.completed", "counter", "requests", "Complete answers."),
    Metric("request.failed", "counter", "requests", "Requests that ended in an error."),
    Metric("request.unknown", "counter", "requests", "Outcomes reported as unknown."),
    Metric("request.retried", "counter", "attempts", "Attempts after the first."),
    Metric("request.resumed", "counter", "streams", "Broken streams resumed."),
    Metric("request.first_token", "timing", "s", "Time to first token."),
    Metric("request.duration", "timing", "s", "Arrival to complete answer."),
    Metric(
        "hedge.sent", "counter", "attempts", "Late requests sent to a second target."
    ),
    Metric("hedge.won", "counter", "attempts", "Of these, answered there first."),
    Metric(
        "hedge.suppressed", "counter", "requests", "Late requests not sent to a second."
    ),
    Metric("request.inflight", "gauge", "requests", "Requests in flight."),
    Metric("request.queued", "gauge", "requests", "Requests waiting for admission."),
    Metric("context.recomputed", "counter", "tokens", "Context tokens recomputed."),
    Metric("context.reused", "counter", "tokens", "Context tokens reused."),
    Metric("context.imported", "counter", "bytes", "Bytes read over store links."),
    Metric("context.exported", "counter", "bytes", "Bytes written over store links."),
    Metric("context.lookup_timeout", "counter", "lookups", "Unanswered lookups."),
    Metric("directory.entries", "gauge", "entries", "Entries in this node's shards."),
    Metric("lease.lost", "counter", "events", "Times the control lease ran out."),
    Metric("config.revision", "gauge", "revision", "Revision in force on this node."),
    Metric("control.commit", "timing", "s", "Proposal to commit."),
    Metric("control.leader", "gauge", "0 or 1", "Whether this replica leads."),
    Metric("control.log_entries", "gauge", "entries", "Entries after the snapshot."),
    Metric(
        "stream.taken_up", "counter", "streams", "Streams that clients went on with."
    ),
    Metric("stream.unknown", "counter", "streams", "Of these, of unknown origin."),
    Metric("place.unanswered", "counter", "calls", "Unanswered calls of coordinators."),
    Metric(
        "region.no_target",
        "counter",
        "requests",
        "Restricted requests without a target in an allowed region.",
    ),
    Metric(
        "region.placement_declined",
        "counter",
        "placements",
        "Placements of coordinators outside the allowed regions.",
    ),
    Metric("evacuation.active", "gauge", "data centres", "Evacuated data centres."),
    Metric("evacuation.refused", "counter", "requests", "Refused as evacuated."),
    Metric(
        "explain.calls", "counter", "calls", "Requests that operators had explained."
    ),
    Metric("cold.granted", "counter", "requests", "Sends to cold targets granted."),
    Metric("cold.expired", "counter", "requests", "Sends stopped without a grant."),
    Metric("cold.local", "counter", "requests", "Sends to cold ones of the own share."),
    Metric("client.closed", "counter", "connections", "Closed so that others go on."),
    Metric("client.refused", "counter", "requests", "Refused as beyond a limit."),
    Metric("client.held_bytes", "gauge", "bytes", "What clients make the node hold."),
    Metric("task.failed", "counter", "errors", "Unexpected errors of tasks."),
    Metric("quarantine.fingerprints", "gauge", "fingerprints", "Quarantined requests."),
)
"""All metrics of the program."""


METRICS_BY_NAME = {metric.name: metric for metric in METRICS}


@dataclass
class Histogram:
    """Durations, counted by bucket."""

    counts: list[int]
    """Counts by bucket; the last bucket is above the largest bound."""
    total_s: float = 0.0


class Metrics:
    """Holds the values of a process's metrics.

    The Prometheus library is imported when the metrics are first fetched, since it
    takes a seventh of a small process's memory.
    """

    def __init__(self) -> None:
        self.counters: dict[str, float] = {}
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Increase a counter."""
        self.counters[name] = self.counters.get(name, 0) + value

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def record_duration(self, name: str, duration_s: float) -> None:
        """Add a duration to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram(
                [0] * (len(BUCKET_BOUNDS_S) + 1)
            )
        histogram.counts[bisect.bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        histogram.total_s += duration_s

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from .metrics_text import render

        return render(self)
