"""Protocols of the environment that a daemon runs in."""

from collections.abc import Callable
from typing import NamedTuple

from umberdrum import (
    announcements,
    callpath,
    configuration,
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
    """Location of the route table in the store, and its decoder.

    The key of the document is ``keys_prefix`` followed by ``name``.
    """

    keys_prefix: str
    name: str
    read: routetable.RouteTableDecoder


class Integration(NamedTuple):
    """Protocols of a daemon towards callers, upstream, store and operators.

    The load balancing does not depend on them.

    ``routes`` is None where operators write request classes one by one instead of a
    route table. ``build_readiness_handler`` is None where readiness is not served on an
    address of its own. ``zone_drains_prefix`` begins the names of the documents that
    take availability zones out of service.

    Example: ``build_own_integration()`` uses the project's own protocols.
    """

    dialect: callpath.Dialect
    build_store: StoreBuilder
    build_announcement_handler: AnnouncementHandlerBuilder
    build_readiness_handler: ReadinessHandlerBuilder | None
    routes: RoutesDocument | None
    zone_drains_prefix: str


def build_own_integration() -> Integration:
    """Return the integration with the project's own protocols and an etcd store."""
    return Integration(
        dialect=callpath.OWN_DIALECT,
        build_store=_build_etcd_store,
        build_announcement_handler=_get_announcement_handler,
        build_readiness_handler=None,
        routes=None,
        zone_drains_prefix=configuration.ZONE_DRAINS_NAME_PREFIX,
    )


def _build_etcd_store(
    own_settings: settings.Settings, counter: store.StoreCallCounter
) -> store.Store:
    addresses = own_settings.store_addresses
    return store.EtcdStore(addresses, counter, STORE_TIMEOUT_SECONDS)


def _get_announcement_handler(
    tracker: announcements.AnnouncementTracker,
) -> controlhttp.ControlHandler:
    return tracker.handle
