"""Selection of an endpoint for each attempt of a call."""

from umberdrum.routing._baselines import (
    LeastOutstandingRouter,
    RandomRouter,
    RoundRobinRouter,
    TwoChoicesRouter,
)
from umberdrum.routing._endpoint_stats import EndpointStats, LoadReport
from umberdrum.routing._factory import build_router
from umberdrum.routing._finish_time import FinishTimeRouter
from umberdrum.routing._router import (
    DEFAULT_ATTRIBUTES,
    AttemptResult,
    CallAttributes,
    Candidate,
    Observation,
    OutstandingCall,
    Router,
    RoutingDecision,
)
from umberdrum.routing._zone_spill import SpillShare, ZoneLoad, ZoneSpillRouter

__all__ = [
    "DEFAULT_ATTRIBUTES",
    "AttemptResult",
    "CallAttributes",
    "Candidate",
    "EndpointStats",
    "FinishTimeRouter",
    "LeastOutstandingRouter",
    "LoadReport",
    "Observation",
    "OutstandingCall",
    "RandomRouter",
    "RoundRobinRouter",
    "Router",
    "RoutingDecision",
    "SpillShare",
    "TwoChoicesRouter",
    "ZoneLoad",
    "ZoneSpillRouter",
    "build_router",
]
