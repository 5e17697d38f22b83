"""Endpoint statistics and class times that all routers share."""

from collections.abc import Sequence
from typing import NamedTuple

from umberdrum.routing import _endpoint_stats, _router

CLASS_TIME_EWMA_WEIGHT = 0.05
MAX_CLASS_TIME_RATIO = 4.0
INITIAL_CLASS_SECONDS = 0.01
SAME_ZONE_NETWORK_SECONDS = 0.0005
SAME_REGION_NETWORK_SECONDS = 0.002
OTHER_REGION_NETWORK_SECONDS = 0.05


class Locality(NamedTuple):
    """Availability zone and region of the entry daemon."""

    availability_zone: str
    region: str


class TrackingRouter:
    """Base class of the routers of this package, without ``choose``.

    It keeps an ``EndpointStats`` for each endpoint and a typical time for each class.
    All routers collect the same statistics, so that policies differ only in
    ``choose``.
    """

    def __init__(self, locality: Locality) -> None:
        self._locality = locality
        self._stats_by_endpoint: dict[str, _endpoint_stats.EndpointStats] = {}
        self._class_seconds: dict[str, float] = {}

    def start_attempt(
        self, key: str, class_name: str, now: float
    ) -> _router.OutstandingCall:
        """Record that an attempt is sent to the endpoint ``key``."""
        stats = self._stats_by_endpoint.get(key)
        if stats is None:
            stats = self._stats_by_endpoint[key] = _endpoint_stats.EndpointStats(
                now, SAME_REGION_NETWORK_SECONDS
            )
        typical_seconds = self._get_class_seconds(class_name)
        return _router.OutstandingCall(
            key, class_name, stats.start_call(now, typical_seconds)
        )

    def end_attempt(
        self,
        call: _router.OutstandingCall,
        observation: _router.Observation,
        now: float,
    ) -> None:
        """Record the end of an attempt and update the statistics of its endpoint."""
        stats = self._stats_by_endpoint.get(call.key)
        if stats is None:
            return
        stats.end_call(call.call_number)
        if observation.report is not None:
            stats.record_report(observation.report, now)
        if observation.result is _router.AttemptResult.ABANDONED:
            slowness = observation.total_seconds / self._get_class_seconds(
                call.class_name
            )
            if slowness > stats.get_slowness(now):
                stats.observe_slowness(slowness, now)
            return
        if observation.result is _router.AttemptResult.FAILED:
            stats.observe_failure(now)
            return
        if observation.result is _router.AttemptResult.REFUSED:
            return
        seconds = observation.upstream_seconds or observation.total_seconds
        typical_seconds = self._update_class_seconds(call.class_name, seconds)
        stats.observe_slowness(seconds / typical_seconds, now)
        if observation.upstream_seconds:
            network_seconds = max(
                0.0, observation.total_seconds - observation.upstream_seconds
            )
            stats.observe_network_time(network_seconds)

    def record_load(
        self, key: str, report: _endpoint_stats.LoadReport, now: float
    ) -> None:
        """Record the load that the endpoint ``key`` has told of itself by gossip."""
        stats = self._stats_by_endpoint.get(key)
        if stats is not None:
            stats.record_report(report, now)

    def prune_endpoints(self, live_keys: frozenset[str]) -> None:
        """Remove the statistics of endpoints outside ``live_keys``.

        Endpoints with outstanding calls are kept until those calls end.
        """
        for key in [key for key in self._stats_by_endpoint if key not in live_keys]:
            if self._stats_by_endpoint[key].n_outstanding:
                continue
            del self._stats_by_endpoint[key]

    def get_endpoint_stats(self, key: str) -> _endpoint_stats.EndpointStats | None:
        """Return the statistics of the endpoint ``key``, or None if there are none."""
        return self._stats_by_endpoint.get(key)

    def _get_class_seconds(self, class_name: str) -> float:
        return self._class_seconds.get(class_name, INITIAL_CLASS_SECONDS)

    def _update_class_seconds(self, class_name: str, seconds: float) -> float:
        """Add ``seconds`` to the class's moving average and return the new average.

        Each observation is clipped, so that a slow endpoint can't raise the typical
        time quickly and thereby hide its own slowness.
        """
        typical_seconds = self._class_seconds.get(class_name)
        if typical_seconds is None:
            typical_seconds = max(seconds, 1e-5)
        clipped = min(seconds, typical_seconds * MAX_CLASS_TIME_RATIO)
        typical_seconds += CLASS_TIME_EWMA_WEIGHT * (clipped - typical_seconds)
        self._class_seconds[class_name] = typical_seconds
        return max(typical_seconds, 1e-5)

    def _get_or_create_stats(
        self, candidate: _router.Candidate, now: float
    ) -> _endpoint_stats.EndpointStats:
        stats = self._stats_by_endpoint.get(candidate.key)
        if stats is None:
            stats = _endpoint_stats.EndpointStats(
                now, self._estimate_initial_network_seconds(candidate)
            )
            self._stats_by_endpoint[candidate.key] = stats
        return stats

    def _estimate_initial_network_seconds(self, candidate: _router.Candidate) -> float:
        if candidate.is_local:
            return 0.0
        if candidate.region != self._locality.region:
            return OTHER_REGION_NETWORK_SECONDS
        if candidate.availability_zone != self._locality.availability_zone:
            return SAME_REGION_NETWORK_SECONDS
        return SAME_ZONE_NETWORK_SECONDS


def filter_candidates(
    candidates: Sequence[_router.Candidate], excluded: frozenset[str]
) -> list[_router.Candidate]:
    """Return the candidates outside ``excluded``.

    Suspected candidates are returned only if there are no others.
    """
    allowed = [candidate for candidate in candidates if candidate.key not in excluded]
    trusted = [candidate for candidate in allowed if not candidate.is_suspected]
    return trusted or allowed
