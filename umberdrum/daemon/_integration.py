"""What a daemon is given by the environment that it runs in."""

from collections.abc import Callable
from typing import NamedTuple

from umberdrum import (
    announcements,
    callpath,
    controlhttp,
    routetable,
    settings,
    store,
)

STORE_TIMEOUT_SECONDS = 2.0

StoreBuilder = Callable[[settings.Settings, store.StoreCallCounter], store.Store]
AnnouncementHandlerBuilder = Callable[
    [announcements.AnnouncementTracker], controlhttp.ControlHandler
]
ReadinessHandlerBuilder = Callable[[Callable[[], bool]], controlhttp.ControlHandler]


class RoutesDocument(NamedTuple):
    """Where the route table is kept in the store and how it is decoded.

    ``keys_prefix`` and ``name`` together are the key of the document.
    """

    keys_prefix: str
    name: str
    read: routetable.RouteTableDecoder


class Integration(NamedTuple):
    """Protocols at the edges of a daemon; the decisions between them stay the same.

    ``routes`` is None where operators write classes of work one by one.
    ``build_readiness_handler`` is None where nothing asks for readiness on an address
    of its own.

    Example: ``build_own_integration()`` speaks the project's own protocols.
    """

    dialect: callpath.Dialect
    build_store: StoreBuilder
    build_announcement_handler: AnnouncementHandlerBuilder
    build_readiness_handler: ReadinessHandlerBuilder | None
    routes: RoutesDocument | None


def build_own_integration() -> Integration:
    """Return the integration for the project's own protocols."""
    return Integration(
        dialect=callpath.OWN_DIALECT,
        build_store=_build_etcd_store,
        build_announcement_handler=_get_tracker_handler,
        build_readiness_handler=None,
        routes=None,
    )


def _build_etcd_store(
    own_settings: settings.Settings, counter: store.StoreCallCounter
) -> store.Store:
    addresses = own_settings.store_addresses
    return store.EtcdStore(addresses, counter, STORE_TIMEOUT_SECONDS)


def _get_tracker_handler(
    tracker: announcements.AnnouncementTracker,
) -> controlhttp.ControlHandler:
    return tracker.handle
