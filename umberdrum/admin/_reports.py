"""JSON documents that the admin address serves and the command line reads."""

from typing import TypedDict


class ClassReport(TypedDict):
    """How one class does at one entry daemon in the last minute.

    ``achieved_ms`` is None when so many calls failed that no latency is met by the
    target's share of calls.
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
    """One endpoint as the daemon asked knows it.

    ``n_running`` and ``n_queued`` are exact for the daemon's own endpoint and the last
    report for others; they are None where nothing has been reported.
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


class StatusReport(TypedDict):
    """State of one daemon and what it knows of the others."""

    daemon: str
    zone: str
    region: str
    ready: bool
    catalog_revision: int
    classes: list[ClassReport]
    endpoints: list[EndpointReport]
    measuring_bytes_per_second: int
    measuring_bytes_last_second: int
    n_store_calls: int
    n_control_bytes: int


class CandidateLoad(TypedDict):
    """What a daemon believes of the load of one endpoint."""

    n_outstanding: int
    n_reported: int | None
    slowness: float
    network_ms: float


class CandidateReport(CandidateLoad):
    """One endpoint that a call might go to, and what speaks for and against it."""

    endpoint: str
    zone: str
    is_suspected: bool


class ExplainReport(TypedDict):
    """How a call would be routed now."""

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
