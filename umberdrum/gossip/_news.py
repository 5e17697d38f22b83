"""Queue of changes that are still to be passed on."""

import math
from typing import NamedTuple

from umberdrum import classes, membership, wire
from umberdrum.gossip import _convert

SENDS_PER_LOG2 = 3
MAX_INLINE_BYTES = 400


class NewsBatch(NamedTuple):
    """Changes that fit into one datagram, and their encoded size in bytes."""

    records: list[wire.messages.EndpointRecord]
    entries: list[wire.messages.ClassEntry]
    n_bytes: int


class _Item:
    """One change with the number of times that it was sent."""

    __slots__ = ("entry", "n_bytes", "n_sends", "record")

    def __init__(
        self,
        record: wire.messages.EndpointRecord | None,
        entry: wire.messages.ClassEntry | None,
    ) -> None:
        self.record = record
        self.entry = entry
        self.n_sends = 0
        size = 0
        if record is not None:
            size = record.ByteSize()
        elif entry is not None:
            size = entry.ByteSize()
        self.n_bytes = size + 4


class NewsQueue:
    """Changes that this daemon passes on, the least often sent first.

    A change is sent about three times the binary logarithm of the number of endpoints,
    after which nearly all daemons have it; digests find those that have not. A newer
    change of the same record or class replaces the older one.

    The own record comes first, and also where there is no room: nobody else can tell of
    it yet. Load pattern: many daemons start together and use up their bytes on what
    they pass on for each other, just when each has to say that it serves.
    """

    def __init__(self, own_id: str) -> None:
        self._own_name = _name_record(own_id)
        self._items: dict[str, _Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add_record(self, record: membership.EndpointRecord) -> None:
        """Queue a record that has changed."""
        message = membership.encode_record(record)
        self._items[_name_record(record.endpoint_id)] = _Item(message, None)

    def add_entry(self, entry: classes.CatalogEntry) -> None:
        """Queue a class that has changed.

        A long document is left out: every datagram names the sender's revision, and who
        has a lower one fetches what it lacks over a peer link.
        """
        if len(entry.document) > MAX_INLINE_BYTES:
            return
        message = _convert.encode_entry(entry)
        self._items["class " + entry.name] = _Item(None, message)

    def take_batch(self, max_bytes: int, n_endpoints: int) -> NewsBatch:
        """Return changes of at most ``max_bytes`` and count them as sent once more.

        A change of the own record is part of it in any case.
        """
        max_sends = SENDS_PER_LOG2 * math.ceil(math.log2(n_endpoints + 2))
        batch = NewsBatch([], [], 0)
        n_bytes = 0
        for name, item in sorted(self._items.items(), key=self._get_order):
            is_own = name == self._own_name
            if not is_own and n_bytes + item.n_bytes > max_bytes:
                continue
            n_bytes += item.n_bytes
            if item.record is not None:
                batch.records.append(item.record)
            if item.entry is not None:
                batch.entries.append(item.entry)
            item.n_sends += 1
            if item.n_sends >= max_sends:
                del self._items[name]
        return batch._replace(n_bytes=n_bytes)

    def _get_order(self, row: tuple[str, _Item]) -> tuple[bool, int]:
        name, item = row
        return name != self._own_name, item.n_sends


def _name_record(endpoint_id: str) -> str:
    return f"endpoint {endpoint_id}"
