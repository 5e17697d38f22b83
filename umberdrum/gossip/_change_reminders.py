"""Selection of the peers that are told of a change again."""

from collections.abc import Iterable
from typing import NamedTuple

from umberdrum import classes, membership

REMINDER_INTERVAL_SECONDS = 0.2
# Users require a change to be in force everywhere within 2 s.
REMINDER_PERIOD_SECONDS = 1.8
# Bounds the datagrams of one round to about 3 KB.
MAX_REMINDED_PEERS = 16
# Bounds those of a daemon that has spent its byte budget.
MIN_REMINDED_PEERS = 4


class _PeerPosition(NamedTuple):
    """Highest position that the process ``process_id`` of a peer has advertised."""

    process_id: int
    position: classes.EntryPosition


class ChangeReminders:
    """Selects peers that have not advertised the documents of this daemon yet.

    Load pattern: datagrams are lost, so that a few daemons hear of a change late and
    by chance. A contact reads each change from the store within a fraction of a second.
    It repeats it to the peers of its zone until they advertise it themselves, to those
    first that it has reminded least often.

    Example: of ten peers in the zone, six have answered since the change. The other
    four are reminded every ``REMINDER_INTERVAL_SECONDS``.
    """

    def __init__(self) -> None:
        self._positions: dict[str, _PeerPosition] = {}
        self._n_reminders: dict[str, int] = {}
        self._reminded_position = classes.NO_POSITION

    def record_position(
        self, endpoint_id: str, process_id: int, position: classes.EntryPosition
    ) -> None:
        """Record the position that a peer advertises."""
        known = self._positions.get(endpoint_id)
        if known is not None and known.process_id == process_id:
            position = max(position, known.position)
        self._positions[endpoint_id] = _PeerPosition(process_id, position)

    def take_round(
        self,
        peers: Iterable[membership.EndpointRecord],
        own_position: classes.EntryPosition,
        n_peers: int,
    ) -> list[membership.EndpointRecord]:
        """Return up to ``n_peers`` of ``peers`` to remind now, and count that."""
        if own_position != self._reminded_position:
            self._reminded_position = own_position
            self._n_reminders.clear()
        unaware = [row for row in peers if not self._is_aware(row, own_position)]
        unaware.sort(key=self._count_reminders)
        chosen = unaware[:n_peers]
        for record in chosen:
            self._n_reminders[record.endpoint_id] = self._count_reminders(record) + 1
        return chosen

    def forget(self, endpoint_id: str) -> None:
        """Forget a peer that has left the cluster."""
        self._positions.pop(endpoint_id, None)

    def _is_aware(
        self, record: membership.EndpointRecord, position: classes.EntryPosition
    ) -> bool:
        known = self._positions.get(record.endpoint_id)
        if known is None or known.process_id != record.process_id:
            return False
        return known.position >= position

    def _count_reminders(self, record: membership.EndpointRecord) -> int:
        return self._n_reminders.get(record.endpoint_id, 0)
