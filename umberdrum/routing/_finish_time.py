"""Routing by expected finishing time."""

import random
from collections.abc import Sequence

from umberdrum.routing import _endpoint_stats, _router, _tracking

N_SAMPLED = 5
# Two of them let a call avoid one that is busy without leaving the zone.
N_SAMPLED_NEAR = 2
OTHERS_WEIGHT = 0.05
BUSY_SHARE = 0.25
NEARLY_BEST_FACTOR = 1.1
NEARLY_BEST_SECONDS = 0.0003
POLICY_NAME = "finish_time"
MS_PER_SECOND = 1000.0
CROSS_ZONE_SECONDS_PER_BYTE = 1e-6
TYPICAL_CALL_BYTES = 2000
# Uploads of photos and scans are larger, all other bodies smaller.
LARGE_BODY_BYTES = 16_384
# Most calls end within this multiple of the expected time.
NEAR_MARGIN = 1.3
# Mean length of a slow episode, as seen on the users' deployments.
EPISODE_SECONDS = 0.15


class FinishTimeRouter(_tracking.TrackingRouter):
    """Takes, of a few sampled endpoints, the one expected to finish first.

    The expectation is the network time, plus the class's typical time multiplied by how
    slow the endpoint is and by how its load compares with its slots. Sampling keeps
    many daemons with the same report from choosing the same endpoint; suspected
    endpoints are considered only when no other is left. Bytes between zones are paid
    for, so of those that are nearly the best one of the own zone is taken, and a large
    body stays there unless another zone is expected to finish much sooner.
    """

    def __init__(self, place: _tracking.Place, rng: random.Random) -> None:
        super().__init__(place)
        self._rng = rng
        self._usual_others = 0.0
        self._usual_pace = 1.0

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
        needs: _router.CallAttributes = _router.DEFAULT_ATTRIBUTES,
    ) -> _router.RoutingDecision | None:
        """Return one of the sampled candidates that are expected to finish first."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        warm = self._leave_out_cold(allowed, now)
        typical = self._get_class_seconds(class_name)
        near = self._list_near(warm, typical, needs, now)
        warm = near or warm
        sampled = self._sample(warm)
        expected: list[float] = []
        for row in sampled:
            seconds = self._estimate_seconds(row, typical, now)
            if row.availability_zone != self._place.availability_zone:
                n_bytes = TYPICAL_CALL_BYTES + needs.n_body_bytes
                seconds += n_bytes * CROSS_ZONE_SECONDS_PER_BYTE
            expected.append(seconds)
        bound = min(expected) * NEARLY_BEST_FACTOR + NEARLY_BEST_SECONDS
        chosen: int | None = None
        # The sample is in random order, so the first of the nearly best is a fair draw.
        for index, candidate in enumerate(sampled):
            if expected[index] > bound:
                continue
            if candidate.availability_zone == self._place.availability_zone:
                chosen = index
                break
            if chosen is None:
                chosen = index
        if chosen is None:
            return None
        return _router.RoutingDecision(
            sampled[chosen],
            expected[chosen] * MS_PER_SECOND,
            len(sampled),
            POLICY_NAME,
            self._get_report_age_ms(sampled[chosen], now),
            len(near) == 1,
        )

    def _sample(self, candidates: list[_router.Candidate]) -> list[_router.Candidate]:
        """Return a few candidates in random order, some of the own zone among them.

        Load pattern: dozens of endpoints over several zones. Of a plain sample most are
        of other zones, and calls would cross although endpoints nearby are as good.
        """
        zone = self._place.availability_zone
        near = [row for row in candidates if row.availability_zone == zone]
        sampled = self._rng.sample(near, min(N_SAMPLED_NEAR, len(near)))
        others = [row for row in candidates if row not in sampled]
        n_others = min(N_SAMPLED - len(sampled), len(others))
        sampled += self._rng.sample(others, n_others)
        self._rng.shuffle(sampled)
        return sampled

    def _list_near(
        self,
        candidates: list[_router.Candidate],
        typical: float,
        needs: _router.CallAttributes,
        now: float,
    ) -> list[_router.Candidate]:
        """Return the candidates of the own zone if a large body had better stay there.

        That is when one of them is expected to finish well before the target is missed,
        if need be after the end of a slow episode.
        """
        if needs.n_body_bytes < LARGE_BODY_BYTES:
            return []
        near: list[_router.Candidate] = []
        for row in candidates:
            if row.availability_zone != self._place.availability_zone:
                continue
            seconds = self._estimate_seconds(row, typical, now) * NEAR_MARGIN
            if seconds <= needs.slack_seconds:
                near.append(row)
        return near

    def _get_report_age_ms(
        self, candidate: _router.Candidate, now: float
    ) -> float | None:
        report_at = self._get_candidate_view(candidate, now).report_at
        return None if report_at is None else (now - report_at) * MS_PER_SECOND

    def end_attempt(
        self, call: _router.OutstandingCall, seen: _router.Observation, now: float
    ) -> None:
        """Note that the attempt ended and learn from what was seen."""
        super().end_attempt(call, seen, now)
        view = self._views.get(call.key)
        if view is None or seen.report is None:
            return
        self._usual_pace += OTHERS_WEIGHT * (seen.report.pace - self._usual_pace)
        reported = seen.report.n_running + seen.report.n_queued
        others = max(0, reported - view.n_outstanding)
        self._usual_others += OTHERS_WEIGHT * (others - self._usual_others)

    def _leave_out_cold(
        self, allowed: list[_router.Candidate], now: float
    ) -> list[_router.Candidate]:
        """Return the candidates that take part in this choice.

        A newly started endpoint takes part in a growing share of choices, so that it
        warms up on few calls; when all are new, all take part.
        """
        views = [self._get_candidate_view(candidate, now) for candidate in allowed]
        oldest_seen_at = min(view.first_seen_at for view in views)
        warm: list[_router.Candidate] = []
        for candidate, view in zip(allowed, views, strict=True):
            share = view.get_warm_share(now, oldest_seen_at)
            if share >= 1.0 or self._rng.random() < share:
                warm.append(candidate)
        return warm or allowed

    def _estimate_seconds(
        self, candidate: _router.Candidate, typical: float, now: float
    ) -> float:
        view = self._get_candidate_view(candidate, now)
        n_slots = _get_slot_limit(view, candidate)
        load = view.estimate_load(now, self._usual_others, typical)
        occupancy = (load + 1.0) / n_slots
        waiting_factor = max(1.0, occupancy) + BUSY_SHARE * min(1.0, occupancy)
        slowness = view.get_slowness(now)
        pace = view.get_pace(now, self._usual_pace)
        own_seconds = typical * slowness * waiting_factor
        # The endpoint lets a call wait for the end of a slow episode if that is faster.
        own_seconds += min(own_seconds * (pace - 1.0), EPISODE_SECONDS)
        return view.network_seconds + own_seconds


def _get_slot_limit(
    view: _endpoint_stats.EndpointStats, candidate: _router.Candidate
) -> int:
    if view.report is not None and view.report.slot_limit:
        return view.report.slot_limit
    return max(1, candidate.n_slots)
