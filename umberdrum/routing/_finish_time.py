"""Routing by expected finish time."""

import random
from collections.abc import Sequence

from umberdrum.routing import _endpoint_stats, _router, _tracking

N_SAMPLED = 5
# With two, a call can avoid a busy endpoint and still stay in its zone.
N_SAMPLED_OWN_ZONE = 2
REPORT_EWMA_WEIGHT = 0.05
OCCUPANCY_SLOWDOWN = 0.25
TIE_TOLERANCE_FACTOR = 1.1
TIE_TOLERANCE_SECONDS = 0.0003
POLICY_NAME = "finish_time"
MS_PER_SECOND = 1000.0
CROSS_ZONE_PENALTY_SECONDS_PER_BYTE = 1e-6
TYPICAL_CALL_BYTES = 2000
# Bodies of photo and scan uploads are larger, all other bodies are smaller.
LARGE_BODY_BYTES = 16_384
# Most calls finish within this multiple of the expected time.
FINISH_TIME_SAFETY_FACTOR = 1.3
# In a slow episode, neighbours (other workloads on its host) slow an upstream down for
# a short time. This is the mean length of an episode in production deployments.
MEAN_SLOW_EPISODE_SECONDS = 0.15


class FinishTimeRouter(_tracking.TrackingRouter):
    """Samples a few endpoints and selects the one expected to finish first.

    The expected finish time is the network time plus the service time. The service time
    is the typical time of the class, multiplied by the slowness of the endpoint and by
    a factor that grows with the ratio of its load to its slots. The time that the call
    is expected to lose in a slow episode of the upstream is added.

    Sampling prevents many daemons with the same load report from choosing the same
    endpoint. Suspected endpoints are considered only if there are no others.

    An endpoint whose upstream has named a rate limit is left out until its next call is
    allowed, unless that holds for all.

    Traffic between zones costs money. Among endpoints with nearly equal finish times,
    one in the daemon's own zone is therefore preferred. A large body stays in the zone
    unless another zone is expected to finish it much sooner.
    """

    # See ``EndpointStats.get_slowness``.
    slowness_spread = 0.0

    def __init__(self, locality: _tracking.Locality, rng: random.Random) -> None:
        super().__init__(locality)
        self._rng = rng
        self._mean_other_load = 0.0
        self._mean_pace = 1.0

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
        attributes: _router.CallAttributes = _router.DEFAULT_ATTRIBUTES,
    ) -> _router.RoutingDecision | None:
        """Return a sampled candidate whose expected finish time is nearly the best."""
        eligible, are_all_limited = self._list_eligible(candidates, excluded, now)
        if not eligible:
            return None
        typical_seconds = self._get_class_seconds(class_name)
        own_zone = self._list_own_zone_in_time(
            eligible, typical_seconds, attributes, now
        )
        eligible = own_zone or eligible
        sampled = self._sample(eligible)
        expected_seconds: list[float] = []
        for sampled_candidate in sampled:
            seconds = self._estimate_finish_seconds(
                sampled_candidate, typical_seconds, now
            )
            if sampled_candidate.availability_zone != self._locality.availability_zone:
                n_bytes = TYPICAL_CALL_BYTES + attributes.n_body_bytes
                seconds += n_bytes * CROSS_ZONE_PENALTY_SECONDS_PER_BYTE
            expected_seconds.append(seconds)
        threshold_seconds = (
            min(expected_seconds) * TIE_TOLERANCE_FACTOR + TIE_TOLERANCE_SECONDS
        )
        chosen: int | None = None
        # The sample is in random order, so taking the first match is unbiased.
        for index, candidate in enumerate(sampled):
            if expected_seconds[index] > threshold_seconds:
                continue
            if candidate.availability_zone == self._locality.availability_zone:
                chosen = index
                break
            if chosen is None:
                chosen = index
        if chosen is None:
            return None
        return _router.RoutingDecision(
            sampled[chosen],
            expected_seconds[chosen] * MS_PER_SECOND,
            len(sampled),
            POLICY_NAME,
            self._get_report_age_ms(sampled[chosen], now),
            len(own_zone) == 1,
            are_all_limited,
        )

    def _list_eligible(
        self,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
    ) -> tuple[list[_router.Candidate], bool]:
        """Return the candidates to choose from; none if all are excluded.

        The second value says that the rate limits of all of them allow no call now.
        """
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return [], False
        unlimited = self._list_unlimited(allowed, now)
        return self._apply_slow_start(unlimited or allowed, now), not unlimited

    def _list_unlimited(
        self, candidates: list[_router.Candidate], now: float
    ) -> list[_router.Candidate]:
        """Return the candidates whose rate limits allow a call now."""
        return [
            candidate
            for candidate in candidates
            if not self._get_or_create_stats(candidate, now).get_limit_wait_seconds(now)
        ]

    def _sample(self, candidates: list[_router.Candidate]) -> list[_router.Candidate]:
        """Return a few candidates in random order, including some of the own zone.

        Load pattern: dozens of endpoints over several zones. Most endpoints of a
        uniform sample are in other zones, so that calls would cross zones although
        endpoints in the own zone are equally good.
        """
        zone = self._locality.availability_zone
        own_zone = [
            candidate for candidate in candidates if candidate.availability_zone == zone
        ]
        sampled = self._rng.sample(own_zone, min(N_SAMPLED_OWN_ZONE, len(own_zone)))
        others = [candidate for candidate in candidates if candidate not in sampled]
        n_others = min(N_SAMPLED - len(sampled), len(others))
        sampled += self._rng.sample(others, n_others)
        self._rng.shuffle(sampled)
        return sampled

    def _list_own_zone_in_time(
        self,
        candidates: list[_router.Candidate],
        typical_seconds: float,
        attributes: _router.CallAttributes,
        now: float,
    ) -> list[_router.Candidate]:
        """Return the candidates of the own zone that can serve a large body in time.

        A candidate is returned if it is expected to finish well before the call misses
        its target, including the time lost in a slow episode. For small bodies the list
        is empty.
        """
        if attributes.n_body_bytes < LARGE_BODY_BYTES:
            return []
        own_zone: list[_router.Candidate] = []
        for candidate in candidates:
            if candidate.availability_zone != self._locality.availability_zone:
                continue
            seconds = (
                self._estimate_finish_seconds(candidate, typical_seconds, now)
                * FINISH_TIME_SAFETY_FACTOR
            )
            if seconds <= attributes.slack_seconds:
                own_zone.append(candidate)
        return own_zone

    def _get_report_age_ms(
        self, candidate: _router.Candidate, now: float
    ) -> float | None:
        reported_at = self._get_or_create_stats(candidate, now).reported_at
        return None if reported_at is None else (now - reported_at) * MS_PER_SECOND

    def end_attempt(
        self,
        call: _router.OutstandingCall,
        observation: _router.Observation,
        now: float,
    ) -> None:
        """Record the end of an attempt and update the statistics and averages."""
        super().end_attempt(call, observation, now)
        stats = self._stats_by_endpoint.get(call.key)
        if stats is None or observation.report is None:
            return
        self._mean_pace += REPORT_EWMA_WEIGHT * (
            observation.report.pace - self._mean_pace
        )
        other_load = max(0, observation.report.n_calls - stats.n_outstanding)
        self._mean_other_load += REPORT_EWMA_WEIGHT * (
            other_load - self._mean_other_load
        )

    def _apply_slow_start(
        self, allowed: list[_router.Candidate], now: float
    ) -> list[_router.Candidate]:
        """Return the candidates that are eligible for this choice.

        A new endpoint is eligible for a growing share of choices, so that it warms up
        on few calls. If all endpoints are new, all are eligible.
        """
        all_stats = [self._get_or_create_stats(candidate, now) for candidate in allowed]
        oldest_seen_at = min(stats.first_seen_at for stats in all_stats)
        eligible: list[_router.Candidate] = []
        for candidate, stats in zip(allowed, all_stats, strict=True):
            share = stats.get_slow_start_share(now, oldest_seen_at)
            if share >= 1.0 or self._rng.random() < share:
                eligible.append(candidate)
        return eligible or allowed

    def _estimate_finish_seconds(
        self, candidate: _router.Candidate, typical_seconds: float, now: float
    ) -> float:
        stats = self._get_or_create_stats(candidate, now)
        n_slots = _get_slot_limit(stats, candidate)
        mean_other_load = self._get_mean_other_load(candidate)
        load = stats.estimate_load(now, mean_other_load, typical_seconds)
        occupancy = (load + 1.0) / n_slots
        load_factor = max(1.0, occupancy) + OCCUPANCY_SLOWDOWN * min(1.0, occupancy)
        slowness = stats.get_slowness(now, self.slowness_spread)
        pace = stats.get_pace(now, self._mean_pace)
        service_seconds = typical_seconds * slowness * load_factor
        # If it is faster, the endpoint holds a call until the end of a slow episode.
        service_seconds += min(
            service_seconds * (pace - 1.0), MEAN_SLOW_EPISODE_SECONDS
        )
        wait_seconds = stats.get_limit_wait_seconds(now)
        return wait_seconds + stats.network_seconds + service_seconds

    def _get_mean_other_load(self, candidate: _router.Candidate) -> float:
        """Return the mean number of calls of other daemons at such an endpoint."""
        return self._mean_other_load


def _get_slot_limit(
    stats: _endpoint_stats.EndpointStats, candidate: _router.Candidate
) -> int:
    if stats.report is not None and stats.report.slot_limit:
        return stats.report.slot_limit
    return max(1, candidate.n_slots)
