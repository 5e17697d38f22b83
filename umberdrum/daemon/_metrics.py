"""Prometheus metrics of a daemon, read from its parts at each scrape.

The first scrape imports this module; see ``_metric_page``.
"""

import itertools
import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

import prometheus_client
import trio
from prometheus_client import metrics_core, registry

from umberdrum import (
    accounts,
    admission,
    callpath,
    measuring,
    routetable,
    supervision,
)
from umberdrum.daemon import _metric_page

N_LABELLED_ACCOUNTS = 10
_ACCOUNT_ENDS = tuple(outcome.value for outcome in accounts.AccountOutcome)


class _Gauge(NamedTuple):
    """Gauge with its name, its help text and a function that reads its value."""

    name: str
    documentation: str
    read: Callable[[], float]


class _Dependency(NamedTuple):
    """State of a dependency of the daemon.

    ``last_seen_at`` is the trio time of the store's last answer, the upstream's last
    announcement or the last datagram from a peer. It is None if there was none, and
    for the upstream also while it is absent.
    """

    name: str
    is_up: bool
    last_seen_at: float | None


class MetricRenderer:
    """Renders all metrics of the daemon in the Prometheus text format."""

    def __init__(self, sources: _metric_page.MetricSources) -> None:
        self._registry = _build_registry(sources)

    def render(self) -> str:
        """Return the page with the current values."""
        return prometheus_client.generate_latest(self._registry).decode()


def _build_registry(
    sources: _metric_page.MetricSources,
) -> prometheus_client.CollectorRegistry:
    collector_registry = prometheus_client.CollectorRegistry()
    for definition in _list_gauges(sources):
        gauge = prometheus_client.Gauge(
            definition.name, definition.documentation, registry=collector_registry
        )
        gauge.set_function(definition.read)
    for use in measuring.MeasuringUse:
        gauge = prometheus_client.Gauge(
            f"umberdrum_measuring_{use.value}_bytes",
            f"Bytes of the measuring budget spent on {use.value}",
            registry=collector_registry,
        )
        gauge.set_function(_read_use(sources.budget, use))
    collector_registry.register(_CallCollector(sources.statistics))
    collector_registry.register(_DependencyCollector(sources))
    collector_registry.register(_ErrorCollector(sources.errors))
    collector_registry.register(_AccountCollector(sources.account_usage))
    return collector_registry


class _CallCollector(registry.Collector):
    """Counters and latency histograms of calls with this daemon as entry."""

    def __init__(self, statistics: callpath.CallStatistics) -> None:
        self._statistics = statistics

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Return the metrics with their current values."""
        calls = metrics_core.CounterMetricFamily(
            "umberdrum_calls", "Calls by class and end", labels=["cls", "end"]
        )
        for labels, n_calls in self._statistics.n_calls.items():
            calls.add_metric(labels, n_calls)
        yield calls
        latencies = metrics_core.HistogramMetricFamily(
            "umberdrum_call_seconds",
            "Time from request head to whole answer",
            labels=["cls"],
        )
        for name, histogram in self._statistics.latencies.items():
            buckets = _list_buckets(histogram)
            latencies.add_metric([name], buckets, histogram.total_seconds)
        yield latencies
        retries = metrics_core.CounterMetricFamily(
            "umberdrum_retries", "Attempts after a failure", labels=["cls"]
        )
        for name, n_retries in self._statistics.n_retries.items():
            retries.add_metric([name], n_retries)
        yield retries
        hedges = metrics_core.CounterMetricFamily(
            "umberdrum_hedges", "Second attempts beside a slow one", labels=["cls"]
        )
        for name, n_hedges in self._statistics.n_hedges.items():
            hedges.add_metric([name], n_hedges)
        yield hedges


class _ErrorCollector(registry.Collector):
    """Counters of unexpected errors in the tasks of this daemon."""

    def __init__(self, errors: supervision.ErrorLog) -> None:
        self._errors = errors

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Return the metric with its current values."""
        failures = metrics_core.CounterMetricFamily(
            "umberdrum_task_failures",
            "Unexpected errors by the task in which they were raised",
            labels=["task"],
        )
        for task, n_errors in self._errors.n_errors.items():
            failures.add_metric([task], n_errors)
        yield failures


