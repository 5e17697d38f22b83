"""Endpoint records and the total order of their versions."""

import enum
from typing import NamedTuple

from umberdrum import settings


class RecordState(enum.IntEnum):
    """Lifecycle state of an endpoint; the values are part of the peer protocol."""

    ABSENT = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


class EndpointRecord(NamedTuple):
    """Description of one endpoint and its daemon, written only by that daemon.

    ``endpoint_id`` is the address at which other daemons reach it. ``incarnation``
    counts the successive endpoints at that address. ``process_id`` is a random number
    that identifies the daemon's process. ``version`` grows with each change that this
    process makes to its record. ``is_suspected`` is the exception that any daemon may
    set; it only lowers the endpoint's routing preference. ``is_contact`` means that the
    daemon reads the store on behalf of its availability zone. ``is_final`` means that
    the daemon has left the cluster; ``state`` is then that of its upstream at the end.
    ``ended_run`` is the mark of the upstream's last run that has ended or said that it
    leaves, 0 if none is known. The daemon's next process gets it back from other
    daemons.
    """

    endpoint_id: str
    incarnation: int
    process_id: int
    version: int
    state: RecordState
    is_suspected: bool
    service: str
    availability_zone: str
    region: str
    n_slots: int
    is_contact: bool
    is_final: bool
    ended_run: int = 0

    @property
    def address(self) -> settings.Address:
        """Address at which other daemons reach this endpoint's daemon."""
        return settings.parse_address(self.endpoint_id)

    @property
    def key(self) -> str:
        """Identifier of this endpoint and its process in routing and logs."""
        return f"{self.endpoint_id}/{self.process_id:016x}"

    @property
    def is_live(self) -> bool:
        """Whether the daemon has neither left nor been suspected."""
        return not (self.is_final or self.is_suspected)


class _VersionOrder(NamedTuple):
    """Sort key that orders the versions of one endpoint's record, oldest first."""

    incarnation: int
    process_id: int
    is_final: bool
    version: int
    is_suspected: bool


def get_version_order(record: EndpointRecord) -> _VersionOrder:
    """Return the sort key of ``record`` among its endpoint's versions."""
    return _VersionOrder(
        record.incarnation,
        record.process_id,
        record.is_final,
        record.version,
        record.is_suspected,
    )


def is_newer(record: EndpointRecord, current: EndpointRecord) -> bool:
    """Return whether ``record`` replaces ``current``, a record of the same endpoint."""
    return get_version_order(record) > get_version_order(current)
