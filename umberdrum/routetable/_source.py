"""Active route table of one daemon, read from the shared catalog."""

from typing import Protocol

import expression

from umberdrum import classes, errors, logs
from umberdrum.routetable import _table

MAX_LOGGED_ROUTES = 20

_DecodeResult = expression.Result[_table.RouteTable, errors.Failure]


class RouteTableDecoder(Protocol):
    """Function that decodes the stored document of a route table."""

    def __call__(self, document: bytes) -> _DecodeResult:
        """Return the table, or a failure that describes the error in the document."""


class RouteTableSource:
    """Holds the newest valid route table from the catalog.

    A table is never replaced by one with the same or a lower version, in whatever order
    the documents arrive. An invalid document leaves the active table unchanged. It has
    no version, so that it replaces no valid document in a catalog either: daemons that
    start get the last valid one from their peers.
    """

    def __init__(
        self, entry_name: str, decode: RouteTableDecoder, log: logs.EventLog
    ) -> None:
        self._entry_name = entry_name
        self._decode = decode
        self._log = log
        self._position = classes.NO_POSITION
        self._last_document: bytes | None = None
        self._last_decoded: _DecodeResult | None = None
        self.table: _table.RouteTable | None = None

    def read_version(self, name: str, document: bytes) -> int:
        """Return the version of the table in ``document``.

        It is 0 for other documents than the one with the table, and for an invalid one.
        """
        if name != self._entry_name:
            return 0
        decoded = self._decode_once(document)
        return 0 if decoded.is_error() else decoded.ok.version

    def apply_catalog(self, catalog: classes.Catalog) -> None:
        """Activate the table in ``catalog`` if it is newer than the active one."""
        entry = catalog.get_entry(self._entry_name)
        if entry is None or entry.is_deleted or entry.position <= self._position:
            return
        self._position = entry.position
        decoded = self._decode_once(entry.document)
        if decoded.is_error():
            return
        table = decoded.ok
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
            accounts=len(table.accounts) if table.accounts is not None else None,
        )

    def _decode_once(self, document: bytes) -> _DecodeResult:
        """Return the table, which is kept until another document is decoded."""
        if self._last_decoded is None or document != self._last_document:
            self._last_document = document
            self._last_decoded = self._decode(document)
            if self._last_decoded.is_error():
                self._log.warn("routes_invalid", reason=self._last_decoded.error.detail)
        return self._last_decoded

    def _log_changes(self, table: _table.RouteTable) -> None:
        """Log new and changed routes, at most ``MAX_LOGGED_ROUTES`` of them."""
        active_routes = (
            frozenset(self.table.routes) if self.table is not None else frozenset()
        )
        changed_routes = [route for route in table.routes if route not in active_routes]
        for route in changed_routes[:MAX_LOGGED_ROUTES]:
            self._log.write(
                "route_changed",
                version=table.version,
                route=route.name,
                place=route.host + route.path_prefix,
                services=",".join(
                    f"{share.service}:{share.weight:g}" for share in route.shares
                ),
                idempotent=route.is_idempotent,
                target_ms=route.target_latency_ms,
                timeout_ms=route.timeout_ms,
                attempts=route.max_attempts,
                priority=route.priority,
            )
