"""Operators' configuration: kept in the store, distributed by a few contacts."""

from umberdrum.configuration._contacts import ContactKeys, ContactManager
from umberdrum.configuration._repository import (
    ClassChange,
    ClassRepository,
    StoredClass,
)
from umberdrum.configuration._snapshot import (
    Difference,
    DifferenceKind,
    RestoreReport,
    Snapshot,
    SnapshotManager,
    decode_snapshot,
    encode_snapshot,
)
from umberdrum.configuration._watcher import ConfigurationWatcher

__all__ = [
    "ClassChange",
    "ClassRepository",
    "ConfigurationWatcher",
    "ContactKeys",
    "ContactManager",
    "Difference",
    "DifferenceKind",
    "RestoreReport",
    "Snapshot",
    "SnapshotManager",
    "StoredClass",
    "decode_snapshot",
    "encode_snapshot",
]
