"""Values that describe one call on its way through the daemons."""

from typing import NamedTuple, Protocol

from umberdrum import errors, routing
from umberdrum.callpath import _headers


class Call(NamedTuple):
    """One call as an endpoint daemon needs to know it.

    ``deadline`` is in seconds of this daemon's monotonic clock; between daemons only
    the remaining time travels. ``content_length`` is None for a body of unknown length.
    ``service`` is the one that must run the call, and ``priority`` ranks it among calls
    that wait, 0 first. ``target_at`` is the moment at which the latency objective is
    missed, on the same clock as ``deadline``. ``is_last_resort`` says that no other
    endpoint is left to try, ``is_hedge`` that another attempt is running.
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


class HttpResponseHead(NamedTuple):
    """Head of an upstream's answer, with what its daemon measured."""

    status: int
    reason: bytes
    headers: _headers.HeaderFields


class CallReport(NamedTuple):
    """What an endpoint tells of a call that it answered; times in seconds.

    ``start_pace`` is how long work took at the upstream when the call began, as a
    multiple of the usual time.
    """

    status: int
    upstream_seconds: float
    queue_seconds: float
    load: routing.LoadReport | None
    start_pace: float = 1.0


class SinkLostError(Exception):
    """The caller or the link that an answer was meant for is gone."""


class BodyLostError(Exception):
    """The rest of a request body can't be had; carries the ``errors.Failure``."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class ResponseSink(Protocol):
    """Where the answer to a call goes, written in order and exactly once.

    Every method raises ``SinkLostError`` once nobody takes the answer any more.
    """

    async def start(self, head: HttpResponseHead, report: CallReport) -> None:
        """Take the head; nothing need be sent before the next ``flush``."""

    async def write(self, data: bytes) -> None:
        """Take body bytes."""

    async def flush(self) -> None:
        """Send what was taken, because more may be long in coming."""

    async def finish(self) -> None:
        """Send all the rest; the answer is whole."""


class RequestBody(Protocol):
    """Body of a request, of which the first part is already at hand."""

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
        """Return the next bytes after ``initial``, or none at the end.

        Raises ``BodyLostError`` when the rest can't be had.
        """


class WholeBody(NamedTuple):
    """Request body that is entirely at hand."""

    initial: bytes
    is_complete: bool = True
    can_be_sent_again: bool = True

    async def receive(self) -> bytes:
        """Return no bytes: there are none after ``initial``."""
        return b""
