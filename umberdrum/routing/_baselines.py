"""Plain routing policies, kept as baselines for measurements."""

import random
from collections.abc import Sequence

from umberdrum.routing import _router, _tracking


class BaselineRouter(_tracking.TrackingRouter):
    """Base of the baselines, which differ only in how they pick an endpoint."""

    policy = ""

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
        needs: _router.CallAttributes = _router.DEFAULT_ATTRIBUTES,
    ) -> _router.RoutingDecision | None:
        """Return the candidate that the policy picks, or None when none is allowed."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        chosen = self._pick(allowed, now)
        return _router.RoutingDecision(chosen, 0.0, len(allowed), self.policy)

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        raise NotImplementedError


class RoundRobinRouter(BaselineRouter):
    """Takes the endpoints of a list in turn."""

    policy = "round_robin"

    def __init__(self, place: _tracking.Place) -> None:
        super().__init__(place)
        self._n_choices = 0

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        chosen = allowed[self._n_choices % len(allowed)]
        self._n_choices += 1
        return chosen


class RandomRouter(BaselineRouter):
    """Takes any endpoint with equal chance."""

    policy = "random"

    def __init__(self, place: _tracking.Place, rng: random.Random) -> None:
        super().__init__(place)
        self._rng = rng

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        return self._rng.choice(allowed)


class LeastOutstandingRouter(RandomRouter):
    """Takes an endpoint with the fewest own outstanding calls; ties by chance."""

    policy = "least_outstanding"

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
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

    policy = "two_choices"

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        drawn = self._rng.sample(allowed, min(2, len(allowed)))
        return super()._pick(drawn, now)
