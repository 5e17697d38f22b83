"""One route, and the bounds on callers that come with a table of routes."""

from typing import NamedTuple


class ServiceShare(NamedTuple):
    """Service that takes a part of a route's calls, in proportion to ``weight``."""

    service: str
    weight: float


class Route(NamedTuple):
    """Calls of one host below one path prefix, and what the operator asks for them.

    ``target_latency_ms`` is the latency objective, ``timeout_ms`` the longest time that
    a caller is kept waiting, ``max_attempts`` the number of upstreams that one call may
    be sent to. ``priority`` ranks calls that wait, 0 first.

    Example: ``Route("cards", "api.example", "/cards/", (ServiceShare("cards", 1.0),),
    True, 200, 500, 2, 1)``.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    target_latency_ms: int
    timeout_ms: int
    max_attempts: int
    priority: int


class CallerBounds(NamedTuple):
    """Bounds on what callers may send; times in milliseconds."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int
