"""Plain routing policies, kept as baselines for measurements."""

import random
from collections.abc import Sequence

from umberdrum.routing import _router, _tracking


class RoundRobinRouter(_tracking.TrackingRouter):
    """Takes the endpoints of a list in turn."""

    def __init__(self, place: _tracking.Place) -> None:
        super().__init__(place)
        self._n_choices = 0

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
    ) -> _router.RoutingDecision | None:
        """Return the next candidate."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        chosen = allowed[self._n_choices % len(allowed)]
        self._n_choices += 1
        return _router.RoutingDecision(chosen, 0.0, len(allowed), "round_robin")


class RandomRouter(_tracking.TrackingRouter):
    """Takes any endpoint with equal chance."""

    def __init__(self, place: _tracking.Place, rng: random.Random) -> None:
        super().__init__(place)
        self._rng = rng

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
    ) -> _router.RoutingDecision | None:
        """Return a random candidate."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        chosen = self._rng.choice(allowed)
        return _router.RoutingDecision(chosen, 0.0, len(allowed), "random")


class LeastOutstandingRouter(_tracking.TrackingRouter):
    """Takes the endpoint with the fewest own outstanding calls of all."""

    def __init__(self, place: _tracking.Place, rng: random.Random) -> None:
        super().__init__(place)
        self._rng = rng

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
    ) -> _router.RoutingDecision | None:
        """Return a candidate with the fewest outstanding calls; ties by chance."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        chosen = self._pick_least_outstanding(allowed, now)
        return _router.RoutingDecision(chosen, 0.0, len(allowed), "least_outstanding")

    def _pick_least_outstanding(
        self, allowed: list[_router.Candidate], now: float
    ) -> _router.Candidate:
        fewest: list[_router.Candidate] = []
        n_fewest = 0
        for candidate in allowed:
            n_outstanding = self._get_candidate_view(candidate, now).n_outstanding
            if fewest and n_outstanding > n_fewest:
                continue
            if n_outstanding < n_fewest:
                fewest.clear()
            n_fewest = n_outstanding
            fewest.append(candidate)
        return self._rng.choice(fewest)


class TwoChoicesRouter(LeastOutstandingRouter):
    """Draws two endpoints by chance and takes the one with fewer outstanding calls."""

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
    ) -> _router.RoutingDecision | None:
        """Return the better of two random candidates."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        drawn = self._rng.sample(allowed, min(2, len(allowed)))
        chosen = self._pick_least_outstanding(drawn, now)
        return _router.RoutingDecision(chosen, 0.0, len(drawn), "two_choices")
