"""Metrics of a daemon that are read from its parts when they are scraped."""

from collections.abc import Callable
from typing import NamedTuple

import prometheus_client
import trio

from umberdrum import callpath, gossip, logs, measuring, peerlink, store


class MetricSources(NamedTuple):
    """Parts of the daemon that the metrics are read from."""

    endpoint: callpath.EndpointService
    upstream_pool: callpath.UpstreamPool
    peer_pool: peerlink.PeerLinkPool
    peer_leg: callpath.PeerLeg
    watch: callpath.LivenessWatch
    state: gossip.SharedState
    exchange: gossip.GossipExchange
    synchronizer: gossip.PeerSynchronizer
    budget: measuring.MeasuringBudget
    counter: store.StoreCallCounter
    writer: logs.LineWriter


class _Gauge(NamedTuple):
    """One metric: its name, its help text and how it is read."""

    name: str
    documentation: str
    read: Callable[[], float]


def register_metrics(
    sources: MetricSources, registry: prometheus_client.CollectorRegistry
) -> None:
    """Add the metrics of the daemon's parts to ``registry``."""
    for row in _list_gauges(sources):
        gauge = prometheus_client.Gauge(row.name, row.documentation, registry=registry)
        gauge.set_function(row.read)
    for use in measuring.MeasuringUse:
        gauge = prometheus_client.Gauge(
            f"umberdrum_measuring_{use.value}_bytes",
            f"Bytes of the measuring budget spent on {use.value}",
            registry=registry,
        )
        gauge.set_function(_read_use(sources.budget, use))


def _read_use(
    budget: measuring.MeasuringBudget, use: measuring.MeasuringUse
) -> Callable[[], float]:
    return lambda: float(budget.spent_bytes[use])


def _list_gauges(sources: MetricSources) -> list[_Gauge]:
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
            lambda: sources.peer_leg.n_silent_links,
        ),
        _Gauge(
            "umberdrum_calls_settled",
            "Calls settled by an outcome query",
            lambda: sources.peer_leg.n_settled,
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
            "umberdrum_catalog_revision",
            "Highest revision of a class in force",
            lambda: sources.state.catalog.revision,
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
