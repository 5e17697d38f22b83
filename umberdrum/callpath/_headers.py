"""Header fields: which pass from one hop to the next and which the daemons read."""

import re
from typing import NamedTuple

import expression

from umberdrum import errors
from umberdrum.callpath import _dialect

HeaderFields = list[tuple[bytes, bytes]]

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
    headers: HeaderFields, dialect: _dialect.Dialect = _dialect.OWN_DIALECT
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
        elif name == dialect.service:
            service = value
        elif name == dialect.request_id:
            if not _REQUEST_ID_PATTERN.fullmatch(value):
                return _report(name, "1 to 128 visible characters", value)
            request_id = value
        elif name == dialect.deadline_ms:
            deadline_ms = _parse_number(value, MAX_DEADLINE_MS)
            if deadline_ms < 1:
                return _report(name, f"1 to {MAX_DEADLINE_MS} ms", value)
        elif name == dialect.extra_attempts:
            n_extra_attempts = _parse_number(value, 1000)
            if n_extra_attempts < 0:
                return _report(name, "a count of extra attempts", value)
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


def filter_request_headers(
    headers: HeaderFields,
    service: str,
    dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
) -> HeaderFields:
    """Return the fields that pass to the upstream, without hop-by-hop and own ones.

    A request of HTTP/1.0 may lack a host, which HTTP/1.1 needs: it gets ``service``.
    """
    nominated = _list_nominated(headers)
    own = dialect.own_names
    kept: HeaderFields = []
    if not any(name == b"host" for name, _ in headers):
        kept.append((b"host", service.encode("ascii", "replace")))
    for name, value in headers:
        if name in _HOP_BY_HOP or name in own or name in nominated:
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
    request_id: str,
    remaining_ms: int,
    n_extra_attempts: int,
    instance_id: str = "",
    dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
) -> HeaderFields:
    """Return the fields that carry id, deadline and allowance to the upstream."""
    fields = [
        (dialect.request_id, request_id.encode()),
        (dialect.deadline_ms, b"%d" % max(1, remaining_ms)),
    ]
    if dialect.extra_attempts:
        fields.append((dialect.extra_attempts, b"%d" % n_extra_attempts))
    if dialect.expected_instance and instance_id:
        fields.append((dialect.expected_instance, instance_id.encode()))
    if dialect.sends_via:
        fields.append((b"via", _dialect.VIA_TOKEN))
    return fields


def get_header(headers: HeaderFields, name: bytes) -> bytes | None:
    """Return the value of the first field ``name``, or None if there is none."""
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


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
