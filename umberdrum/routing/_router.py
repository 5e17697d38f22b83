"""Interface of routers and the values that pass through it."""

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from umberdrum.routing import _endpoint_stats


class Candidate(NamedTuple):
    """Endpoint that may take a call.

    ``key`` names one incarnation of the endpoint. ``is_local`` marks the endpoint
    beside this daemon, ``is_suspected`` one that is used only when no other is left.
    """

    key: str
    availability_zone: str
    region: str
    n_slots: int
    is_local: bool
    is_suspected: bool


class CallAttributes(NamedTuple):
    """What of a call matters for its placement.

    ``n_body_bytes`` is the size of the request's body, as far as it is known,
    ``slack_seconds`` the time until its target is missed.
    """

    n_body_bytes: int = 0
    slack_seconds: float = math.inf


DEFAULT_ATTRIBUTES = CallAttributes()


class RoutingDecision(NamedTuple):
    """Endpoint that was chosen, with what a log line says of the choice.

    ``expected_ms`` is the expected finishing time, 0 for policies without one.
    ``report_age_ms`` is the age of the load report that it rests on, None without one.
    ``is_only_in_zone`` marks the choice of the one endpoint of the own zone for a call
    that had better stay there.
    """

    candidate: Candidate
    expected_ms: float
    n_considered: int
    policy: str
    report_age_ms: float | None = None
    is_only_in_zone: bool = False


class OutstandingCall(NamedTuple):
    """Handle of one attempt between ``begin`` and ``end``."""

    key: str
    class_name: str
    call_number: int


class AttemptResult(enum.Enum):
    """How an attempt ended, as far as it tells of its endpoint.

    ``ABANDONED`` is an attempt whose answer was no longer wanted: it tells only that
    the endpoint took longer than that. ``REFUSED`` tells nothing of the endpoint's
    speed.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


class Observation(NamedTuple):
    """What an attempt showed when it ended.

    ``upstream_seconds`` is the time at the upstream as its daemon measured it, 0 when
    it is not known. ``report`` is the load that came with the answer, if any did.
    """

    end: AttemptResult
    total_seconds: float
    upstream_seconds: float = 0.0
    report: _endpoint_stats.LoadReport | None = None


class Router(Protocol):
    """Policy that chooses an endpoint for each attempt and learns from its end."""

    def choose(
        self,
        class_name: str,
        candidates: Sequence[Candidate],
        excluded: frozenset[str],
        now: float,
        needs: CallAttributes = DEFAULT_ATTRIBUTES,
    ) -> RoutingDecision | None:
        """Return the choice among candidates outside ``excluded``, or None."""

    def start_attempt(self, key: str, class_name: str, now: float) -> OutstandingCall:
        """Note that an attempt is sent to the endpoint ``key``."""

    def end_attempt(self, call: OutstandingCall, seen: Observation, now: float) -> None:
        """Note that the attempt ended and learn from what was seen."""

    def prune_endpoints(self, live_keys: frozenset[str]) -> None:
        """Drop what is known of endpoints outside ``live_keys``."""

    def get_endpoint_stats(self, key: str) -> _endpoint_stats.EndpointStats | None:
        """Return what is known of the endpoint ``key``."""
