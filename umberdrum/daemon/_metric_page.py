"""Page with the metrics of a daemon."""

from typing import NamedTuple, Protocol

from umberdrum import (
    announcements,
    callpath,
    gossip,
    logs,
    measuring,
    peerlink,
    routetable,
    store,
)


class MetricSources(NamedTuple):
    """Parts of the daemon that the metrics are read from."""

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
    writer: logs.LineWriter
    statistics: callpath.CallStatistics
    announcement_tracker: announcements.AnnouncementTracker
    routes: routetable.RouteTableSource | None


class _Renderer(Protocol):
    """Renders the metrics as text."""

    def render(self) -> str:
        """Return the page with the present values."""


class MetricPage:
    """Metrics as text, rendered by ``prometheus_client`` from the first scrape on.

    That library brings the standard library's HTTP servers along. Importing it takes
    some 30 ms of processor time, by which a daemon that starts again would serve later.
    """

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources
        self._renderer: _Renderer | None = None

    def render(self) -> str:
        """Return the page with the present values."""
        if self._renderer is None:
            from umberdrum.daemon import _metrics

            self._renderer = _metrics.MetricRenderer(self._sources)
        return self._renderer.render()
