"""The platform's key-value service, behind one interface."""

from umberdrum.store._calls import StoreCallCounter
from umberdrum.store._etcd import EtcdStore
from umberdrum.store._store import (
    KeyValue,
    Lease,
    Listing,
    Store,
    SwapResult,
    Watch,
    WatchBatch,
    WatchEvent,
)

__all__ = [
    "EtcdStore",
    "KeyValue",
    "Lease",
    "Listing",
    "Store",
    "StoreCallCounter",
    "SwapResult",
    "Watch",
    "WatchBatch",
    "WatchEvent",
]
