"""Metrics in the exported text format."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

import laburnumpitch
from laburnumpitch.metrics import METRICS, METRICS_BY_NAME, Metrics

RECORDING_PATTERN = re.compile(
    r'metrics\.(?:count|set_gauge|record_duration)\(\s*"([a-z_.]+)"'
)
"""The name of a metric where the program records it."""


class MetricsTest(testtools.TestCase):
    """Metrics that a process has recorded."""

    def test_text(self) -> None:
        """Counters and histograms are exported with their values."""
        metrics = Metrics()
        metrics.count("request.accepted", 3)
        metrics.record_duration("request.duration", 0.07)
        metrics.record_duration("request.duration", 9.0)
        text = metrics.render().decode()
        self.assertIn("laburnumpitch_request_accepted_total 3.0", text)
        self.assertIn('request_duration_seconds_bucket{le="0.1"} 1.0', text)
        self.assertIn('request_duration_seconds_bucket{le="+Inf"} 2.0', text)
        self.assertIn("request_duration_seconds_sum 9.07", text)

    def test_every_metric_is_documented(self) -> None:
        """Each metric of the table is exported with a help text."""
        metrics = Metrics()
        for metric in METRICS:
            if metric.kind == "timing":
                metrics.record_duration(metric.name, 1.0)
            elif metric.kind == "gauge":
                metrics.set_gauge(metric.name, 1.0)
            else:
                metrics.count(metric.name)
        self.assertEqual(len(METRICS), metrics.render().count(b"# HELP"))

    def test_every_recorded_metric_is_known(self) -> None:
        """One that the table lacks would fail each export of all metrics."""
        folder = Path(laburnumpitch.__file__).parent
        recorded = {
            name
            for path in folder.rglob("*.py")
            for name in RECORDING_PATTERN.findall(path.read_text())
        }
        self.assertIn("request.accepted", recorded)
        self.assertEqual(set(), recorded - set(METRICS_BY_NAME))
