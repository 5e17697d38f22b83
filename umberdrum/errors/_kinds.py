"""Error kinds and the HTTP response for each kind."""

import enum
from typing import NamedTuple


class Execution(enum.IntEnum):
    """What is known about whether an upstream ran a request.

    ``NOT_RUN`` is a guarantee: it is reported only when no upstream has received any
    byte of the request and none will, or when the upstream that received the request
    answered that it refused it without running it. The numbers are part of the peer
    protocol.
    """

    NOT_RUN = 1
    MAY_HAVE_RUN = 2
    RAN = 3

    @property
    def token(self) -> str:
        """Name of the value in headers, problem bodies and log lines."""
        return self.name.lower().replace("_", "-")


class ErrorKind(enum.IntEnum):
    """Closed list of the ways in which a call or an operator's command can fail.

    The numbers are part of the peer protocol and are never reused.
    """

    MALFORMED_REQUEST = 1
    HEAD_TOO_LARGE = 2
    CALLER_TOO_SLOW = 3
    UNKNOWN_SERVICE = 4
    UNKNOWN_CLASS = 5
    NO_ENDPOINT = 6
    OVERLOADED = 7
    DEADLINE_UNREACHABLE = 8
    DEADLINE_EXCEEDED = 9
    ENDPOINT_LEAVING = 10
    STALE_INCARNATION = 11
    UPSTREAM_UNREACHABLE = 12
    UPSTREAM_BROKE_OFF = 13
    UPSTREAM_INVALID_ANSWER = 14
    LINK_BROKE = 15
    OUTCOME_UNKNOWN = 16
    DUPLICATE_REQUEST = 17
    REQUEST_BARRED = 18
    RECORD_FULL = 19
    ATTEMPTS_EXHAUSTED = 20
    INTERNAL = 21
    PEER_NOT_AUTHENTIC = 22
    STORE_UNAVAILABLE = 23
    STORE_CONFLICT = 24
    STORE_OUTCOME_UNKNOWN = 25
    INVALID_CLASS = 26
    INVALID_SETTINGS = 27
    NOT_FOUND = 28
    INVALID_ANNOUNCEMENT = 29
    CALLER_GONE = 30
    DAEMON_UNAVAILABLE = 31
    UPSTREAM_SHED = 32
    INVALID_ROUTES = 33
    NO_ROUTES_YET = 34
    UNKNOWN_ROUTE = 35
    BODY_TOO_LARGE = 36
    UPSTREAM_SLOWED = 37
    RATE_LIMITED = 38
    REQUEST_CRASHES_UPSTREAMS = 39
    ZONES_DRAINED = 40
    UNKNOWN_ACCOUNT = 41
    ALLOTMENT_EXCEEDED = 42
    ALLOTMENT_UNKNOWN = 43
    ROUTES_OUTDATED = 44

    @property
    def token(self) -> str:
        """Name of the kind in headers, problem bodies and log lines."""
        return self.name.lower().replace("_", "-")


