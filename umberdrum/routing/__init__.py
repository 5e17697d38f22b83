"""Choice of an endpoint for each attempt of a call."""

from umberdrum.routing._baselines import (
    LeastOutstandingRouter,
    RandomRouter,
    RoundRobinRouter,
    TwoChoicesRouter,
)
from umberdrum.routing._factory import build_router
from umberdrum.routing._finish_time import FinishTimeRouter
from umberdrum.routing._router import (
    NO_NEEDS,
    AttemptEnd,
    CallNeeds,
    Candidate,
    Observation,
    OutstandingCall,
    Router,
    RoutingDecision,
)
from umberdrum.routing._view import EndpointView, LoadReport

__all__ = [
    "NO_NEEDS",
    "AttemptEnd",
    "CallNeeds",
    "Candidate",
    "EndpointView",
    "FinishTimeRouter",
    "LeastOutstandingRouter",
    "LoadReport",
    "Observation",
    "OutstandingCall",
    "RandomRouter",
    "RoundRobinRouter",
    "Router",
    "RoutingDecision",
    "TwoChoicesRouter",
    "build_router",
]
