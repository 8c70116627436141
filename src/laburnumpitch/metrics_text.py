"""Formats a process's metrics in the Prometheus text format."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric as Family,
)

from .metrics import BUCKET_BOUNDS_S, METRICS_BY_NAME, NAME_PREFIX, Metrics


def get_exported_name(name: str) -> str:
    """Return the exported name of a metric."""
    return NAME_PREFIX + name.replace(".", "_")


def get_help(name: str) -> str:
    """Return the description of a metric."""
    return METRICS_BY_NAME[name].help


class MetricsCollector:
    """Converts metrics to the metric families of the Prometheus library.

    Args:
        metrics: Metrics of this process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def collect(self) -> Iterator[Family]:
        """Yield the family of each metric that has a value."""
        for name, value in self.metrics.counters.items():
            yield CounterMetricFamily(get_exported_name(name), get_help(name), value)
        for name, value in self.metrics.gauges.items():
            yield GaugeMetricFamily(get_exported_name(name), get_help(name), value)
        for name, histogram in self.metrics.histograms.items():
            bounds = [*(str(bound) for bound in BUCKET_BOUNDS_S), "+Inf"]
            cumulative_counts = itertools.accumulate(histogram.counts)
            yield HistogramMetricFamily(
                f"{get_exported_name(name)}_seconds",
                get_help(name),
                buckets=list(zip(bounds, cumulative_counts, strict=True)),
                sum_value=histogram.total_s,
            )


def render(metrics: Metrics) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
