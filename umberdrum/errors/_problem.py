"""Error responses with problem details (RFC 9457) and Proxy-Status (RFC 9209)."""

import json
import math
from typing import NamedTuple

from umberdrum.errors import _failure, _kinds

KIND_HEADER = b"umberdrum-error"
EXECUTION_HEADER = b"umberdrum-execution"
MS_PER_SECOND = 1000
UNAUTHORIZED_STATUS = 401


class ProblemResponse(NamedTuple):
    """Status, header fields and body of an error response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def render_problem(
    failure: _failure.Failure,
    daemon_id: str,
    request_id: str,
    allows_fractional_seconds: bool = False,
) -> ProblemResponse:
    """Return the HTTP response that reports ``failure`` to the caller.

    The status depends on the kind and on whether the request may have run. The body is
    ``application/problem+json``. Retry-After is rounded up to whole seconds, as HTTP
    defines it, unless ``allows_fractional_seconds`` says that the caller also accepts
    fractions.
    """
    response = _kinds.get_error_response(failure.kind, failure.execution)
    body = json.dumps(
        {
            "type": f"urn:umberdrum:error:{failure.kind.token}",
            "title": response.title,
            "status": response.status,
            "detail": failure.detail,
            "kind": failure.kind.token,
            "execution": failure.execution.token,
            "request_id": request_id,
        }
    ).encode()
    proxy_status = f'"{daemon_id}"; error={response.proxy_error}'
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"content-length", str(len(body)).encode()),
        (KIND_HEADER, failure.kind.token.encode()),
        (EXECUTION_HEADER, failure.execution.token.encode()),
        (b"proxy-status", proxy_status.encode()),
    ]
    if response.status == UNAUTHORIZED_STATUS:
        headers.append((b"www-authenticate", b"Bearer"))
    if request_id:
        headers.append((b"umberdrum-request-id", request_id.encode()))
    if failure.retry_after_ms:
        seconds = failure.retry_after_ms / MS_PER_SECOND
        text = (
            f"{seconds:.3f}" if allows_fractional_seconds else str(math.ceil(seconds))
        )
        headers.append((b"retry-after", text.encode()))
    return ProblemResponse(response.status, headers, body)
