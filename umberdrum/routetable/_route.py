"""Route, and the limits on callers that are part of a route table."""

from typing import NamedTuple


class ServiceShare(NamedTuple):
    """Service that receives a share of a route's calls in proportion to ``weight``."""

    service: str
    weight: float


class Route(NamedTuple):
    """Destination and policy for calls to one host and path prefix.

    ``target_latency_ms`` is the latency objective, ``timeout_ms`` the longest time that
    a caller waits, and ``max_attempts`` the number of upstreams that one call may be
    sent to. ``priority`` orders queued calls, 0 first. ``is_public`` says that calls
    need no client account, where the table has accounts.

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
    is_public: bool = False


class CallerBounds(NamedTuple):
    """Limits on the size and timing of requests from callers."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int
