"""In-memory state of the store stand-in: keys, revisions, leases and history."""

from typing import NamedTuple

import trio

from umberdrum import store

FIRST_LEASE_ID = 1001


class HistoryEvent(NamedTuple):
    """One change and its revision."""

    revision: int
    event: store.WatchEvent


class StoreCopy(NamedTuple):
    """Copy of the store at one revision, with its leases and their times to live."""

    revision: int
    items: dict[str, store.KeyValue]
    ttl_seconds_by_lease: dict[int, int]


class _Lease:
    """One lease with its time to live and the time at which it expires."""

    __slots__ = ("expires_at", "ttl_seconds")

    def __init__(self, ttl_seconds: int, expires_at: float) -> None:
        self.ttl_seconds = ttl_seconds
        self.expires_at = expires_at


class StoreState:
    """Keys with revisions as defined by the etcd v3 protocol.

    Times are seconds of trio's clock, so that leases also expire on a virtual clock.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.compacted_revision = 0
        self._items: dict[str, store.KeyValue] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = FIRST_LEASE_ID
        self._history: list[HistoryEvent] = []
        self._changed = trio.Event()

    def get_range(self, key: str, end: str) -> list[store.KeyValue]:
        """Return the item of ``key``, or with ``end`` the items from ``key`` up to it.

        ``end`` is exclusive; the items are sorted by key.
        """
        self.expire_leases()
        if not end:
            item = self._items.get(key)
            return [item] if item is not None else []
        keys = sorted(name for name in self._items if key <= name < end)
        return [self._items[name] for name in keys]

    def get_mod_revision(self, key: str) -> int:
        """Return the revision of the last change of the key, 0 if the key is absent."""
        self.expire_leases()
        item = self._items.get(key)
        return item.mod_revision if item is not None else 0

    def put(self, key: str, value: bytes, lease_id: int) -> bool:
        """Write the key; return False if its lease does not exist."""
        if lease_id and lease_id not in self._leases:
            return False
        self.revision += 1
        item = store.KeyValue(key, value, self.revision, lease_id)
        self._items[key] = item
        self._append_history(store.WatchEvent(item, False))
        return True

    def delete(self, key: str) -> int:
        """Delete the key; return the number of keys deleted."""
        if key not in self._items:
            return 0
        self.revision += 1
        del self._items[key]
        tombstone = store.KeyValue(key, b"", self.revision, 0)
        self._append_history(store.WatchEvent(tombstone, True))
        return 1

    def grant_lease(self, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        expires_at = trio.current_time() + ttl_seconds
        self._leases[lease_id] = _Lease(ttl_seconds, expires_at)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew the lease; return its TTL in seconds, 0 if it has expired."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = trio.current_time() + lease.ttl_seconds
        return lease.ttl_seconds

    def revoke_lease(self, lease_id: int) -> None:
        """Remove the lease and delete its keys."""
        self._leases.pop(lease_id, None)
        for key, item in list(self._items.items()):
            if item.lease_id == lease_id:
                self.delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases that have expired."""
        now = trio.current_time()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_at <= now:
                self.revoke_lease(lease_id)

    def expire_all_leases(self) -> None:
        """Revoke all leases immediately."""
        for lease_id in list(self._leases):
            self.revoke_lease(lease_id)

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self._history.clear()
        self.compacted_revision = self.revision

    def take_copy(self) -> StoreCopy:
        """Return a copy of all keys and leases."""
        self.expire_leases()
        leases = {key: lease.ttl_seconds for key, lease in self._leases.items()}
        return StoreCopy(self.revision, dict(self._items), leases)

    def restore(self, copy: StoreCopy) -> None:
        """Return to ``copy`` and begin the next era.

        Revisions and lease ids continue from those of the copy, so that they are given
        out again. Leases of the copy run anew. There is no history.
        """
        self.era += 1
        self.revision = copy.revision
        self.compacted_revision = copy.revision
        self._history.clear()
        self._items = dict(copy.items)
        now = trio.current_time()
        self._leases = {
            key: _Lease(ttl_seconds, now + ttl_seconds)
            for key, ttl_seconds in copy.ttl_seconds_by_lease.items()
        }
        self._next_lease_id = max(self._leases, default=FIRST_LEASE_ID - 1) + 1

    def list_changes(
        self, prefix: str, end: str, from_revision: int
    ) -> list[HistoryEvent]:
        """Return the changes of a key range since a revision, oldest first."""
        found: list[HistoryEvent] = []
        for row in self._history:
            if row.revision >= from_revision and prefix <= row.event.item.key < end:
                found.append(row)
        return found

    async def wait_for_change(self) -> None:
        """Wait for the next change of any key."""
        await self._changed.wait()

    def _append_history(self, event: store.WatchEvent) -> None:
        self._history.append(HistoryEvent(self.revision, event))
        self._changed.set()
        self._changed = trio.Event()
