"""Header fields by which daemons, callers and upstreams understand each other."""

from typing import NamedTuple

VIA_TOKEN = b"1.1 umberdrum"


class Dialect(NamedTuple):
    """Names of header fields in lower case, an empty name for one that is not used.

    ``request_id`` and ``deadline_ms`` travel from the caller to the upstream.
    ``extra_attempts`` carries the allowance down a chain of calls. ``service`` lets a
    caller name a service in place of the host. ``caller_service`` tells the upstream
    which service runs where the call began. ``expected_instance`` names the upstream
    that may run the request; another one answers 421. ``not_run`` on an answer states
    that the upstream did not run the request. ``load_report`` on an answer carries the
    upstream's own load, and ``instance_id`` on the answer to a probe names the run of
    the upstream. ``sends_via`` adds a ``Via`` field. With ``echoes_request_id``
    every answer repeats the id of its request, so that an answer that belongs to
    another request is recognised. ``retry_after_has_fractions`` allows a Retry-After
    with fractions of a second.
    """

    request_id: bytes
    deadline_ms: bytes
    extra_attempts: bytes
    service: bytes
    caller_service: bytes
    expected_instance: bytes
    not_run: bytes
    load_report: bytes
    instance_id: bytes
    sends_via: bool
    echoes_request_id: bool
    retry_after_has_fractions: bool

    @property
    def own_names(self) -> frozenset[bytes]:
        """Fields that only the daemons set on a request to an upstream."""
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
    expected_instance=b"",
    not_run=b"",
    load_report=b"",
    instance_id=b"",
    sends_via=True,
    echoes_request_id=False,
    retry_after_has_fractions=False,
)
