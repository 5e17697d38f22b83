"""Interface of the key-value store and its etcd adapter."""

from umberdrum.store._calls import StoreCallCounter
from umberdrum.store._eras import EraTracker
from umberdrum.store._etcd import EtcdStore
from umberdrum.store._store import (
    DEFAULT_MAX_SILENCE_SECONDS,
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
    "DEFAULT_MAX_SILENCE_SECONDS",
    "EraTracker",
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
