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

from .metrics import BUCKETS_S, METRICS_BY_NAME, PREFIX, Metrics


def get_wire_name(name: str) -> str:
    """Return the name under which a metric is served."""
    return PREFIX + name.replace(".", "_")


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
            yield CounterMetricFamily(get_wire_name(name), get_help(name), value)
        for name, value in self.metrics.gauges.items():
            yield GaugeMetricFamily(get_wire_name(name), get_help(name), value)
        for name, timing in self.metrics.timings.items():
            bounds = [*(str(bound) for bound in BUCKETS_S), "+Inf"]
            sums = itertools.accumulate(timing.counts)
            yield HistogramMetricFamily(
                f"{get_wire_name(name)}_seconds",
                get_help(name),
                buckets=list(zip(bounds, sums, strict=True)),
                sum_value=timing.total_s,
            )


def render(metrics: Metrics) -> bytes:
    """Return all measurements as text."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
