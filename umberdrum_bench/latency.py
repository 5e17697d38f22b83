"""Latency histograms."""

from typing import NamedTuple

import hdrh.histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_SECOND = 1_000_000
US_PER_MS = 1000.0


class LatencySummary(NamedTuple):
    """Number of latencies, their percentiles and maximum in milliseconds."""

    n_values: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Recorder:
    """Histogram of latencies from 1 us to 120 s with three significant digits."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Add one latency; values outside the range are clamped."""
        microseconds = int(seconds * US_PER_SECOND)
        self._histogram.record_value(
            max(MIN_LATENCY_US, min(MAX_LATENCY_US, microseconds))
        )

    def summarize(self) -> LatencySummary:
        """Return the percentiles of the recorded latencies."""
        histogram = self._histogram
        return LatencySummary(
            int(histogram.get_total_count()),
            histogram.get_value_at_percentile(50) / US_PER_MS,
            histogram.get_value_at_percentile(99) / US_PER_MS,
            histogram.get_value_at_percentile(99.9) / US_PER_MS,
            histogram.get_max_value() / US_PER_MS,
        )
