"""Catalog of classes: an immutable value that only ever moves forward."""

import hashlib
import struct
from typing import NamedTuple

from umberdrum.classes import _document, _policy, _request_class

_REVISION = struct.Struct(">Q?")


class CatalogEntry(NamedTuple):
    """One class at one revision of the store; a deleted class keeps its entry.

    ``document`` is the stored form, empty for a deleted class.
    """

    name: str
    revision: int
    document: bytes
    is_deleted: bool


class ClassWithPolicy(NamedTuple):
    """Class with its policy, in the order in which requests are matched."""

    request_class: _request_class.RequestClass
    policy: _policy.CallPolicy


class Catalog:
    """Classes known to one daemon, each at the highest revision seen.

    ``revision`` is the highest of all entries, 0 for an empty catalog.

    Merging keeps, for each class, the entry with the higher revision, so that merging
    is commutative, associative and idempotent and no class ever goes back. The catalog
    never decides what is accepted: only a commit in the store does.
    """

    def __init__(self) -> None:
        self._entries: dict[str, CatalogEntry] = {}
        self._rows: dict[str, ClassWithPolicy] = {}
        self._rows_by_service: dict[str, list[ClassWithPolicy]] = {}
        self.revision = 0
        self.digest = self._compute_digest()

    @property
    def entries(self) -> list[CatalogEntry]:
        """Entries of all classes, deleted ones included, in the order of names."""
        return [self._entries[name] for name in sorted(self._entries)]

    def get_entry(self, name: str) -> CatalogEntry | None:
        """Return the entry of class ``name``, deleted or not."""
        return self._entries.get(name)

    def list_classes(self) -> list[_request_class.RequestClass]:
        """Return the classes in force in the order of names."""
        return [self._rows[name].request_class for name in sorted(self._rows)]

    def merge(self, news: list[CatalogEntry]) -> "Catalog":
        """Return a catalog that also holds ``news`` where their revision is higher."""
        merged = Catalog()
        merged._entries = dict(self._entries)
        merged._rows = dict(self._rows)
        is_changed = False
        for entry in news:
            if merged.is_update(entry):
                merged._put(entry)
                is_changed = True
        if not is_changed:
            return self
        merged._rows_by_service = merged._group_rows()
        merged.digest = merged._compute_digest()
        merged.revision = max(entry.revision for entry in merged._entries.values())
        return merged

    def is_update(self, entry: CatalogEntry) -> bool:
        """Return whether ``entry`` is newer than what the catalog holds."""
        held = self._entries.get(entry.name)
        return held is None or entry.revision > held.revision

    def has_service(self, service: str) -> bool:
        """Return whether any class in force names ``service``."""
        return service in self._rows_by_service

    def match(self, service: str, method: str, path: str) -> ClassWithPolicy | None:
        """Return the class with the longest matching path prefix, with its policy."""
        for row in self._rows_by_service.get(service, ()):
            if row.request_class.matches(service, method, path):
                return row
        return None

    def _put(self, entry: CatalogEntry) -> None:
        """Take one entry; one that can't be decoded is kept and matches nothing."""
        self._entries[entry.name] = entry
        self._rows.pop(entry.name, None)
        if entry.is_deleted:
            return
        decoded = _document.decode_document(entry.document)
        if decoded.is_ok():
            policy = _policy.derive_policy(decoded.ok)
            self._rows[entry.name] = ClassWithPolicy(decoded.ok, policy)

    def _group_rows(self) -> dict[str, list[ClassWithPolicy]]:
        """Return the rows of each service in the order in which they are matched."""
        grouped: dict[str, list[ClassWithPolicy]] = {}
        for row in sorted(self._rows.values(), key=_order_for_matching):
            grouped.setdefault(row.request_class.service, []).append(row)
        return grouped

    def _compute_digest(self) -> int:
        hasher = hashlib.blake2b(digest_size=8)
        for entry in self.entries:
            hasher.update(entry.name.encode() + b"\0")
            hasher.update(_REVISION.pack(entry.revision, entry.is_deleted))
        return int.from_bytes(hasher.digest(), "big")


def _order_for_matching(row: ClassWithPolicy) -> tuple[int, int, str]:
    request_class = row.request_class
    has_any_method = 0 if request_class.methods else 1
    return (-len(request_class.path_prefix), has_any_method, request_class.name)
