"""Types that describe a call, its body and its response within the daemons."""

from typing import NamedTuple, Protocol

from umberdrum import errors, routing
from umberdrum.callpath import _headers


class UpstreamNotice(NamedTuple):
    """What a run of an upstream has said of itself.

    ``run`` identifies the run. ``rate_limit`` is the number of requests a second that
    it takes from all callers, None without a limit.
    """

    run: str
    rate_limit: float | None
    is_leaving: bool


class Call(NamedTuple):
    """One call with all that an endpoint daemon needs to run it.

    ``deadline`` is in seconds of this daemon's monotonic clock. Between daemons the
    remaining time is sent instead. ``content_length`` is None for a body of unknown
    length. ``service`` is the service that must run the call. ``priority`` orders
    queued calls, with 0 first. ``target_at`` is the time at which the latency target is
    missed, on the same clock as ``deadline``. ``is_last_resort`` means that no other
    endpoint is left to try, ``is_hedge`` that another attempt is running. ``notice`` is
    what the entry daemon was last told of the endpoint's upstream. ``fingerprint``
    identifies the content of the request, empty if it is not known here. ``account`` is
    the name of the client account, empty if there is none, and ``account_weight`` its
    share of scarce room beside others, 0 if it has none of its own.
    """

    request_id: str
    class_name: str
    method: bytes
    target: bytes
    headers: _headers.HeaderFields
    deadline: float
    n_extra_attempts: int
    is_idempotent: bool
    target_latency_ms: int
    max_queue_ms: int
    content_length: int | None
    service: str = ""
    priority: int = 0
    target_at: float = 0.0
    is_last_resort: bool = True
    is_hedge: bool = False
    notice: UpstreamNotice | None = None
    fingerprint: bytes = b""
    account: str = ""
    account_weight: float = 0.0


class HttpResponseHead(NamedTuple):
    """Head of an upstream's HTTP response."""

    status: int
    reason: bytes
    headers: _headers.HeaderFields


class CallReport(NamedTuple):
    """Measurements of an endpoint daemon for a call that got a response.

    ``upstream_seconds`` is the time until the head of the upstream's response,
    ``queue_seconds`` the time in the admission queue. ``start_pace`` is the pace of the
    upstream when the call started: the duration of its work as a multiple of the usual
    duration. ``notice`` is what the upstream says of itself, None if nothing.
    """

    status: int
    upstream_seconds: float
    queue_seconds: float
    load: routing.LoadReport | None
    start_pace: float = 1.0
    notice: UpstreamNotice | None = None


class SinkLostError(Exception):
    """Raised when the caller or peer link that a response is written to is gone."""


class BodyLostError(Exception):
    """Raised when a request can't be received completely; carries the failure."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class ResponseSink(Protocol):
    """Destination of the response to a call, written in order and exactly once.

    Every method raises ``SinkLostError`` once the receiver of the response is gone.
    """

    async def start(self, head: HttpResponseHead, report: CallReport) -> None:
        """Write the head, which may be buffered until the next ``flush``."""

    async def write(self, data: bytes) -> None:
        """Write body bytes, which may be buffered until the next ``flush``."""

    async def flush(self) -> None:
        """Send buffered bytes, because the next ones may take long to arrive."""

    async def finish(self) -> None:
        """Send the remaining bytes and end the response."""


class RequestBody(Protocol):
    """Body of a request, whose first part is already in memory."""

    @property
    def initial(self) -> bytes:
        """Bytes that were read before the call was routed."""

    @property
    def is_complete(self) -> bool:
        """Whether ``initial`` is the whole body."""

    @property
    def can_be_sent_again(self) -> bool:
        """Whether nothing after ``initial`` was received yet."""

    async def receive(self) -> bytes:
        """Return the next bytes after ``initial``, empty at the end.

        Raises ``BodyLostError`` if the rest can't be received.
        """


class WholeBody(NamedTuple):
    """Request body that is completely in memory."""

    initial: bytes
    is_complete: bool = True
    can_be_sent_again: bool = True

    async def receive(self) -> bytes:
        """Return no bytes, as ``initial`` is the whole body."""
        return b""
