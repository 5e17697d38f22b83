"""Metrics page of a daemon, with a deferred import of the metrics library."""

from typing import NamedTuple, Protocol

from umberdrum import (
    accounts,
    announcements,
    callpath,
    configuration,
    gossip,
    logs,
    measuring,
    peerlink,
    routetable,
    store,
    supervision,
    zones,
)
from umberdrum.daemon import _allotments


class MetricSources(NamedTuple):
    """Parts of the daemon from which the metrics are read."""

    endpoint: callpath.EndpointService
    upstream_pool: callpath.UpstreamPool
    peer_pool: peerlink.PeerLinkPool
    peer_client: callpath.PeerClient
    watch: callpath.LivenessWatch
    state: gossip.SharedState
    exchange: gossip.GossipExchange
    synchronizer: gossip.PeerSynchronizer
    budget: measuring.MeasuringBudget
    counter: store.StoreCallCounter
    eras: store.EraTracker
    watcher: configuration.ConfigurationWatcher
    writer: logs.LineWriter
    statistics: callpath.CallStatistics
    announcement_tracker: announcements.AnnouncementTracker
    routes: routetable.RouteTableSource | None
    errors: supervision.ErrorLog
    account_usage: accounts.AccountUsage
    allotments: _allotments.AllotmentParts
    zone_drains: zones.ZoneDrains


class _Renderer(Protocol):
    """Renderer of the metrics in the Prometheus text format."""

    def render(self) -> str:
        """Return the page with the current values."""


class MetricPage:
    """Renders the metrics with ``prometheus_client``, imported at the first scrape.

    That library imports the standard library's HTTP servers. The import takes some
    30 ms of CPU time, which would delay the first calls of a restarting daemon.
    """

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources
        self._renderer: _Renderer | None = None

    def render(self) -> str:
        """Return the page with the current values."""
        if self._renderer is None:
            from umberdrum.daemon import _metrics

            self._renderer = _metrics.MetricRenderer(self._sources)
        return self._renderer.render()
