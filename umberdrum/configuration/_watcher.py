"""Watch of the documents in the store, run by contacts only."""

import random

import trio

from umberdrum import classes, gossip, logs, store

MIN_BACKOFF_SECONDS = 0.5
# Users require a change to be in force within 2 s, or 3 s after the store recovers.
MAX_BACKOFF_SECONDS = 2.0


class ConfigurationWatcher:
    """Follows the documents in the store and merges them into the shared state.

    Every key below ``documents_prefix`` is one document, named by the rest of its key.
    The watcher lists the prefix, then watches from the next revision; after a
    compaction or a lost watch it lists again. The catalog rejects revisions older than
    its own, so re-ordered or repeated changes are harmless.
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
        self.is_following = False

    async def run(self) -> None:
        """Follow the store until cancelled, with backoff while it does not answer."""
        backoff = MIN_BACKOFF_SECONDS
        try:
            while True:
                revision = await self._load_documents()
                if revision:
                    backoff = MIN_BACKOFF_SECONDS
                    await self._follow_changes(revision + 1)
                self.is_following = False
                await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
        finally:
            self.is_following = False

    async def load_once(self) -> bool:
        """Load the current documents once; return whether the store answered."""
        return await self._load_documents() > 0

    async def _load_documents(self) -> int:
        """Load all documents; return the revision of the listing, 0 if it failed.

        Known documents that the listing lacks are marked as deleted.
        """
        listed = await self._store.list_prefix(self._prefix)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return 0
        listing = listed.ok
        entries: list[classes.CatalogEntry] = []
        present: set[str] = set()
        for item in listing.items:
            name = item.key.removeprefix(self._prefix)
            present.add(name)
            entries.append(
                classes.CatalogEntry(name, item.mod_revision, item.value, False)
            )
        for known in self._state.catalog.entries:
            if known.is_deleted or known.name in present:
                continue
            if known.revision <= listing.revision:
                entries.append(
                    classes.CatalogEntry(known.name, listing.revision, b"", True)
                )
        self._state.merge_entries(entries)
        return listing.revision

    async def _follow_changes(self, from_revision: int) -> None:
        """Merge changes until the watch ends or its revisions were compacted."""
        async with self._store.watch(self._prefix, from_revision) as watch:
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
        entries: list[classes.CatalogEntry] = []
        for event in batch.events:
            item = event.item
            name = item.key.removeprefix(self._prefix)
            value = b"" if event.is_deleted else item.value
            entries.append(
                classes.CatalogEntry(name, item.mod_revision, value, event.is_deleted)
            )
        self._state.merge_entries(entries)
