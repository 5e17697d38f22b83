"""State that daemons share: membership and the catalog of classes."""

from collections.abc import Callable, Iterable

from umberdrum import classes, logs, membership, wire
from umberdrum.gossip import _convert, _news


class SharedState:
    """What one daemon knows and passes on, with the news that is still to be spread.

    Everything that comes in, by datagram, synchronisation or from the store, goes
    through ``merge_records`` and ``merge_entries``; what they accept is queued as news.
    """

    def __init__(self, table: membership.MembershipTable, log: logs.EventLog) -> None:
        self.table = table
        self.catalog = classes.Catalog()
        self.news = _news.NewsQueue(table.own.endpoint_id)
        self._log = log
        self._catalog_listeners: list[Callable[[classes.Catalog], None]] = []
        self.news.add_record(table.own)

    def add_catalog_listener(self, listener: Callable[[classes.Catalog], None]) -> None:
        """Call ``listener`` with each new catalog."""
        self._catalog_listeners.append(listener)

    def publish_own_record(self, record: membership.EndpointRecord) -> None:
        """Spread a new version of the own record."""
        self.news.add_record(record)

    def merge_records(
        self,
        messages: Iterable[wire.messages.EndpointRecord],
        now: float,
        is_news: bool = True,
    ) -> int:
        """Merge records that came from another daemon; return how many were newer.

        Those of a synchronisation are no news to others: they are not passed on.
        """
        records: list[membership.EndpointRecord] = []
        for message in messages:
            decoded = membership.decode_record(message)
            if decoded.is_ok():
                records.append(decoded.ok)
        changed = self.table.merge(records, now)
        for record in changed:
            is_own = record.endpoint_id == self.table.own.endpoint_id
            self._note_change(record, is_news or is_own)
        return len(changed)

    def suspect(self, endpoint_id: str, process_id: int, now: float) -> None:
        """Spread the suspicion that a daemon does not answer."""
        record = self.table.suspect(endpoint_id, process_id, now)
        if record is not None:
            self._note_change(record, is_news=True)

    def merge_entry_messages(
        self, messages: Iterable[wire.messages.ClassEntry], is_news: bool = True
    ) -> None:
        """Merge classes that came from another daemon."""
        entries: list[classes.CatalogEntry] = []
        for message in messages:
            if message.is_stub:
                continue
            decoded = _convert.decode_entry(message)
            if decoded.is_error():
                self._log.warn("document_refused", reason=decoded.error.detail)
                continue
            entries.append(decoded.ok)
        self.merge_entries(entries, is_news)

    def merge_entries(
        self, entries: list[classes.CatalogEntry], is_news: bool = True
    ) -> None:
        """Merge classes, of which only higher revisions count."""
        news = [entry for entry in entries if self.catalog.is_news(entry)]
        if not news:
            return
        self.catalog = self.catalog.merge(news)
        for entry in news:
            if is_news:
                self.news.add_entry(entry)
            self._log.write(
                "class_changed",
                cls=entry.name,
                revision=entry.revision,
                deleted=entry.is_deleted,
            )
        for listener in self._catalog_listeners:
            listener(self.catalog)

    def _note_change(self, record: membership.EndpointRecord, is_news: bool) -> None:
        if is_news:
            self.news.add_record(record)
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
