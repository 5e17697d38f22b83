"""Zone drains in force, read from the shared catalog."""

from collections.abc import Callable

from umberdrum import classes, logs

DrainsListener = Callable[[frozenset[str]], None]


class ZoneDrains:
    """Availability zones that are out of service by an operator's order.

    Each order is one document of the store, named ``name_prefix`` followed by the zone.
    It is in force while the document exists. Like every document it spreads from the
    contacts to all daemons by gossip, so that it also reaches daemons which the store
    turns away, and a deleted one never returns from an older state.

    Load pattern: all calls of a zone move to the others at once, and come back to
    upstreams that may be cold. Entry daemons leave the endpoints of a drained zone out,
    and its endpoint daemons refuse calls that still arrive, as not run. The limit of
    cold upstreams bounds what comes back.

    Example: with ``name_prefix`` ``"zone-drains/"``, the document
    ``zone-drains/north-a`` drains the zone ``north-a``.
    """

    def __init__(self, name_prefix: str, log: logs.EventLog) -> None:
        self._name_prefix = name_prefix
        self._log = log
        self._listeners: list[DrainsListener] = []
        self.zones: frozenset[str] = frozenset()

    def add_listener(self, listener: DrainsListener) -> None:
        """Register ``listener`` to be called with the drained zones on each change."""
        self._listeners.append(listener)

    def apply_catalog(self, catalog: classes.Catalog) -> None:
        """Put the orders in ``catalog`` in force."""
        drained: set[str] = set()
        for entry in catalog.entries:
            if entry.is_deleted or not entry.name.startswith(self._name_prefix):
                continue
            drained.add(entry.name.removeprefix(self._name_prefix))
        zones = frozenset(drained)
        if zones == self.zones:
            return
        previous = self.zones
        self.zones = zones
        self._log.write(
            "zone_drains_in_force",
            zones=",".join(sorted(zones)) or None,
            added=",".join(sorted(zones - previous)) or None,
            ended=",".join(sorted(previous - zones)) or None,
            revision=catalog.revision,
        )
        for listener in self._listeners:
            listener(zones)
