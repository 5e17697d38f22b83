"""Names of the header fields that daemons exchange with callers and upstreams."""

from typing import NamedTuple

VIA_TOKEN = b"1.1 umberdrum"


class Dialect(NamedTuple):
    """Set of header fields used with callers and upstreams, and rules for them.

    Names are in lower case. An empty name means that the field is not used.

    ``request_id`` and ``deadline_ms`` are passed from the caller to the upstream.
    ``extra_attempts`` passes the number of extra attempts left down a chain of calls.
    ``service`` lets a caller name the service instead of using the host.
    ``caller_service`` tells the upstream which service runs beside the entry daemon.
    ``account`` tells the upstream the client account of the request.
    ``expected_instance`` names the upstream that may run the request; any other one
    responds with 421. ``not_run`` on a response states that the upstream did not run
    the request. ``signature`` on a response proves that the application answered, and
    not the software in front of it. ``load_report`` on a response carries the
    upstream's own load. ``rate_limit`` on a response names the requests a second that
    the upstream takes from all callers, and ``leaving`` with the value 1 says that it
    takes no more.
    ``instance_id`` on the response to a probe identifies the run of the upstream, and
    ``cold_ms`` tells how many milliseconds longer it stays cold.

    With ``sends_via`` a ``Via`` field is added. With ``echoes_request_id`` every
    response carries the id of its request, so that a response to another request is
    detected. ``retry_after_has_fractions`` allows a Retry-After with fractions of a
    second.
    """

    request_id: bytes
    deadline_ms: bytes
    extra_attempts: bytes
    service: bytes
    caller_service: bytes
    account: bytes
    expected_instance: bytes
    not_run: bytes
    signature: bytes
    load_report: bytes
    rate_limit: bytes
    leaving: bytes
    instance_id: bytes
    cold_ms: bytes
    sends_via: bool
    echoes_request_id: bool
    retry_after_has_fractions: bool

    @property
    def own_names(self) -> frozenset[bytes]:
        """Names of fields that only daemons may set on a request to an upstream."""
        names = (
            self.request_id,
            self.deadline_ms,
            self.extra_attempts,
            self.service,
            self.caller_service,
            self.expected_instance,
        )
        return frozenset(name for name in names if name)


OWN_DIALECT = Dialect(
    request_id=b"umberdrum-request-id",
    deadline_ms=b"umberdrum-deadline-ms",
    extra_attempts=b"umberdrum-attempts",
    service=b"umberdrum-service",
    caller_service=b"",
    account=b"umberdrum-account",
    expected_instance=b"",
    not_run=b"",
    signature=b"",
    load_report=b"",
    rate_limit=b"umberdrum-rate-limit",
    leaving=b"umberdrum-leaving",
    instance_id=b"",
    cold_ms=b"",
    sends_via=True,
    echoes_request_id=False,
    retry_after_has_fractions=False,
)
