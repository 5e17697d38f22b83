"""Routing by expected finishing time."""

import random
from collections.abc import Sequence

from umberdrum.routing import _router, _tracking, _view

N_SAMPLED = 5
OTHERS_WEIGHT = 0.05
BUSY_SHARE = 0.25
POLICY_NAME = "finish_time"
MS_PER_SECOND = 1000.0


class FinishTimeRouter(_tracking.TrackingRouter):
    """Takes, of a few sampled endpoints, the one expected to finish first.

    The expectation is the network time, plus the class's typical time multiplied by how
    slow the endpoint is and by how its load compares with its slots. Sampling keeps
    many daemons with the same report from choosing the same endpoint; suspected
    endpoints are considered only when no other is left.
    """

    def __init__(self, place: _tracking.Place, rng: random.Random) -> None:
        super().__init__(place)
        self._rng = rng
        self._usual_others = 0.0

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
    ) -> _router.RoutingDecision | None:
        """Return the sampled candidate with the lowest expected finishing time."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        sampled = self._rng.sample(allowed, min(N_SAMPLED, len(allowed)))
        typical = self._get_class_seconds(class_name)
        best = sampled[0]
        best_seconds = float("inf")
        for candidate in sampled:
            seconds = self._estimate_seconds(candidate, typical, now)
            if seconds >= best_seconds:
                continue
            best = candidate
            best_seconds = seconds
        expected_ms = best_seconds * MS_PER_SECOND
        return _router.RoutingDecision(best, expected_ms, len(sampled), POLICY_NAME)

    def end(
        self, call: _router.OutstandingCall, seen: _router.Observation, now: float
    ) -> None:
        """Note that the attempt ended and learn from what was seen."""
        super().end(call, seen, now)
        view = self._views.get(call.key)
        if view is None or seen.report is None:
            return
        reported = seen.report.n_running + seen.report.n_queued
        others = max(0, reported - view.n_outstanding)
        self._usual_others += OTHERS_WEIGHT * (others - self._usual_others)

    def _estimate_seconds(
        self, candidate: _router.Candidate, typical: float, now: float
    ) -> float:
        view = self._get_candidate_view(candidate, now)
        n_slots = _get_slot_limit(view, candidate)
        load = view.estimate_load(now, self._usual_others)
        occupancy = (load + 1.0) / n_slots
        waiting_factor = max(1.0, occupancy) + BUSY_SHARE * min(1.0, occupancy)
        slowness = view.get_slowness(now) * view.get_ramp_factor(now)
        return view.network_seconds + typical * slowness * waiting_factor


def _get_slot_limit(view: _view.EndpointView, candidate: _router.Candidate) -> int:
    if view.report is not None and view.report.slot_limit:
        return view.report.slot_limit
    return max(1, candidate.n_slots)
