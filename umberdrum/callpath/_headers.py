"""Header fields: which pass from one hop to the next and which the daemons read."""

import re
from typing import NamedTuple

import expression

from umberdrum import errors

HeaderFields = list[tuple[bytes, bytes]]

REQUEST_ID = b"umberdrum-request-id"
DEADLINE_MS = b"umberdrum-deadline-ms"
ATTEMPTS = b"umberdrum-attempts"
SERVICE = b"umberdrum-service"
VIA_TOKEN = b"1.1 umberdrum"

MAX_DEADLINE_MS = 900_000
_REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_OWN = frozenset((REQUEST_ID, DEADLINE_MS, ATTEMPTS, SERVICE))


class CallFields(NamedTuple):
    """What the head of a caller's request says to the daemons.

    ``service`` comes from the service field, else from the host. ``deadline_ms`` and
    ``n_extra_attempts`` are -1 and ``request_id`` is empty where the caller gave none.
    """

    service: str
    request_id: str
    deadline_ms: int
    n_extra_attempts: int
    content_length: int | None
    is_chunked: bool


def read_call_fields(
    headers: HeaderFields,
) -> expression.Result[CallFields, errors.Failure]:
    """Return what ``headers`` (names in lower case) say to the daemons.

    A request with both a length and a transfer coding is refused, because two parties
    could disagree on where it ends.
    """
    host = b""
    service = b""
    request_id = b""
    deadline_ms = -1
    n_extra_attempts = -1
    content_length: int | None = None
    is_chunked = False
    for name, value in headers:
        if name == b"host":
            host = value
        elif name == SERVICE:
            service = value
        elif name == REQUEST_ID:
            if not _REQUEST_ID_PATTERN.fullmatch(value):
                return _report(REQUEST_ID, "1 to 128 visible characters", value)
            request_id = value
        elif name == DEADLINE_MS:
            deadline_ms = _parse_number(value, MAX_DEADLINE_MS)
            if deadline_ms < 1:
                return _report(DEADLINE_MS, f"1 to {MAX_DEADLINE_MS} ms", value)
        elif name == ATTEMPTS:
            n_extra_attempts = _parse_number(value, 1000)
            if n_extra_attempts < 0:
                return _report(ATTEMPTS, "a count of extra attempts", value)
        elif name == b"content-length":
            content_length = int(value)
        elif name == b"transfer-encoding":
            is_chunked = True
    if is_chunked and content_length is not None:
        detail = "expected a length or a transfer coding, found both"
        return expression.Error(errors.fail(errors.ErrorKind.MALFORMED_REQUEST, detail))
    name_of_service = (service or _strip_port(host)).decode("ascii", "replace").lower()
    return expression.Ok(
        CallFields(
            name_of_service,
            request_id.decode("ascii"),
            deadline_ms,
            n_extra_attempts,
            content_length,
            is_chunked,
        )
    )


def filter_request_headers(headers: HeaderFields, service: str) -> HeaderFields:
    """Return the fields that pass to the upstream, without hop-by-hop and own ones.

    A request of HTTP/1.0 may lack a host, which HTTP/1.1 needs: it gets ``service``.
    """
    nominated = _list_nominated(headers)
    kept: HeaderFields = []
    if not any(name == b"host" for name, _ in headers):
        kept.append((b"host", service.encode("ascii", "replace")))
    for name, value in headers:
        if name in _HOP_BY_HOP or name in _OWN or name in nominated:
            continue
        kept.append((name, value))
    return kept


def filter_response_headers(headers: HeaderFields) -> HeaderFields:
    """Return the fields of an answer that pass to the caller."""
    nominated = _list_nominated(headers)
    kept: HeaderFields = []
    for name, value in headers:
        if name in _HOP_BY_HOP or name in nominated:
            continue
        kept.append((name, value))
    return kept


def build_own_headers(
    request_id: str, remaining_ms: int, n_extra_attempts: int
) -> HeaderFields:
    """Return the fields that carry id, deadline and allowance to the upstream."""
    return [
        (REQUEST_ID, request_id.encode()),
        (DEADLINE_MS, b"%d" % max(1, remaining_ms)),
        (ATTEMPTS, b"%d" % n_extra_attempts),
        (b"via", VIA_TOKEN),
    ]


def _list_nominated(headers: HeaderFields) -> frozenset[bytes]:
    """Return the names that ``Connection`` fields declare to be hop-by-hop."""
    for name, value in headers:
        if name == b"connection" and value not in (b"keep-alive", b"close"):
            break
    else:
        return frozenset()
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    names.discard(b"content-length")
    names.discard(b"host")
    return frozenset(names)


def _strip_port(host: bytes) -> bytes:
    if host.endswith(b"]"):
        return host
    name, separator, port = host.rpartition(b":")
    if separator and port.isdigit():
        return name
    return host


def _parse_number(value: bytes, maximum: int) -> int:
    """Return the number that ``value`` spells, or -1."""
    if not value.isdigit() or len(value) > 9:
        return -1
    number = int(value)
    return number if number <= maximum else -1


def _report(
    name: bytes, expected: str, found: bytes
) -> expression.Result[CallFields, errors.Failure]:
    detail = f"{name.decode()}: expected {expected}, found {found[:40]!r}"
    return expression.Error(errors.fail(errors.ErrorKind.MALFORMED_REQUEST, detail))
