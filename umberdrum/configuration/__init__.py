"""Operators' configuration: kept in the store, distributed by a few contacts."""

from umberdrum.configuration._claim_delay import ClaimDelay
from umberdrum.configuration._contact_watch import ContactWatch
from umberdrum.configuration._contacts import ContactKeys, ContactManager
from umberdrum.configuration._documents import (
    ZONE_DRAINS_NAME_PREFIX,
    build_documents_prefix,
)
from umberdrum.configuration._repository import (
    ClassChange,
    ClassRepository,
    StoredClass,
)
from umberdrum.configuration._retry_pause import RetryPause
from umberdrum.configuration._snapshot import (
    Difference,
    DifferenceKind,
    RestoreReport,
    Snapshot,
    SnapshotManager,
    decode_snapshot,
    encode_snapshot,
)
from umberdrum.configuration._watch_guard import choose_guard
from umberdrum.configuration._watcher import ConfigurationWatcher
from umberdrum.configuration._zone_repository import ZoneOrder, ZoneRepository

__all__ = [
    "ZONE_DRAINS_NAME_PREFIX",
    "ClaimDelay",
    "ClassChange",
    "ClassRepository",
    "ConfigurationWatcher",
    "ContactKeys",
    "ContactManager",
    "ContactWatch",
    "Difference",
    "DifferenceKind",
    "RestoreReport",
    "RetryPause",
    "Snapshot",
    "SnapshotManager",
    "StoredClass",
    "ZoneOrder",
    "ZoneRepository",
    "build_documents_prefix",
    "choose_guard",
    "decode_snapshot",
    "encode_snapshot",
]
