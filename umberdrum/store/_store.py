"""Interface of the store and the values that pass through it."""

from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

import expression

from umberdrum import errors


class KeyValue(NamedTuple):
    """One key with its value at the revision ``mod_revision`` of the store."""

    key: str
    value: bytes
    mod_revision: int
    lease_id: int


class Listing(NamedTuple):
    """Keys under a prefix as they were at ``revision``."""

    revision: int
    items: tuple[KeyValue, ...]


class SwapResult(NamedTuple):
    """End of a compare-and-swap: whether it took effect, and what is there if not.

    ``revision`` is the revision of the change, or of the store when nothing changed.
    """

    is_applied: bool
    revision: int
    current: KeyValue | None


class Lease(NamedTuple):
    """Lease and the time for which it was granted, in seconds."""

    lease_id: int
    ttl_seconds: int


class WatchEvent(NamedTuple):
    """Change of one key; a deleted key has an empty value."""

    item: KeyValue
    is_deleted: bool


class WatchBatch(NamedTuple):
    """Changes in the order of revisions.

    ``compacted_revision`` is not 0 when the store no longer has the changes asked for;
    the watcher must then list the prefix anew.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    compacted_revision: int


class Watch(Protocol):
    """Running watch of one prefix."""

    async def receive(self) -> expression.Result[WatchBatch, errors.Failure]:
        """Return the next batch, or the failure that ended the watch."""


class Store(Protocol):
    """Key-value service with compare-and-swap, leases and watches.

    Reads fail with ``STORE_UNAVAILABLE``. A write whose answer was lost fails with
    ``STORE_OUTCOME_UNKNOWN``, since it may have taken effect; one that was surely not
    sent fails with ``STORE_UNAVAILABLE`` as not run. An adapter never retries a write.
    """

    def close(self) -> None:
        """Close kept connections."""

    async def get(self, key: str) -> expression.Result[KeyValue | None, errors.Failure]:
        """Return the key, or None if it does not exist."""

    async def list_prefix(
        self, prefix: str, may_be_stale: bool = False
    ) -> expression.Result[Listing, errors.Failure]:
        """Return all keys that start with ``prefix``.

        One that may be stale costs the store less and may be seconds old.
        """

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> expression.Result[SwapResult, errors.Failure]:
        """Write the key if its ``mod_revision`` is as expected; 0: if it is absent."""

    async def delete(
        self, key: str, expected_revision: int
    ) -> expression.Result[SwapResult, errors.Failure]:
        """Delete the key if its ``mod_revision`` is as expected."""

    async def grant_lease(
        self, ttl_seconds: int
    ) -> expression.Result[Lease, errors.Failure]:
        """Return a new lease."""

    async def keep_alive(
        self, lease_id: int
    ) -> expression.Result[Lease, errors.Failure]:
        """Extend a lease; ``ttl_seconds`` of the result is 0 when it has lapsed."""

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, errors.Failure]:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager[Watch]:
        """Open a watch of all changes of a prefix from a revision on."""
