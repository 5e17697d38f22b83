"""Typed settings and the faults that a check of them reports."""

from typing import NamedTuple

from umberdrum.settings import _address


class Settings(NamedTuple):
    """Everything that a daemon learns from its settings file.

    Addresses that end in ``_listen`` are bound by the daemon. ``peer_advertise`` is the
    address under which other daemons reach it and serves as the id of its endpoint.
    ``own_service`` is the service of the upstream beside the daemon, empty where its
    announcements alone tell, and ``upstream_address`` where it answers probes before
    it has announced itself, if that is known. ``leave_accept_ms`` is how long a daemon
    that stops still takes new calls as an entry. ``shared_retries`` extra attempts and
    ``shared_retry_share`` of the calls are what all daemons together may add towards a
    service; with 0 each daemon has a budget of its own.
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
    measuring_bytes_per_second: int
    max_connections: int
    max_head_bytes: int
    head_timeout_ms: int
    body_idle_timeout_ms: int
    idle_timeout_ms: int
    grace_ms: int
    announcement_timeout_ms: int
    log_level: str
    routing_policy: str
    admission_policy: str
    own_service: str
    ready_listen: _address.Address | None
    upstream_address: _address.Address | None
    leave_accept_ms: int
    shared_retries: float
    shared_retry_share: float


class SettingsFault(NamedTuple):
    """One fault in a settings file: where it is, what was expected, what was found."""

    section: str
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key}: expected {self.expected}, {self.found}"
