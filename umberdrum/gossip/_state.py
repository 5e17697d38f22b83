"""State replicated between daemons: the membership table and the class catalog."""

from collections.abc import Callable, Iterable
from typing import Protocol

from umberdrum import classes, crashes, logs, membership, wire
from umberdrum.gossip import _entry_codec, _update_queue


class VersionReader(Protocol):
    """Function that reads the version which an operator gave to a document."""

    def __call__(self, name: str, document: bytes) -> int:
        """Return the version, or 0 if the document states none or is invalid."""


class SharedState:
    """One daemon's replica of the shared state, with its queue of pending updates.

    All input from datagrams, synchronisations and the store passes through
    ``merge_records`` and ``merge_entries``. What they accept is queued as an update,
    except for records from a synchronisation reply. ``on_predecessor`` is told the
    record of an earlier process at this daemon's address, and any newer one.
    """

    def __init__(
        self,
        table: membership.MembershipTable,
        log: logs.EventLog,
        read_version: VersionReader | None = None,
    ) -> None:
        self.table = table
        self._read_version = read_version
        self.catalog = classes.Catalog()
        self.crashes = crashes.CrashRegistry()
        self.updates = _update_queue.UpdateQueue(table.own.endpoint_id)
        self._log = log
        self._catalog_listeners: list[Callable[[classes.Catalog], None]] = []
        self.on_predecessor: Callable[[membership.EndpointRecord], None] | None = None
        self.updates.add_record(table.own)

    def add_catalog_listener(self, listener: Callable[[classes.Catalog], None]) -> None:
        """Register ``listener`` to be called with the catalog after each change."""
        self._catalog_listeners.append(listener)

    def publish_own_record(self, record: membership.EndpointRecord) -> None:
        """Queue a new version of the own record for dissemination."""
        self.updates.add_record(record)

    def merge_records(
        self,
        messages: Iterable[wire.messages.EndpointRecord],
        now: float,
        is_disseminated: bool = True,
    ) -> int:
        """Merge records from another daemon and return the number of changed records.

        Records from a synchronisation reply are already known to other daemons. They
        are merged with ``is_disseminated`` false and not queued, except for the own
        record.
        """
        records: list[membership.EndpointRecord] = []
        for message in messages:
            decoded = membership.decode_record(message)
            if decoded.is_ok():
                records.append(decoded.ok)
        known_predecessor = self.table.predecessor
        changed = self.table.merge(records, now)
        predecessor = self.table.predecessor
        if predecessor is not None and predecessor != known_predecessor:
            self._report_predecessor(predecessor)
        for record in changed:
            is_own = record.endpoint_id == self.table.own.endpoint_id
            self._record_change(record, is_disseminated or is_own)
        return len(changed)

    def _report_predecessor(self, record: membership.EndpointRecord) -> None:
        if self.on_predecessor is not None:
            self.on_predecessor(record)

    def merge_crash_marks(
        self, messages: Iterable[wire.messages.CrashMark], now: float
    ) -> None:
        """Merge marks from another daemon and disseminate those that are new here."""
        marks: list[crashes.CrashMark] = []
        for message in messages:
            mark = crashes.decode_mark(message)
            if mark is not None:
                marks.append(mark)
        for mark in self.crashes.merge(marks, now):
            self.updates.add_crash_mark(mark)

    def suspect(self, endpoint_id: str, process_id: int, now: float) -> None:
        """Mark a daemon that does not answer as suspected and disseminate this."""
        record = self.table.suspect(endpoint_id, process_id, now)
        if record is not None:
            self._record_change(record, is_disseminated=True)

    def merge_entry_messages(
        self, messages: Iterable[wire.messages.ClassEntry], is_disseminated: bool = True
    ) -> None:
        """Merge classes from another daemon.

        Stubs are skipped, and so are unreadable documents, which are logged.
        """
        entries: list[classes.CatalogEntry] = []
        for message in messages:
            if message.is_stub:
                continue
            decoded = _entry_codec.decode_entry(message)
            if decoded.is_error():
                self._log.warn("document_refused", reason=decoded.error.detail)
                continue
            entries.append(decoded.ok)
        self.merge_entries(entries, is_disseminated)

    def merge_entries(
        self, entries: list[classes.CatalogEntry], is_disseminated: bool = True
    ) -> None:
        """Merge the classes that have a higher position than the catalog's."""
        versioned = [self._set_version(entry) for entry in entries]
        updates = [entry for entry in versioned if self.catalog.is_update(entry)]
        if not updates:
            return
        self.catalog = self.catalog.merge(updates)
        for entry in updates:
            if is_disseminated:
                self.updates.add_entry(entry)
            self._log.write(
                "class_changed",
                cls=entry.name,
                era=entry.era or None,
                revision=entry.revision,
                deleted=entry.is_deleted,
            )
        for listener in self._catalog_listeners:
            listener(self.catalog)

    def _set_version(self, entry: classes.CatalogEntry) -> classes.CatalogEntry:
        """Return the entry with the version of its document, if it has any."""
        if entry.version or entry.is_deleted or self._read_version is None:
            return entry
        version = self._read_version(entry.name, entry.document)
        return entry._replace(version=version)

    def _record_change(
        self, record: membership.EndpointRecord, is_disseminated: bool
    ) -> None:
        if is_disseminated:
            self.updates.add_record(record)
        self._log.write(
            "endpoint_changed",
            endpoint=record.endpoint_id,
            service=record.service or None,
            state=record.state.name.lower(),
            suspected=record.is_suspected,
            final=record.is_final,
            incarnation=record.incarnation,
            version=record.version,
        )
