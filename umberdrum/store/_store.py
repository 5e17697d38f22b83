"""Interface of the key-value store and its data types."""

from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

import expression

from umberdrum import errors
from umberdrum.store import _eras

DEFAULT_MAX_SILENCE_SECONDS = 30.0


class KeyValue(NamedTuple):
    """One key with its value, last changed at the store revision ``mod_revision``.

    ``lease_id`` is 0 if the key has no lease. ``era`` is the era of the answer that
    contained the key, 0 if the store doesn't report eras.
    """

    key: str
    value: bytes
    mod_revision: int
    lease_id: int
    era: int = 0


class Listing(NamedTuple):
    """Keys under a prefix at the revision ``revision`` of the store's era ``era``.

    ``unreadable_keys`` exist as well, with contents that can't be read; another program
    may have written them. Without ``names_all_keys`` there are others, whose names
    can't be read either.
    """

    revision: int
    items: tuple[KeyValue, ...]
    era: int = 0
    unreadable_keys: frozenset[str] = frozenset()
    names_all_keys: bool = True


class SwapResult(NamedTuple):
    """Result of a conditional write or deletion.

    ``revision`` is the revision of the change, or of the store if nothing changed.
    ``current`` is the key's current value if the change did not take effect, None if
    the key does not exist.
    """

    is_applied: bool
    revision: int
    current: KeyValue | None


class Lease(NamedTuple):
    """Lease and its granted time to live in seconds.

    A lease ends with the era of the store in which it was granted. ``found_silence``:
    its renewal was answered only on a new connection, so that other connections that
    were open may be silent, too.
    """

    lease_id: int
    ttl_seconds: int
    era: int = 0
    found_silence: bool = False


class WatchEvent(NamedTuple):
    """Change of one key; a deleted key has an empty value."""

    item: KeyValue
    is_deleted: bool


class WatchBatch(NamedTuple):
    """Changes in the order of revisions.

    ``compacted_revision`` is not 0 if the store no longer has the requested revisions,
    or has begun a new era; the watcher must then list the prefix again.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    compacted_revision: int


class Watch(Protocol):
    """Open watch of the changes below one prefix.

    All changes before ``next_revision`` have been received. ``last_answer_at`` is the
    time of the last answer, also of one without changes, None before the first.
    """

    next_revision: int
    last_answer_at: float | None

    async def receive(self) -> expression.Result[WatchBatch, errors.Failure]:
        """Return the next batch, or the failure that ended the watch."""


class Store(Protocol):
    """Key-value service with compare-and-swap, leases and watches.

    Reads fail with ``STORE_UNAVAILABLE``. Like renewals of a lease they are repeated on
    a new connection if the kept one, which may have gone silent, gives no answer. A
    write whose answer was lost fails with ``STORE_OUTCOME_UNKNOWN``, since it may have
    taken effect. A write that was certainly not sent fails with ``STORE_UNAVAILABLE``,
    marked as not run. An adapter never retries a write.

    An answer of an earlier era than ``eras`` has seen is never used: a read fails, and
    the outcome of a write is unknown.
    """

    eras: _eras.EraTracker

    def close(self) -> None:
        """Close persistent connections."""

    async def get(self, key: str) -> expression.Result[KeyValue | None, errors.Failure]:
        """Return the key, or None if it does not exist."""

    async def list_prefix(
        self, prefix: str, may_be_stale: bool = False
    ) -> expression.Result[Listing, errors.Failure]:
        """Return all keys that start with ``prefix``.

        With ``may_be_stale`` the listing costs the store less and may be seconds old.
        """

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
        read_era: int = 0,
    ) -> expression.Result[SwapResult, errors.Failure]:
        """Write the key if its ``mod_revision`` is as expected; 0: if it is absent.

        ``lease_id`` 0 writes the key without a lease. ``read_era`` is the era in which
        the revision was read, 0 for any. In a later era the same revision may belong to
        another change, so the write fails or its outcome is unknown.
        """

    async def delete(
        self, key: str, expected_revision: int, read_era: int = 0
    ) -> expression.Result[SwapResult, errors.Failure]:
        """Delete the key if its ``mod_revision`` is as expected; see above."""

    async def grant_lease(
        self, ttl_seconds: int
    ) -> expression.Result[Lease, errors.Failure]:
        """Return a new lease that expires unless it is renewed in time."""

    async def keep_alive(
        self, lease_id: int
    ) -> expression.Result[Lease, errors.Failure]:
        """Renew a lease; ``ttl_seconds`` of the result is 0 if it has expired.

        A renewal without an answer on a kept connection is repeated on a new one.
        """

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Revoke a lease, which deletes its keys."""

    def watch(
        self,
        prefix: str,
        from_revision: int,
        era: int = 0,
        max_silence_seconds: float = DEFAULT_MAX_SILENCE_SECONDS,
    ) -> AbstractAsyncContextManager[Watch]:
        """Open a watch of all changes below a prefix, from a revision of an era on.

        A lost answer looks like a time without changes. The watch therefore makes the
        store answer within ``max_silence_seconds``; without an answer it fails, or goes
        on over a new connection.
        """
