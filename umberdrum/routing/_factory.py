"""Construction of a router by the name that the settings give."""

import random

from umberdrum.routing import _baselines, _finish_time, _router, _tracking


def build_router(
    policy: str, availability_zone: str, region: str, rng: random.Random
) -> _router.Router:
    """Return the router that ``policy`` names; raises ``KeyError`` for no such name."""
    place = _tracking.Place(availability_zone, region)
    if policy == "round_robin":
        return _baselines.RoundRobinRouter(place)
    if policy == "random":
        return _baselines.RandomRouter(place, rng)
    if policy == "least_outstanding":
        return _baselines.LeastOutstandingRouter(place, rng)
    if policy == "two_choices":
        return _baselines.TwoChoicesRouter(place, rng)
    if policy == "finish_time":
        return _finish_time.FinishTimeRouter(place, rng)
    raise KeyError(policy)
