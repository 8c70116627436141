"""Counters, gauges and latency histograms, with a table of every name and unit."""

from __future__ import annotations

from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

PREFIX = "laburnumpitch_"
"""First part of every name that is served."""

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
"""Upper ends of a histogram's buckets."""


@dataclass(frozen=True)
class Metric:
    """A documented metric."""

    name: str
    """Name; it is served with the prefix, and with `_` for each dot."""
    kind: str
    """`counter`, `gauge` or `timing`."""
    unit: str
    """Unit of the value."""
    help: str
    """What it tells an operator."""


METRICS = (
    Metric("request.accepted", "counter", "requests", "Requests admitted."),
    Metric("request.refused", "counter", "requests", "Requests refused as not run."),
    Metric("request.completed", "counter", "requests", "Whole answers."),
    Metric("request.failed", "counter", "requests", "Requests that ended in an error."),
    Metric("request.unknown", "counter", "requests", "Outcomes reported as unknown."),
    Metric("request.retried", "counter", "attempts", "Attempts after the first."),
    Metric("request.resumed", "counter", "streams", "Broken streams resumed."),
    Metric("request.first_token", "timing", "s", "Time to first token."),
    Metric("request.duration", "timing", "s", "Arrival to a whole answer."),
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
    Metric("quarantine.fingerprints", "gauge", "fingerprints", "Quarantined requests."),
)
"""Every metric that the program keeps."""


METRICS_BY_NAME = {metric.name: metric for metric in METRICS}

Collector = Counter | Gauge | Histogram


class Metrics:
    """Keeps the process's measurements for whoever fetches them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.collectors: dict[str, Collector] = {}

    def get(self, name: str) -> Collector:
        """Return what collects a metric, made on first use."""
        collector = self.collectors.get(name)
        if collector is None:
            metric = METRICS_BY_NAME[name]
            wire_name = PREFIX + name.replace(".", "_")
            if metric.kind == "counter":
                collector = Counter(wire_name, metric.help, registry=self.registry)
            elif metric.kind == "gauge":
                collector = Gauge(wire_name, metric.help, registry=self.registry)
            else:
                collector = Histogram(
                    f"{wire_name}_seconds",
                    metric.help,
                    registry=self.registry,
                    buckets=BUCKETS_S,
                )
            self.collectors[name] = collector
        return collector

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.get(name).inc(value)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.get(name).set(value)

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        self.get(name).observe(duration_s)

    def render(self) -> bytes:
        """Return all measurements in the text format that is usual for them."""
        return generate_latest(self.registry)
