"""Creates the router that the settings name."""

import random

from umberdrum.routing import (
    _baselines,
    _finish_time,
    _router,
    _tracking,
    _zone_spill,
)


def build_router(
    policy: str, availability_zone: str, region: str, rng: random.Random
) -> _router.Router:
    """Return a router for ``policy``; raises ``KeyError`` if it is unknown."""
    locality = _tracking.Locality(availability_zone, region)
    if policy == "round_robin":
        return _baselines.RoundRobinRouter(locality)
    if policy == "random":
        return _baselines.RandomRouter(locality, rng)
    if policy == "least_outstanding":
        return _baselines.LeastOutstandingRouter(locality, rng)
    if policy == "two_choices":
        return _baselines.TwoChoicesRouter(locality, rng)
    if policy == "finish_time":
        return _finish_time.FinishTimeRouter(locality, rng)
    if policy == "zone_spill":
        return _zone_spill.ZoneSpillRouter(locality, rng)
    raise KeyError(policy)
