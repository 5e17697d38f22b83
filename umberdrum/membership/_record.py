"""Record of one endpoint and the order of its versions."""

import enum
from typing import NamedTuple

from umberdrum import settings


class RecordState(enum.IntEnum):
    """State of an endpoint in its record; the numbers are part of the peer protocol."""

    ABSENT = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


class EndpointRecord(NamedTuple):
    """One endpoint with its daemon, written only by that daemon.

    ``endpoint_id`` is the address at which other daemons reach it, ``incarnation``
    counts the endpoints that were there one after the other, ``process_id`` is the
    random number of the daemon's process. ``is_suspected`` may be added by any daemon;
    it only lowers preference. ``is_final`` says that the daemon has left.
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

    @property
    def address(self) -> settings.Address:
        """Address of the endpoint's daemon."""
        return settings.parse_address(self.endpoint_id)

    @property
    def key(self) -> str:
        """Name of this endpoint and process in routing and logs."""
        return f"{self.endpoint_id}/{self.process_id:016x}"

    @property
    def is_live(self) -> bool:
        """Whether the daemon is believed to run."""
        return not (self.is_final or self.is_suspected)


class _Order(NamedTuple):
    """Sort key of the versions of one endpoint's record."""

    incarnation: int
    process_id: int
    is_final: bool
    version: int
    is_suspected: bool


def get_order(record: EndpointRecord) -> _Order:
    """Return the place of ``record`` in the total order of its endpoint's versions."""
    return _Order(
        record.incarnation,
        record.process_id,
        record.is_final,
        record.version,
        record.is_suspected,
    )


def is_newer(record: EndpointRecord, held: EndpointRecord) -> bool:
    """Return whether ``record`` replaces ``held``, a record of the same endpoint."""
    return get_order(record) > get_order(held)
