"""Header fields: which are forwarded, and which the daemons read or set."""

import re
from typing import NamedTuple

import expression

from umberdrum import errors
from umberdrum.callpath import _dialect

HeaderFields = list[tuple[bytes, bytes]]

MAX_DEADLINE_MS = 900_000
MAX_REQUEST_ID_CHARACTERS = 512
_REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,%d}" % MAX_REQUEST_ID_CHARACTERS)
_DEADLINE_PATTERN = re.compile(rb"-?[0-9]+(\.[0-9]+)?")
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

_REFUSAL_FIELDS = frozenset((errors.KIND_HEADER, errors.EXECUTION_HEADER))


class CallFields(NamedTuple):
    """Fields in the head of a caller's request that the daemons use.

    ``service`` is taken from the service field, else from the host. If the caller sent
    none, ``deadline_ms`` and ``n_extra_attempts`` are -1 and ``request_id`` is empty. A
    ``deadline_ms`` of 0 means that the deadline has passed.
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
    """Return the fields that the daemons use; ``headers`` has names in lower case.

    A field without a value counts as absent. A request with both a length and a
    transfer coding is refused, because two recipients could disagree on where it ends
    (request smuggling).
    """
    host = b""
    service = b""
    request_id = b""
    deadline_ms = -1
    n_extra_attempts = -1
    content_length: int | None = None
    is_chunked = False
    for name, value in headers:
        if not value:
            continue
        if name == b"host":
            host = value
        elif name == dialect.service:
            service = value
        elif name == dialect.request_id:
            if not _REQUEST_ID_PATTERN.fullmatch(value):
                expected = f"1 to {MAX_REQUEST_ID_CHARACTERS} visible characters"
                return _reject_field(name, expected, value)
            request_id = value
        elif name == dialect.deadline_ms:
            deadline_ms = _parse_deadline_ms(value)
            if deadline_ms < 0:
                return _reject_field(name, "a number of milliseconds", value)
        elif name == dialect.extra_attempts:
            n_extra_attempts = _parse_number(value, 1000)
            if n_extra_attempts < 0:
                return _reject_field(name, "a number of extra attempts", value)
        elif name == b"content-length":
            content_length = int(value)
        elif name == b"transfer-encoding":
            is_chunked = True
    if is_chunked and content_length is not None:
        detail = "expected either Content-Length or Transfer-Encoding, found both"
        return expression.Error(errors.fail(errors.ErrorKind.MALFORMED_REQUEST, detail))
    service_name = (service or _get_host_name(host)).decode("ascii", "replace").lower()
    return expression.Ok(
        CallFields(
            service_name,
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
    """Return the fields that are forwarded to the upstream.

    Hop-by-hop fields and the fields that daemons set themselves are left out. An
    HTTP/1.0 request may have no host, which HTTP/1.1 requires. Then ``service`` is sent
    as its host.
    """
    nominated = _list_connection_options(headers)
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
    """Return the fields of a response that are forwarded to the caller.

    An upstream may return the refusal of a call that it has made. The fields in which a
    daemon says whether a request has run would be read as said of the caller's own.
    """
    nominated = _list_connection_options(headers)
    kept: HeaderFields = []
    for name, value in headers:
        if name in _HOP_BY_HOP or name in _REFUSAL_FIELDS or name in nominated:
            continue
        kept.append((name, value))
    return kept


def build_daemon_headers(
    request_id: str,
    remaining_ms: int,
    n_extra_attempts: int,
    instance_id: str = "",
    dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
) -> HeaderFields:
    """Return the fields that daemons set on a request to the upstream.

    They carry the request id, the remaining time and the extra attempts left.
    """
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


def is_visible_text(value: bytes) -> bool:
    """Return whether a value can stand for an id: visible ASCII characters only."""
    return _REQUEST_ID_PATTERN.fullmatch(value) is not None


def replace_host(headers: HeaderFields, authority: bytes) -> HeaderFields:
    """Return the fields with the authority of an absolute-form target as the host.

    It takes precedence over the host that was sent (RFC 9112, section 3.2.2).
    """
    others = [(name, value) for name, value in headers if name != b"host"]
    return [(b"host", authority), *others]


def get_header(headers: HeaderFields, name: bytes) -> bytes | None:
    """Return the value of the first field ``name``, or None if there is none."""
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def _list_connection_options(headers: HeaderFields) -> frozenset[bytes]:
    """Return the names that ``Connection`` fields list as hop-by-hop.

    ``content-length`` and ``host`` are never treated as hop-by-hop.
    """
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


def _get_host_name(host: bytes) -> bytes:
    """Return the name in a ``Host`` field, without its port and a dot at its end.

    The port may be empty (RFC 3986, section 3.2.3). The dot makes a name absolute (RFC
    1034, section 3.1) and names the same host.
    """
    if host.endswith(b"]"):
        return host
    name, separator, port = host.rpartition(b":")
    if separator and (port.isdigit() or not port):
        host = name
    return host.removesuffix(b".")


def _parse_deadline_ms(value: bytes) -> int:
    """Return the whole milliseconds in ``value``, or -1 if it is not a number.

    A caller computes the value from the time that it has left, which may be negative. A
    deadline beyond ``MAX_DEADLINE_MS`` is reduced to it.
    """
    if not _DEADLINE_PATTERN.fullmatch(value):
        return -1
    return int(min(max(0.0, float(value)), MAX_DEADLINE_MS))


def _parse_number(value: bytes, maximum: int) -> int:
    """Return the number in ``value``, or -1 if malformed or above ``maximum``."""
    if not value.isdigit() or len(value) > 9:
        return -1
    number = int(value)
    return number if number <= maximum else -1


def _reject_field(
    name: bytes, expected: str, found: bytes
) -> expression.Result[CallFields, errors.Failure]:
    detail = f"{name.decode()}: expected {expected}, found {found[:40]!r}"
    return expression.Error(errors.fail(errors.ErrorKind.MALFORMED_REQUEST, detail))
