"""Queue of updates to disseminate by gossip."""

import math
from typing import NamedTuple

from umberdrum import classes, crashes, membership, wire
from umberdrum.gossip import _entry_codec

SENDS_PER_LOG2_ENDPOINTS = 3
MAX_INLINE_DOCUMENT_BYTES = 400


class UpdateBatch(NamedTuple):
    """Updates that fit into one datagram, and their encoded size in bytes."""

    records: list[wire.messages.EndpointRecord]
    entries: list[wire.messages.ClassEntry]
    crash_marks: list[wire.messages.CrashMark]
    n_bytes: int


class _QueuedUpdate:
    """One update, its encoded size and the number of times it was sent."""

    __slots__ = ("crash_mark", "entry", "n_bytes", "n_sends", "record")

    def __init__(
        self,
        record: wire.messages.EndpointRecord | None = None,
        entry: wire.messages.ClassEntry | None = None,
        crash_mark: wire.messages.CrashMark | None = None,
    ) -> None:
        self.record = record
        self.entry = entry
        self.crash_mark = crash_mark
        self.n_sends = 0
        size = 0
        if record is not None:
            size = record.ByteSize()
        elif entry is not None:
            size = entry.ByteSize()
        elif crash_mark is not None:
            size = crash_mark.ByteSize()
        self.n_bytes = size + 4


class UpdateQueue:
    """Updates to piggyback on gossip messages, least often sent first.

    An update is sent about three times the binary logarithm of the number of endpoints.
    After that nearly all daemons have it, and digests detect those that do not. A newer
    update of the same record or class replaces the older one.

    An update of the daemon's own record goes first and ignores the size limit, because
    no other daemon can disseminate it yet. Load pattern: many daemons start together
    and spend their byte budget on updates of each other, at the time when each of them
    has to announce that it serves.
    """

    def __init__(self, own_id: str) -> None:
        self._own_key = _build_record_key(own_id)
        self._updates: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add_record(self, record: membership.EndpointRecord) -> None:
        """Queue the current version of a changed record."""
        message = membership.encode_record(record)
        self._updates[_build_record_key(record.endpoint_id)] = _QueuedUpdate(message)

    def add_entry(self, entry: classes.CatalogEntry) -> None:
        """Queue a changed class unless its document is long.

        Every datagram carries the sender's catalog revision. A daemon with a lower
        revision fetches a long document over a peer link.
        """
        if len(entry.document) > MAX_INLINE_DOCUMENT_BYTES:
            return
        message = _entry_codec.encode_entry(entry)
        self._updates["class " + entry.name] = _QueuedUpdate(entry=message)

    def add_crash_mark(self, mark: crashes.CrashMark) -> None:
        """Queue a new or changed mark of a request under which an upstream ended."""
        key = f"crash {mark.fingerprint.hex()} {mark.run}"
        message = crashes.encode_mark(mark)
        self._updates[key] = _QueuedUpdate(crash_mark=message)

    def take_batch(self, max_bytes: int, n_endpoints: int) -> UpdateBatch:
        """Return updates of at most ``max_bytes`` and increment their send counts.

        An update of the own record is always included. Updates that have reached their
        maximum number of sends are removed.
        """
        max_sends = SENDS_PER_LOG2_ENDPOINTS * math.ceil(math.log2(n_endpoints + 2))
        batch = UpdateBatch([], [], [], 0)
        n_bytes = 0
        for key, update in sorted(self._updates.items(), key=self._get_sort_key):
            is_own = key == self._own_key
            if not is_own and n_bytes + update.n_bytes > max_bytes:
                continue
            n_bytes += update.n_bytes
            if update.record is not None:
                batch.records.append(update.record)
            if update.entry is not None:
                batch.entries.append(update.entry)
            if update.crash_mark is not None:
                batch.crash_marks.append(update.crash_mark)
            update.n_sends += 1
            if update.n_sends >= max_sends:
                del self._updates[key]
        return batch._replace(n_bytes=n_bytes)

    def _get_sort_key(
        self, keyed_update: tuple[str, _QueuedUpdate]
    ) -> tuple[bool, int]:
        key, update = keyed_update
        return key != self._own_key, update.n_sends


def _build_record_key(endpoint_id: str) -> str:
    return f"endpoint {endpoint_id}"
