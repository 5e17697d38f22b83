"""Typed settings and the faults found while they are read."""

from typing import NamedTuple

from umberdrum.settings import _address

MS_PER_SECOND = 1000.0
# Time in which a daemon closes its connections and ends.
MAX_EXIT_SECONDS = 0.5
MAX_EXIT_SHARE = 0.25
# Two announcements of an upstream may be lost.
ANNOUNCEMENTS_PER_TIMEOUT = 10 / 3


class Settings(NamedTuple):
    """Validated content of a daemon's settings file.

    The daemon listens on the addresses whose names end in ``_listen``. Other daemons
    reach it at ``peer_advertise``, which is also the id of its endpoint.
    ``own_service`` is the service of the upstream beside the daemon; it is empty if
    only the announcements of the upstream state it. ``upstream_address`` is the address
    at which the upstream answers probes before it has announced itself, or None if it
    is not known. ``leave_accept_ms`` is the time for which a stopping daemon continues
    to accept new calls from callers, or less once ``n_ready_failures`` readiness checks
    in a row have failed, if that is not 0. It accepts them longer while its upstream,
    which may make calls of its own, still runs calls. ``shared_retries`` and
    ``shared_retry_share`` limit the extra attempts that all daemons together may send
    to one service, as a number of attempts and as a share of the calls; if
    ``shared_retries`` is 0, each daemon has its own retry budget.

    The calls to a cold upstream may reach ``cold_factor`` times the rate that it bears,
    plus ``n_cold_extra``, in any second. ``n_allotment_slack`` is the number of
    requests by which the allotment of a client account may be exceeded in a window, as
    operators count it.

    A contact is a daemon that watches the store for its availability zone. A zone has
    ``n_contacts_per_zone`` contacts, or more if the cluster would otherwise have fewer
    than ``min_contacts`` in total. Within ``store_recovery_seconds`` of an outage of
    the store they follow it again. A change has to be in force everywhere within
    ``store_spread_seconds``. ``measuring_bytes_per_second`` limits the traffic
    of load reports, polls and probes.
    """

    availability_zone: str
    region: str
    caller_listen: _address.Address
    peer_listen: _address.Address
    peer_advertise: _address.Address
    admin_listen: _address.Address
    announce_listen: _address.Address
    cluster_key: bytes
    seeds: tuple[_address.Address, ...]
    n_contacts_per_zone: int
    min_contacts: int
    store_addresses: tuple[_address.Address, ...]
    store_prefix: str
    store_recovery_seconds: float
    store_spread_seconds: float
    measuring_bytes_per_second: int
    max_connections: int
    max_head_bytes: int
    head_timeout_ms: int
    body_idle_timeout_ms: int
    idle_timeout_ms: int
    grace_ms: int
    termination_grace_seconds: float
    announcement_timeout_ms: int
    announcement_interval_seconds: float
    log_level: str
    routing_policy: str
    admission_policy: str
    own_service: str
    ready_listen: _address.Address | None
    upstream_address: _address.Address | None
    leave_accept_ms: int
    n_ready_failures: int
    shared_retries: float
    shared_retry_share: float
    n_allotment_slack: float
    cold_factor: float
    n_cold_extra: float

    @property
    def announcement_timeout_seconds(self) -> float:
        """Silence after which the upstream counts as absent.

        It follows from ``announcement_interval_seconds``, if that is not 0.
        """
        if not self.announcement_interval_seconds:
            return self.announcement_timeout_ms / MS_PER_SECOND
        return ANNOUNCEMENTS_PER_TIMEOUT * self.announcement_interval_seconds

    @property
    def grace_seconds(self) -> float:
        """Time for calls in progress at a stop.

        Whoever stops the daemon may kill it ``termination_grace_seconds`` after the
        signal, if that is not 0. The daemon ends a little earlier.
        """
        allowed_seconds = self.termination_grace_seconds
        if not allowed_seconds:
            return self.grace_ms / MS_PER_SECOND
        return allowed_seconds - min(MAX_EXIT_SECONDS, MAX_EXIT_SHARE * allowed_seconds)


class SettingsFault(NamedTuple):
    """One fault in a settings file: its place, the expected and the found value.

    ``found`` is a whole phrase such as ``found 'x'`` or an error text.
    """

    section: str
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key}: expected {self.expected}, {self.found}"
