"""Bookkeeping that all routers share: views of endpoints and times of classes."""

from collections.abc import Sequence
from typing import NamedTuple

from umberdrum.routing import _endpoint_stats, _router

CLASS_TIME_WEIGHT = 0.05
CLASS_TIME_CLIP = 4.0
INITIAL_CLASS_SECONDS = 0.01
SAME_ZONE_SECONDS = 0.0005
SAME_REGION_SECONDS = 0.002
OTHER_REGION_SECONDS = 0.05


class Place(NamedTuple):
    """Availability zone and region of the entry daemon."""

    availability_zone: str
    region: str


class TrackingRouter:
    """Base of the routers of this package; it never chooses.

    It keeps an ``EndpointStats`` for each endpoint and a typical time for each class,
    and measures every router's endpoints alike, so that policies differ only in
    ``choose``.
    """

    def __init__(self, place: Place) -> None:
        self._place = place
        self._views: dict[str, _endpoint_stats.EndpointStats] = {}
        self._class_seconds: dict[str, float] = {}

    def start_attempt(
        self, key: str, class_name: str, now: float
    ) -> _router.OutstandingCall:
        """Note that an attempt is sent to the endpoint ``key``."""
        view = self._views.get(key)
        if view is None:
            view = self._views[key] = _endpoint_stats.EndpointStats(
                now, SAME_REGION_SECONDS
            )
        typical = self._get_class_seconds(class_name)
        return _router.OutstandingCall(key, class_name, view.begin(now, typical))

    def end_attempt(
        self, call: _router.OutstandingCall, seen: _router.Observation, now: float
    ) -> None:
        """Note that the attempt ended and learn from what was seen."""
        view = self._views.get(call.key)
        if view is None:
            return
        view.end(call.call_number)
        if seen.report is not None:
            view.take_report(seen.report, now)
        if seen.end is _router.AttemptResult.ABANDONED:
            slowness = seen.total_seconds / self._get_class_seconds(call.class_name)
            if slowness > view.get_slowness(now):
                view.observe_slowness(slowness, now)
            return
        if seen.end is _router.AttemptResult.FAILED:
            view.observe_error(now)
            return
        if seen.end is _router.AttemptResult.REFUSED:
            return
        seconds = seen.upstream_seconds or seen.total_seconds
        typical = self._learn_class_seconds(call.class_name, seconds)
        view.observe_slowness(seconds / typical, now)
        if seen.upstream_seconds:
            outside = max(0.0, seen.total_seconds - seen.upstream_seconds)
            view.observe_network(outside)

    def prune_endpoints(self, live_keys: frozenset[str]) -> None:
        """Drop what is known of endpoints outside ``live_keys``."""
        for key in [key for key in self._views if key not in live_keys]:
            if self._views[key].n_outstanding:
                continue
            del self._views[key]

    def get_endpoint_stats(self, key: str) -> _endpoint_stats.EndpointStats | None:
        """Return what is known of the endpoint ``key``."""
        return self._views.get(key)

    def _get_class_seconds(self, class_name: str) -> float:
        return self._class_seconds.get(class_name, INITIAL_CLASS_SECONDS)

    def _learn_class_seconds(self, class_name: str, seconds: float) -> float:
        """Return the typical time of the class after it has learnt ``seconds``.

        One observation moves it by a bounded step, so that a slow endpoint does not
        make slowness look typical.
        """
        typical = self._class_seconds.get(class_name)
        if typical is None:
            typical = max(seconds, 1e-5)
        clipped = min(seconds, typical * CLASS_TIME_CLIP)
        typical += CLASS_TIME_WEIGHT * (clipped - typical)
        self._class_seconds[class_name] = typical
        return max(typical, 1e-5)

    def _get_candidate_view(
        self, candidate: _router.Candidate, now: float
    ) -> _endpoint_stats.EndpointStats:
        view = self._views.get(candidate.key)
        if view is None:
            view = _endpoint_stats.EndpointStats(
                now, self._guess_network_seconds(candidate)
            )
            self._views[candidate.key] = view
        return view

    def _guess_network_seconds(self, candidate: _router.Candidate) -> float:
        if candidate.is_local:
            return 0.0
        if candidate.region != self._place.region:
            return OTHER_REGION_SECONDS
        if candidate.availability_zone != self._place.availability_zone:
            return SAME_REGION_SECONDS
        return SAME_ZONE_SECONDS


def filter_candidates(
    candidates: Sequence[_router.Candidate], excluded: frozenset[str]
) -> list[_router.Candidate]:
    """Return the candidates to choose from; suspected ones only when alone."""
    allowed = [item for item in candidates if item.key not in excluded]
    trusted = [item for item in allowed if not item.is_suspected]
    return trusted or allowed
