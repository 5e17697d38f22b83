"""JSON documents that the admin address serves and the command line reads."""

from typing import NamedTuple, TypedDict


class ClassReport(TypedDict):
    """Results of one class at one entry daemon in the last minute.

    ``achieved_ms`` is the latency at the target's percentile. It is None when so many
    calls failed that the percentile falls on a failed call.
    """

    name: str
    service: str
    revision: int
    target_ms: int
    percentile: float
    n_calls: int
    n_failed: int
    share_within: float
    achieved_ms: float | None
    holds: bool
    reason: str


class EndpointReport(TypedDict):
    """State of one endpoint as known to the reporting daemon.

    ``n_running`` and ``n_queued`` are exact for the daemon's own endpoint. For others
    they come from the last load report, and are None without one.
    """

    endpoint: str
    service: str
    zone: str
    region: str
    state: str
    slots: int
    incarnation: int
    is_suspected: bool
    is_contact: bool
    n_running: int | None
    n_queued: int | None


class AccountReport(TypedDict):
    """Client account in force, with its requests at the reporting daemon.

    ``n_asked`` is the sum of the counts that follow. The allotment has no limit if
    ``rate_per_second`` is 0. Keys are counted, and never shown.
    """

    account: str
    priority: int
    rate_per_second: float
    burst: float
    n_keys: int
    n_asked: int
    n_served: int
    n_over_limit: int
    n_refused: int
    n_failed: int


class StatusReport(TypedDict):
    """State of one daemon and its knowledge of all endpoints."""

    daemon: str
    zone: str
    region: str
    ready: bool
    catalog_revision: int
    drained_zones: list[str]
    classes: list[ClassReport]
    endpoints: list[EndpointReport]
    measuring_bytes_per_second: int
    measuring_bytes_last_second: int
    n_store_calls: int
    n_control_bytes: int


class CandidateLoad(TypedDict):
    """Estimated load of one endpoint, as known to the reporting daemon.

    ``n_outstanding`` counts the daemon's own calls to the endpoint. ``n_reported`` is
    the number of calls, running and queued, in the endpoint's last load report, and
    None without one.
    """

    n_outstanding: int
    n_reported: int | None
    slowness: float
    network_ms: float


class CandidateReport(CandidateLoad):
    """Endpoint that a call may be routed to, with its load and health."""

    endpoint: str
    zone: str
    is_suspected: bool


class ExplainReport(TypedDict):
    """Routing decision for a call, with its candidates.

    ``reason`` says why the endpoint was chosen, or why there is none.
    """

    service: str
    method: str
    path: str
    cls: str
    is_idempotent: bool
    deadline_ms: int
    hedge_after_ms: int
    chosen: str
    expected_ms: float
    policy: str
    candidates: list[CandidateReport]
    reason: str


class WhereQuestion(NamedTuple):
    """Request for which the question is where it would go."""

    host: str
    method: str
    path: str
    account: str = ""
    n_body_bytes: int = 0


class ZoneRoom(TypedDict):
    """Endpoints of a service in one zone, their slots and the calls last reported."""

    zone: str
    is_own: bool
    n_endpoints: int
    n_slots: int
    n_reported: int


class WhereCandidate(TypedDict):
    """Endpoint that the request could go to, with its last reported load and its age.

    ``limit_wait_ms`` is the time until a rate limit allows the daemon's next call.
    """

    endpoint: str
    zone: str
    n_slots: int
    n_reported: int | None
    age_ms: float | None
    slowness: float
    limit_wait_ms: float
    is_suspected: bool


class WhereReport(TypedDict):
    """Where a request would go from the reporting daemon now, and why.

    ``outcome`` says by which policy it would be sent, or why it would be refused.
    ``leaves_zone_for`` is empty if it would stay in the zone. ``admission`` is what the
    endpoint would find, as far as this daemon knows.
    """

    version: int
    route: str
    service: str
    account: str
    allotment: str
    outcome: str
    endpoint: str
    zone: str
    leaves_zone_for: str
    expected_ms: float
    admission: str
    zones: list[ZoneRoom]
    candidates: list[WhereCandidate]
