"""Simple routing policies, used as baselines in measurements."""

import random
from collections.abc import Sequence

from umberdrum.routing import _router, _tracking


class BaselineRouter(_tracking.TrackingRouter):
    """Base class of the baseline policies. Subclasses override ``_pick``."""

    policy = ""

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
        attributes: _router.CallAttributes = _router.DEFAULT_ATTRIBUTES,
    ) -> _router.RoutingDecision | None:
        """Return the selected candidate, or None if all candidates are excluded."""
        allowed = _tracking.filter_candidates(candidates, excluded)
        if not allowed:
            return None
        chosen = self._pick(allowed, now)
        return _router.RoutingDecision(chosen, 0.0, len(allowed), self.policy)

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        raise NotImplementedError


class RoundRobinRouter(BaselineRouter):
    """Selects the candidates one after the other."""

    policy = "round_robin"

    def __init__(self, locality: _tracking.Locality) -> None:
        super().__init__(locality)
        self._n_choices = 0

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        chosen = allowed[self._n_choices % len(allowed)]
        self._n_choices += 1
        return chosen


class RandomRouter(BaselineRouter):
    """Selects a candidate uniformly at random."""

    policy = "random"

    def __init__(self, locality: _tracking.Locality, rng: random.Random) -> None:
        super().__init__(locality)
        self._rng = rng

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        return self._rng.choice(allowed)


class LeastOutstandingRouter(RandomRouter):
    """Selects the candidate with the fewest outstanding calls from this daemon.

    Ties are broken at random.
    """

    policy = "least_outstanding"

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        fewest: list[_router.Candidate] = []
        n_fewest = 0
        for candidate in allowed:
            n_outstanding = self._get_or_create_stats(candidate, now).n_outstanding
            if fewest and n_outstanding > n_fewest:
                continue
            if n_outstanding < n_fewest:
                fewest.clear()
            n_fewest = n_outstanding
            fewest.append(candidate)
        return self._rng.choice(fewest)


class TwoChoicesRouter(LeastOutstandingRouter):
    """Samples two candidates and selects the one with fewer outstanding calls.

    Known as "power of two choices".
    """

    policy = "two_choices"

    def _pick(self, allowed: list[_router.Candidate], now: float) -> _router.Candidate:
        drawn = self._rng.sample(allowed, min(2, len(allowed)))
        return super()._pick(drawn, now)
