"""Latency histograms."""

from typing import NamedTuple

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_SECOND = 1_000_000
US_PER_MS = 1000.0


class LatencySummary(NamedTuple):
    """Percentiles in milliseconds."""

    n_values: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Recorder:
    """Histogram of latencies with three significant digits."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Add one latency."""
        microseconds = int(seconds * US_PER_SECOND)
        self._histogram.record_value(max(LOWEST_US, min(HIGHEST_US, microseconds)))

    def summarize(self) -> LatencySummary:
        """Return the percentiles of what was recorded."""
        histogram = self._histogram
        return LatencySummary(
            int(histogram.get_total_count()),
            histogram.get_value_at_percentile(50) / US_PER_MS,
            histogram.get_value_at_percentile(99) / US_PER_MS,
            histogram.get_value_at_percentile(99.9) / US_PER_MS,
            histogram.get_max_value() / US_PER_MS,
        )
