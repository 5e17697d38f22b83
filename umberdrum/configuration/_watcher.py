"""Watch of the documents in the store, run by contacts only."""

import random
from typing import NamedTuple

import trio

from umberdrum import classes, gossip, logs, store
from umberdrum.configuration import _retry_pause

# Users require a change to be in force within 2 s, or 3 s after the store recovers.
# Neither the longest pause nor a call's timeout of 2 s uses that up.
MAX_RETRY_PERIOD_SECONDS = 1.25
DEFAULT_RECOVERY_SECONDS = 3.0
# What is left of the time is for a listing, and for its spread to the peers.
GUARD_SILENCE_SHARE = 0.72


class ListedDocuments(NamedTuple):
    """Documents of the store at the revision ``revision`` of its era ``era``."""

    revision: int
    era: int
    entries: list[classes.CatalogEntry]


class _Position(NamedTuple):
    """Revision of an era from which a watch continues."""

    next_revision: int
    era: int


class ConfigurationWatcher:
    """Follows the documents in the store and merges them into the shared state.

    Every key below ``documents_prefix`` is one document, named by the rest of its key.
    The watcher lists the prefix, then watches from the next revision; after a
    compaction, a lost watch or a restore of the store it lists again. The catalog
    rejects states older than its own, so re-ordered or repeated changes are harmless.

    A waiting watch does not show whether its connection is still alive. ``reopen``
    continues it on a new connection, from the revision that it had reached. While
    ``set_guard`` is in effect, the store has to answer the watch often enough for a
    lost answer to be found within ``recovery_seconds``, the time after an outage of the
    store within which daemons have to follow it again.

    ``is_running`` is set on contacts only, ``is_following`` while a watch is open.
    """

    def __init__(
        self,
        target_store: store.Store,
        documents_prefix: str,
        state: gossip.SharedState,
        rng: random.Random,
        log: logs.EventLog,
        recovery_seconds: float = DEFAULT_RECOVERY_SECONDS,
    ) -> None:
        self._guard_silence_seconds = GUARD_SILENCE_SHARE * recovery_seconds
        self._max_silence_seconds = store.DEFAULT_MAX_SILENCE_SECONDS
        self._store = target_store
        self._prefix = documents_prefix
        self._state = state
        self._rng = rng
        self._log = log
        self._follow_scope = trio.CancelScope()
        self._watch_scope = trio.CancelScope()
        self._watch: store.Watch | None = None
        self._is_pausing = False
        self._answered_at: float | None = None
        self.is_running = False
        self.is_following = False

    @property
    def last_answer_at(self) -> float | None:
        """Time of the last answer to a listing or a watch, None before the first."""
        if self._watch is not None and self._watch.last_answer_at is not None:
            return self._watch.last_answer_at
        return self._answered_at

    async def run(self) -> None:
        """Follow the store until cancelled, with pauses while it does not answer."""
        retry_pause = _retry_pause.RetryPause(self._rng, MAX_RETRY_PERIOD_SECONDS)
        self.is_running = True
        try:
            while True:
                began_at = trio.current_time()
                await self._list_and_follow()
                self.is_following = False
                if self._follow_scope.cancelled_caught:
                    continue
                seconds = trio.current_time() - began_at
                await self._pause(retry_pause.draw_seconds(seconds))
        finally:
            self.is_running = False
            self.is_following = False

    async def _list_and_follow(self) -> None:
        listed: ListedDocuments | None = None
        with trio.CancelScope() as self._follow_scope:
            listed = await self.read_documents()
        if listed is None:
            return
        self._watch = None
        self._answered_at = trio.current_time()
        # A listing that is the first to show a new era stays valid.
        self._state.merge_entries(listed.entries)
        with trio.CancelScope() as self._follow_scope:
            await self._follow_changes(_Position(listed.revision + 1, listed.era))

    async def _pause(self, seconds: float) -> None:
        """Sleep, unless ``restart`` or ``reopen`` ends the pause."""
        self._is_pausing = True
        try:
            with trio.CancelScope() as self._follow_scope:
                await trio.sleep(seconds)
        finally:
            self._is_pausing = False

    def restart(self) -> None:
        """List the documents again at once, because the store began a new era."""
        self._follow_scope.cancel()

    def reopen(self, reason: str) -> None:
        """Replace a waiting watch, whose connection may be silent, at once.

        A pause before the next attempt ends.
        """
        if self._is_pausing:
            self._follow_scope.cancel()
            return
        if not self._can_replace_watch():
            return
        answered_at = self.last_answer_at
        age = None if answered_at is None else trio.current_time() - answered_at
        self._log.write("store_watch_reopened", reason=reason, age_seconds=age)
        self._watch_scope.cancel()

    def _can_replace_watch(self) -> bool:
        return self.is_following and not self._watch_scope.cancel_called

    def set_guard(self, is_guard: bool) -> None:
        """Let the store answer the watch often, or as seldom as it allows."""
        seconds = store.DEFAULT_MAX_SILENCE_SECONDS
        if is_guard:
            seconds = self._guard_silence_seconds
        if seconds == self._max_silence_seconds:
            return
        self._max_silence_seconds = seconds
        self._log.write("store_watch_guard", is_guard=is_guard)
        if self._can_replace_watch():
            self._watch_scope.cancel()

    async def read_documents(self) -> ListedDocuments | None:
        """Return all documents of the store, or None if it does not answer.

        Known documents that the listing lacks are returned as deleted, unless they may
        be newer than the copy that the store was restored from.
        """
        listed = await self._store.list_prefix(self._prefix)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return None
        listing = listed.ok
        entries: list[classes.CatalogEntry] = []
        present = {key.removeprefix(self._prefix) for key in listing.unreadable_keys}
        for item in listing.items:
            name = item.key.removeprefix(self._prefix)
            present.add(name)
            entries.append(self._build_entry(item, is_deleted=False))
        for known in self._state.catalog.entries:
            if known.is_deleted or known.name in present:
                continue
            if not listing.names_all_keys:
                continue
            is_of_era = known.era == self._store.eras.get_write_era(known.revision)
            if is_of_era and known.revision <= listing.revision:
                entries.append(
                    classes.CatalogEntry(
                        known.name, listing.revision, b"", True, listing.era
                    )
                )
        return ListedDocuments(listing.revision, listing.era, entries)

    async def _follow_changes(self, position: _Position) -> None:
        """Merge changes until the watch ends or its revisions were compacted."""
        while True:
            async with self._store.watch(
                self._prefix,
                position.next_revision,
                position.era,
                self._max_silence_seconds,
            ) as watch:
                self._answered_at = self.last_answer_at
                self._watch = watch
                self.is_following = True
                with trio.CancelScope() as self._watch_scope:
                    await self._merge_changes(watch)
                if not self._watch_scope.cancel_called:
                    return
                position = position._replace(next_revision=watch.next_revision)

    async def _merge_changes(self, watch: store.Watch) -> None:
        while True:
            received = await watch.receive()
            if received.is_error():
                self._log.warn("store_watch", reason=received.error.detail)
                return
            batch = received.ok
            if batch.compacted_revision:
                self._log.write("store_compacted", at=batch.compacted_revision)
                return
            self._apply_batch(batch)

    def _apply_batch(self, batch: store.WatchBatch) -> None:
        entries = [
            self._build_entry(event.item, event.is_deleted) for event in batch.events
        ]
        self._state.merge_entries(entries)

    def _build_entry(
        self, item: store.KeyValue, is_deleted: bool
    ) -> classes.CatalogEntry:
        return classes.CatalogEntry(
            item.key.removeprefix(self._prefix),
            item.mod_revision,
            b"" if is_deleted else item.value,
            is_deleted,
            self._store.eras.get_write_era(item.mod_revision),
        )
