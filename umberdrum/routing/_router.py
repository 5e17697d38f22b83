"""Router interface and the types of its parameters and results."""

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from umberdrum.routing import _endpoint_stats


class Candidate(NamedTuple):
    """Endpoint that may be chosen for a call.

    ``key`` identifies one incarnation of the endpoint. ``is_local`` marks the endpoint
    that this daemon itself serves. An endpoint that ``is_suspected`` may have failed
    and is chosen only if there is no other.
    """

    key: str
    availability_zone: str
    region: str
    n_slots: int
    is_local: bool
    is_suspected: bool


class CallAttributes(NamedTuple):
    """Attributes of a call that affect its routing.

    ``n_body_bytes`` is the size of the request body, or of the part of it that is
    known. ``slack_seconds`` is the time left until the call misses its latency target.
    """

    n_body_bytes: int = 0
    slack_seconds: float = math.inf


DEFAULT_ATTRIBUTES = CallAttributes()


class RoutingDecision(NamedTuple):
    """Chosen endpoint, with details of the choice for the log.

    ``expected_ms`` is the expected time to finish, 0 for policies that don't estimate
    it. ``report_age_ms`` is the age of the load report behind the estimate, None
    without a report. ``is_only_in_zone`` is set for a call with a large body if exactly
    one endpoint of this zone is expected to finish it in time. ``are_all_limited`` is
    set if the rate limits of all endpoints allow no call now. ``leaves_zone_for`` says
    why the call leaves its zone, None if it stays or the policy doesn't tell.
    """

    candidate: Candidate
    expected_ms: float
    n_considered: int
    policy: str
    report_age_ms: float | None = None
    is_only_in_zone: bool = False
    are_all_limited: bool = False
    leaves_zone_for: str | None = None


class OutstandingCall(NamedTuple):
    """Handle of one attempt, from ``start_attempt`` to ``end_attempt``."""

    key: str
    class_name: str
    call_number: int


class AttemptResult(enum.Enum):
    """Result of an attempt, as far as it concerns the endpoint.

    ``ABANDONED`` means that the daemon stopped waiting for the response, so the
    elapsed time is only a lower bound. ``REFUSED`` says nothing about the speed of the
    endpoint.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class Observation(NamedTuple):
    """Result and times of an attempt that has ended.

    ``upstream_seconds`` is the service time of the upstream as measured by the endpoint
    daemon, 0 if unknown. ``report`` is the load report that came with the response or
    the refusal, None without one.
    """

    result: AttemptResult
    total_seconds: float
    upstream_seconds: float = 0.0
    report: _endpoint_stats.LoadReport | None = None


class Router(Protocol):
    """Chooses an endpoint for each attempt and collects statistics on endpoints."""

    def choose(
        self,
        class_name: str,
        candidates: Sequence[Candidate],
        excluded: frozenset[str],
        now: float,
        attributes: CallAttributes = DEFAULT_ATTRIBUTES,
    ) -> RoutingDecision | None:
        """Return the choice among the candidates, or None if all are excluded."""

    def start_attempt(self, key: str, class_name: str, now: float) -> OutstandingCall:
        """Record that an attempt is sent to the endpoint ``key``."""

    def end_attempt(
        self, call: OutstandingCall, observation: Observation, now: float
    ) -> None:
        """Record the end of an attempt and update the statistics of its endpoint."""

    def record_load(
        self, key: str, report: _endpoint_stats.LoadReport, now: float
    ) -> None:
        """Record the load that the endpoint ``key`` has told of itself by gossip."""

    def prune_endpoints(self, live_keys: frozenset[str]) -> None:
        """Remove the statistics of endpoints outside ``live_keys``."""

    def get_endpoint_stats(self, key: str) -> _endpoint_stats.EndpointStats | None:
        """Return the statistics of the endpoint ``key``, or None if there are none."""
