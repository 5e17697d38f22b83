"""Watch of the documents in the store, run by contacts only."""

import random
from typing import NamedTuple

import trio

from umberdrum import classes, gossip, logs, store

MIN_BACKOFF_SECONDS = 0.5
# Users require a change to be in force within 2 s, or 3 s after the store recovers.
MAX_BACKOFF_SECONDS = 2.0


class ListedDocuments(NamedTuple):
    """Documents of the store at the revision ``revision`` of its era ``era``."""

    revision: int
    era: int
    entries: list[classes.CatalogEntry]


class ConfigurationWatcher:
    """Follows the documents in the store and merges them into the shared state.

    Every key below ``documents_prefix`` is one document, named by the rest of its key.
    The watcher lists the prefix, then watches from the next revision; after a
    compaction, a lost watch or a restore of the store it lists again. The catalog
    rejects states older than its own, so re-ordered or repeated changes are harmless.
    """

    def __init__(
        self,
        target_store: store.Store,
        documents_prefix: str,
        state: gossip.SharedState,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        self._store = target_store
        self._prefix = documents_prefix
        self._state = state
        self._rng = rng
        self._log = log
        self._follow_scope = trio.CancelScope()
        self.is_following = False

    async def run(self) -> None:
        """Follow the store until cancelled, with backoff while it does not answer."""
        backoff = MIN_BACKOFF_SECONDS
        try:
            while True:
                listed: ListedDocuments | None = None
                with trio.CancelScope() as self._follow_scope:
                    listed = await self.read_documents()
                if listed is not None:
                    backoff = MIN_BACKOFF_SECONDS
                    self._state.merge_entries(listed.entries)
                    # A listing that is the first to show a new era stays valid.
                    with trio.CancelScope() as self._follow_scope:
                        await self._follow_changes(listed)
                self.is_following = False
                if self._follow_scope.cancelled_caught:
                    continue
                await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
        finally:
            self.is_following = False

    def restart(self) -> None:
        """List the documents again at once, because the store began a new era."""
        self._follow_scope.cancel()

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
        present: set[str] = set()
        for item in listing.items:
            name = item.key.removeprefix(self._prefix)
            present.add(name)
            entries.append(self._build_entry(item, is_deleted=False))
        for known in self._state.catalog.entries:
            if known.is_deleted or known.name in present:
                continue
            is_of_era = known.era == self._store.eras.get_write_era(known.revision)
            if is_of_era and known.revision <= listing.revision:
                entries.append(
                    classes.CatalogEntry(
                        known.name, listing.revision, b"", True, listing.era
                    )
                )
        return ListedDocuments(listing.revision, listing.era, entries)

    async def _follow_changes(self, listed: ListedDocuments) -> None:
        """Merge changes until the watch ends or its revisions were compacted."""
        async with self._store.watch(
            self._prefix, listed.revision + 1, listed.era
        ) as watch:
            self.is_following = True
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