class ErrorResponse(NamedTuple):
    """HTTP response for one error kind.

    ``proxy_error`` is the error type of RFC 9209 for the Proxy-Status field.
    """

    status: int
    title: str
    proxy_error: str


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(
        400, "The request is not valid HTTP/1.1", "http_request_error"
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        431, "The request head is too large", "http_request_error"
    ),
    ErrorKind.CALLER_TOO_SLOW: ErrorResponse(
        408, "The caller sent the request too slowly", "http_request_error"
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, "No class names this service", "destination_not_found"
    ),
    ErrorKind.UNKNOWN_CLASS: ErrorResponse(
        404, "No class of the service matches the request", "destination_not_found"
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(
        503, "No endpoint serves this service now", "destination_unavailable"
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, "Every slot and queue place is taken", "connection_limit_reached"
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, "The deadline can't be met at the present load", "connection_limit_reached"
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, "The deadline passed before an answer arrived", "http_response_timeout"
    ),
    ErrorKind.ENDPOINT_LEAVING: ErrorResponse(
        503, "The endpoint is leaving", "destination_unavailable"
    ),
    ErrorKind.STALE_INCARNATION: ErrorResponse(
        503, "The endpoint was replaced by a newer one", "destination_unavailable"
    ),
    ErrorKind.UPSTREAM_UNREACHABLE: ErrorResponse(
        502, "The upstream accepted no connection", "connection_refused"
    ),
    ErrorKind.UPSTREAM_SHED: ErrorResponse(
        503, "The upstream sheds load", "destination_unavailable"
    ),
    ErrorKind.UPSTREAM_BROKE_OFF: ErrorResponse(
        502, "The upstream closed before its answer was whole", "connection_terminated"
    ),
    ErrorKind.UPSTREAM_INVALID_ANSWER: ErrorResponse(
        502, "The upstream's answer is not valid HTTP/1.1", "http_protocol_error"
    ),
    ErrorKind.LINK_BROKE: ErrorResponse(
        502, "The link between two daemons broke", "connection_terminated"
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        504, "Whether the request was run can't be found out", "connection_timeout"
    ),
    ErrorKind.DUPLICATE_REQUEST: ErrorResponse(
        409, "A request with this id was already begun", "http_request_denied"
    ),
    ErrorKind.REQUEST_BARRED: ErrorResponse(
        503, "The request was barred before it began", "http_request_denied"
    ),
    ErrorKind.RECORD_FULL: ErrorResponse(
        503, "The record of request ids has no place left", "connection_limit_reached"
    ),
    ErrorKind.ATTEMPTS_EXHAUSTED: ErrorResponse(
        503, "The attempts that the call may use are spent", "destination_unavailable"
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, "The daemon failed", "proxy_internal_error"),
    ErrorKind.PEER_NOT_AUTHENTIC: ErrorResponse(
        403, "The peer does not hold the cluster key", "http_request_denied"
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(
        503, "The platform's store does not answer", "destination_unavailable"
    ),
    ErrorKind.STORE_CONFLICT: ErrorResponse(
        409, "The key was changed by another writer", "http_request_denied"
    ),
    ErrorKind.STORE_OUTCOME_UNKNOWN: ErrorResponse(
        504, "Whether the change was stored is unknown", "connection_timeout"
    ),
    ErrorKind.INVALID_CLASS: ErrorResponse(
        400, "The class is not valid", "http_request_error"
    ),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(
        400, "The settings are not valid", "http_request_error"
    ),
    ErrorKind.UPSTREAM_SLOWED: ErrorResponse(
        503, "The upstream is slowed by its neighbours", "destination_unavailable"
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(
        503, "The upstream takes no more requests now", "connection_limit_reached"
    ),
    ErrorKind.REQUEST_CRASHES_UPSTREAMS: ErrorResponse(
        503, "Upstreams have ended while they ran this request", "http_request_denied"
    ),
    ErrorKind.ZONES_DRAINED: ErrorResponse(
        503, "All zones of the service are out of service", "destination_unavailable"
    ),
    ErrorKind.UNKNOWN_ACCOUNT: ErrorResponse(
        401, "The request names no known client account", "http_request_denied"
    ),
    ErrorKind.ALLOTMENT_EXCEEDED: ErrorResponse(
        429, "The allotment of the client account is used up", "http_request_denied"
    ),
    ErrorKind.ALLOTMENT_UNKNOWN: ErrorResponse(
        503, "The allotment of the client account is not known", "http_request_denied"
    ),
    ErrorKind.INVALID_ROUTES: ErrorResponse(
        400, "The route table is not valid", "http_request_error"
    ),
    ErrorKind.NO_ROUTES_YET: ErrorResponse(
        503, "No routes or classes are known yet", "destination_unavailable"
    ),
    ErrorKind.ROUTES_OUTDATED: ErrorResponse(
        503, "Newer routes are known and not received yet", "destination_unavailable"
    ),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(
        404, "No route matches the request", "destination_not_found"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, "The request body is too large", "http_request_error"
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(404, "Not found", "destination_not_found"),
    ErrorKind.INVALID_ANNOUNCEMENT: ErrorResponse(
        400, "The announcement is not valid", "http_request_error"
    ),
    ErrorKind.DAEMON_UNAVAILABLE: ErrorResponse(
        503, "The daemon does not answer", "destination_unavailable"
    ),
    ErrorKind.CALLER_GONE: ErrorResponse(
        408, "The caller went away before its answer", "connection_terminated"
    ),
}


_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OUTCOME_UNKNOWN_STATUSES = frozenset((502, 504))
SERVICE_UNAVAILABLE_STATUS = 503
BAD_GATEWAY_STATUS = 502


def get_error_response(kind: ErrorKind, execution: Execution) -> ErrorResponse:
    """Return the response for a failure of ``kind``.

    Callers read 408, 421, 429 and 503 as a guarantee that the request was not run.
    Such a status is therefore never sent for a request that may have run; 502 replaces
    it. A request that is proven not run gets 503 instead of 502 or 504, because its
    caller may safely repeat it.
    """
    response = ERROR_RESPONSES[kind]
    if execution is Execution.NOT_RUN:
        if response.status in _OUTCOME_UNKNOWN_STATUSES:
            return response._replace(status=SERVICE_UNAVAILABLE_STATUS)
        return response
    if response.status in _NOT_RUN_STATUSES:
        return response._replace(status=BAD_GATEWAY_STATUS)
    return response


def is_not_run_status(status: int) -> bool:
    """Return whether callers read a status as a guarantee that nothing was run."""
    return status in _NOT_RUN_STATUSES


def is_proven_not_run(execution: Execution) -> bool:
    """Return whether a request can be sent again without being run twice."""
    return execution is Execution.NOT_RUN