class _AccountCollector(registry.Collector):
    """Requests of the client accounts with most of them, the others as one."""

    def __init__(self, usage: accounts.AccountUsage) -> None:
        self._usage = usage

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Return the metric with its current values."""
        requests = metrics_core.CounterMetricFamily(
            "umberdrum_account_requests",
            "Requests by client account and end; small accounts are one, other",
            labels=["account", "end"],
        )
        rows = self._usage.list_largest(accounts.MAX_COUNTED_ACCOUNTS)
        others = dict.fromkeys(_ACCOUNT_ENDS, 0)
        for index, row in enumerate(rows):
            for end, n_requests in zip(_ACCOUNT_ENDS, row[2:], strict=True):
                if index < N_LABELLED_ACCOUNTS:
                    requests.add_metric([row.account, end], n_requests)
                else:
                    others[end] += n_requests
        if len(rows) > N_LABELLED_ACCOUNTS:
            for end, n_requests in others.items():
                requests.add_metric(["other", end], n_requests)
        yield requests


class _DependencyCollector(registry.Collector):
    """State of store, upstream and peers, and the time since each was last seen.

    A contact also reports its watch of the store, as ``store_watch``.
    """

    def __init__(self, sources: _metric_page.MetricSources) -> None:
        self._sources = sources

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Return the metrics with their current values."""
        states = metrics_core.GaugeMetricFamily(
            "umberdrum_dependency_up",
            "Whether the dependency answered last time, 1 or 0",
            labels=["name"],
        )
        ages = metrics_core.GaugeMetricFamily(
            "umberdrum_dependency_age_seconds",
            "Time since the dependency last gave a sign, absent if it never did",
            labels=["name"],
        )
        now = trio.current_time()
        for dependency in self._list_dependencies():
            states.add_metric([dependency.name], float(dependency.is_up))
            if dependency.last_seen_at is not None:
                ages.add_metric([dependency.name], now - dependency.last_seen_at)
        yield states
        yield ages

    def _list_dependencies(self) -> list[_Dependency]:
        sources = self._sources
        counter = sources.counter
        announcement_tracker = sources.announcement_tracker
        exchange = sources.exchange
        has_peers = sources.state.table.n_live > 1
        watcher = sources.watcher
        dependencies = [
            _Dependency("store", counter.is_answering, counter.last_answer_at),
            _Dependency(
                "upstream",
                announcement_tracker.announcement is not None,
                announcement_tracker.announced_at,
            ),
            _Dependency("peers", has_peers, exchange.last_received_at),
        ]
        if watcher.is_running:
            dependencies.append(
                _Dependency("store_watch", watcher.is_following, watcher.last_answer_at)
            )
        return dependencies


def _list_buckets(
    histogram: callpath.LatencyHistogram,
) -> list[tuple[str, float]]:
    """Return each bucket's upper bound with the cumulative count of calls up to it."""
    bounds = [str(bound) for bound in callpath.LATENCY_BUCKETS_SECONDS]
    counts = itertools.accumulate(histogram.n_by_bucket)
    return list(zip([*bounds, "+Inf"], map(float, counts), strict=True))


def _get_routes_version(source: routetable.RouteTableSource | None) -> int:
    if source is None or source.table is None:
        return 0
    return source.table.version


def _read_use(
    budget: measuring.MeasuringBudget, use: measuring.MeasuringUse
) -> Callable[[], float]:
    return lambda: float(budget.spent_bytes[use])


def _get_rate_limit(limiter: admission.RateLimiter) -> float:
    return math.inf if limiter.rate_per_second is None else limiter.rate_per_second


