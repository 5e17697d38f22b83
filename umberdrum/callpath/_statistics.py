"""Call counts and latencies, for metrics and for checking latency targets."""

import bisect
import collections
import math
from typing import NamedTuple

import trio

from umberdrum import classes, errors
from umberdrum.callpath import _endpoint

WINDOW_SECONDS = 60
MS_PER_SECOND = 1000.0
LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
BUCKET_RATIO = 1.1
MIN_BUCKET_MS = 0.1


class TargetReport(NamedTuple):
    """Result of a class against its latency target at one entry daemon.

    It covers the last minute. ``share_within`` is the share of calls, in percent, that
    got a response within the target latency. ``achieved_ms`` is the latency at the
    target's percentile. ``is_met`` says whether the target was met.
    """

    n_calls: int
    n_failed: int
    share_within: float
    achieved_ms: float
    is_met: bool


class _SecondCounts:
    """Counts of the calls of one class that ended within one second."""

    __slots__ = ("buckets", "n_calls", "n_failed", "n_within", "second")

    def __init__(self, second: int) -> None:
        self.second = second
        self.n_calls = 0
        self.n_failed = 0
        self.n_within = 0
        self.buckets: collections.Counter[int] = collections.Counter()


class LatencyHistogram:
    """Histogram of the latencies of one class over ``LATENCY_BUCKETS_SECONDS``.

    ``n_by_bucket`` has one more entry, for latencies beyond the last bucket.
    """

    __slots__ = ("n_by_bucket", "total_seconds")

    def __init__(self) -> None:
        self.n_by_bucket = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Count one latency in its bucket."""
        self.n_by_bucket[bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


class CallStatistics:
    """Latencies and results of the calls that entered at this daemon.

    They are plain numbers. Metrics are built from them when they are scraped.
    """

    def __init__(self) -> None:
        self._windows: dict[str, collections.deque[_SecondCounts]] = {}
        self.n_calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.n_retries: collections.Counter[str] = collections.Counter()
        self.n_hedges: collections.Counter[str] = collections.Counter()
        self.latencies: dict[str, LatencyHistogram] = {}

    def count_unmatched(self, kind: errors.ErrorKind) -> None:
        """Count a request that matched no class."""
        self.n_calls["-", kind.token] += 1

    def count_retry(self, class_name: str) -> None:
        """Count an attempt that was made after a failed one."""
        self.n_retries[class_name] += 1

    def count_hedge(self, class_name: str) -> None:
        """Count a hedge: a second attempt started while a slow one runs."""
        self.n_hedges[class_name] += 1

    def record(
        self,
        request_class: classes.RequestClass,
        seconds: float,
        result: _endpoint.CallResult,
    ) -> None:
        """Record the result and the latency of one call."""
        outcome = "answered" if result.is_ok() else result.error.kind.token
        name = request_class.name
        self.n_calls[name, outcome] += 1
        latency = self.latencies.get(name)
        if latency is None:
            latency = self.latencies[name] = LatencyHistogram()
        latency.observe(seconds)
        self._record_in_window(request_class, seconds, result.is_ok())

    def report(self, request_class: classes.RequestClass, now: float) -> TargetReport:
        """Return the result of the class over the last ``WINDOW_SECONDS``.

        Without any calls the target counts as met.
        """
        n_calls = 0
        n_failed = 0
        n_within = 0
        buckets: collections.Counter[int] = collections.Counter()
        for counts in self._windows.get(request_class.name, ()):
            if counts.second < int(now) - WINDOW_SECONDS:
                continue
            n_calls += counts.n_calls
            n_failed += counts.n_failed
            n_within += counts.n_within
            buckets.update(counts.buckets)
        percentile = request_class.target.percentile
        if not n_calls:
            return TargetReport(0, 0, 100.0, 0.0, True)
        share_within = 100.0 * n_within / n_calls
        achieved_ms = _find_percentile(buckets, n_calls, percentile)
        is_met = share_within >= percentile
        return TargetReport(n_calls, n_failed, share_within, achieved_ms, is_met)

    def _record_in_window(
        self, request_class: classes.RequestClass, seconds: float, is_answered: bool
    ) -> None:
        second = int(trio.current_time())
        window = self._windows.setdefault(request_class.name, collections.deque())
        if not window or window[-1].second != second:
            window.append(_SecondCounts(second))
            while window[0].second < second - WINDOW_SECONDS:
                window.popleft()
        counts = window[-1]
        counts.n_calls += 1
        ms = seconds * MS_PER_SECOND
        if not is_answered:
            counts.n_failed += 1
            ms = math.inf
        elif ms <= request_class.target.latency_ms:
            counts.n_within += 1
        counts.buckets[_get_bucket(ms)] += 1


_INFINITE_BUCKET = 1 << 30


def _get_bucket(ms: float) -> int:
    if ms == math.inf:
        return _INFINITE_BUCKET
    return max(
        0, math.ceil(math.log(max(ms, MIN_BUCKET_MS) / MIN_BUCKET_MS, BUCKET_RATIO))
    )


def _find_percentile(
    buckets: collections.Counter[int], n_calls: int, percentile: float
) -> float:
    """Return the upper bound, in ms, of the bucket that contains the percentile."""
    n_needed = math.ceil(n_calls * percentile / 100.0)
    n_seen = 0
    for bucket in sorted(buckets):
        n_seen += buckets[bucket]
        if n_seen < n_needed:
            continue
        if bucket == _INFINITE_BUCKET:
            return math.inf
        return float(MIN_BUCKET_MS * BUCKET_RATIO**bucket)
    return math.inf
