"""Writes a process's measurements in the Prometheus text format."""

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
    """Return the name under which a metric is served."""
    return NAME_PREFIX + name.replace(".", "_")


def get_help(name: str) -> str:
    """Return what a metric tells."""
    return METRICS_BY_NAME[name].help


class MetricsCollector:
    """Hands the measurements to the library.

    Args:
        metrics: The measurements.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def collect(self) -> Iterator[Family]:
        """Yield each metric with its values."""
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
    """Return all measurements as text."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