def _list_gauges(sources: _metric_page.MetricSources) -> list[_Gauge]:
    gate = sources.endpoint.gate
    exchange = sources.exchange
    budget = sources.budget
    return [
        _Gauge(
            "umberdrum_slots_running", "Calls at the upstream", lambda: gate.n_running
        ),
        _Gauge("umberdrum_slots_queued", "Calls in the queue", lambda: gate.n_queued),
        _Gauge(
            "umberdrum_slot_limit",
            "Calls that may run at once",
            lambda: gate.slot_limit.get_limit(),
        ),
        _Gauge(
            "umberdrum_upstream_crashes",
            "Unplanned ends of the upstream while calls were running",
            lambda: sources.endpoint.crash_guard.n_crashes,
        ),
        _Gauge(
            "umberdrum_crashing_requests_refused",
            "Requests refused because upstreams have ended under them",
            lambda: sources.endpoint.crash_guard.n_refused,
        ),
        _Gauge(
            "umberdrum_crash_suspects",
            "Remembered requests that were running when an upstream ended",
            lambda: len(sources.state.crashes),
        ),
        _Gauge(
            "umberdrum_upstream_rate_limit",
            "Requests a second that the upstream takes, infinity without a limit",
            lambda: _get_rate_limit(gate.rate_limiter),
        ),
        _Gauge(
            "umberdrum_upstream_cold_seconds",
            "Time for which the limit of a cold upstream still holds",
            lambda: gate.rate_limiter.get_cold_seconds(trio.current_time()),
        ),
        _Gauge(
            "umberdrum_zones_drained",
            "Availability zones that are out of service",
            lambda: len(sources.zone_drains.zones),
        ),
        _Gauge(
            "umberdrum_zone_refusals",
            "Calls refused here because the zone is out of service",
            lambda: sources.endpoint.n_zone_refusals,
        ),
        _Gauge(
            "umberdrum_allotment_asks",
            "Asks for requests of allotments sent, refreshes of delegations included",
            lambda: sources.allotments.client.n_asks,
        ),
        _Gauge(
            "umberdrum_allotment_granted",
            "Requests of allotments given out by this daemon",
            lambda: sources.allotments.grantor.n_granted,
        ),
        _Gauge(
            "umberdrum_allotment_over_limit",
            "Requests refused here because an allotment was used up",
            lambda: sources.allotments.client.n_over_limit,
        ),
        _Gauge(
            "umberdrum_allotment_unknown",
            "Requests refused here because no grantor answered",
            lambda: sources.allotments.client.n_unknown,
        ),
        _Gauge(
            "umberdrum_upstream_connections",
            "Open connections to the upstream",
            lambda: sources.upstream_pool.n_open,
        ),
        _Gauge(
            "umberdrum_peer_links_opened",
            "Peer links opened",
            lambda: sources.peer_pool.n_opened,
        ),
        _Gauge(
            "umberdrum_peer_links_silent",
            "Peer links that went silent during a call",
            lambda: sources.peer_client.n_silent_links,
        ),
        _Gauge(
            "umberdrum_calls_settled",
            "Calls settled by an outcome query",
            lambda: sources.peer_client.n_outcome_resolutions,
        ),
        _Gauge(
            "umberdrum_calls_in_progress",
            "Calls in progress, as entry or endpoint",
            lambda: sources.watch.n_watched,
        ),
        _Gauge(
            "umberdrum_members",
            "Endpoint records known",
            lambda: len(sources.state.table),
        ),
        _Gauge(
            "umberdrum_live_members",
            "Endpoint records of daemons that are believed to run",
            lambda: sources.state.table.n_live,
        ),
        _Gauge(
            "umberdrum_catalog_revision",
            "Highest revision of a class in force",
            lambda: sources.state.catalog.revision,
        ),
        _Gauge(
            "umberdrum_routes_version",
            "Version of the route table in force, 0 if there is none",
            lambda: _get_routes_version(sources.routes),
        ),
        _Gauge(
            "umberdrum_catalog_outdated_seconds",
            "Time since a peer told of a newer document that is not here yet, or 0",
            exchange.get_outdated_seconds,
        ),
        _Gauge(
            "umberdrum_fetch_failures",
            "Fetches of documents from peers that brought none",
            lambda: exchange.n_failed_fetches,
        ),
        _Gauge(
            "umberdrum_gossip_sent_bytes",
            "Gossip bytes sent, with packet overhead",
            lambda: exchange.n_bytes_sent,
        ),
        _Gauge(
            "umberdrum_gossip_received_bytes",
            "Gossip bytes received, with packet overhead",
            lambda: exchange.n_bytes_received,
        ),
        _Gauge(
            "umberdrum_syncs",
            "Full synchronisations begun here",
            lambda: sources.synchronizer.n_syncs,
        ),
        _Gauge(
            "umberdrum_sync_bytes",
            "Bytes of full synchronisations begun here",
            lambda: sources.synchronizer.n_bytes,
        ),
        _Gauge(
            "umberdrum_measuring_cap_bytes",
            "Measuring budget, bytes a second",
            lambda: budget.bytes_per_second,
        ),
        _Gauge(
            "umberdrum_measuring_window_bytes",
            "Bytes spent on measuring in the last second",
            lambda: budget.get_window_bytes(trio.current_time()),
        ),
        _Gauge(
            "umberdrum_store_calls",
            "Calls to the store, a watch as one",
            lambda: sources.counter.total,
        ),
        _Gauge(
            "umberdrum_store_era",
            "Era of the store, which rises with each restore; 0 if it reports none",
            lambda: sources.eras.era,
        ),
        _Gauge(
            "umberdrum_store_failures",
            "Calls to the store without a valid answer",
            lambda: sources.counter.n_failed,
        ),
        _Gauge(
            "umberdrum_log_lines_dropped",
            "Log lines left out because the reader was slow",
            lambda: sources.writer.n_dropped,
        ),
    ]
