"""Route table in force at one daemon, taken from the shared catalog."""

from typing import Protocol

import expression

from umberdrum import classes, errors, logs
from umberdrum.routetable import _table

MAX_LOGGED_ROUTES = 20


class RouteTableDecoder(Protocol):
    """Decodes the stored form of a route table."""

    def __call__(
        self, document: bytes
    ) -> expression.Result[_table.RouteTable, errors.Failure]:
        """Return the table, or a failure that says what is wrong with the document."""


class RouteTableSource:
    """Keeps the newest valid table that the catalog has brought.

    A table never gives way to one of a lower version, whatever order the documents
    arrive in, and an invalid document changes nothing.
    """

    def __init__(
        self, entry_name: str, read: RouteTableDecoder, log: logs.EventLog
    ) -> None:
        self._entry_name = entry_name
        self._read = read
        self._log = log
        self._revision = 0
        self.table: _table.RouteTable | None = None

    def apply_catalog(self, catalog: classes.Catalog) -> None:
        """Use the table in ``catalog`` if it is newer than the one in force."""
        entry = catalog.get_entry(self._entry_name)
        if entry is None or entry.is_deleted or entry.revision <= self._revision:
            return
        self._revision = entry.revision
        read = self._read(entry.document)
        if read.is_error():
            self._log.warn(
                "routes_invalid", revision=entry.revision, reason=read.error.detail
            )
            return
        table = read.ok
        if self.table is not None and table.version <= self.table.version:
            self._log.warn(
                "routes_outdated",
                revision=entry.revision,
                version=table.version,
                in_force=self.table.version,
            )
            return
        self._log_changes(table)
        self.table = table
        self._log.write(
            "routes_in_force",
            version=table.version,
            revision=entry.revision,
            routes=len(table.routes),
        )

    def _log_changes(self, table: _table.RouteTable) -> None:
        """Write a line for each route that is new or different, up to a bound."""
        held = frozenset(self.table.routes) if self.table is not None else frozenset()
        changed = [route for route in table.routes if route not in held]
        for route in changed[:MAX_LOGGED_ROUTES]:
            self._log.write(
                "route_changed",
                version=table.version,
                route=route.name,
                place=route.host + route.path_prefix,
                services=",".join(
                    f"{row.service}:{row.weight:g}" for row in route.shares
                ),
                idempotent=route.is_idempotent,
                target_ms=route.target_latency_ms,
                timeout_ms=route.timeout_ms,
                attempts=route.max_attempts,
                priority=route.priority,
            )
