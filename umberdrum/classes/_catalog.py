"""Immutable catalog of request classes, merged by revision."""

import hashlib
import struct
from typing import NamedTuple

from umberdrum.classes import _document, _policy, _request_class

_DIGESTED_FIELDS = struct.Struct(">Q?")
_DIGESTED_ERA = struct.Struct(">Q")
# Above the sum of the revisions of all entries.
ERA_SHIFT = 44
MAX_TOTAL = (1 << 64) - 1


class EntryPosition(NamedTuple):
    """Order of the states of one entry: the one with the highest position is newest.

    The operator's own version comes first, because a store that is restored from an
    older copy may hold an old document at a new revision. Catalogs are ordered alike.

    ``total`` is 0 for an entry. For a catalog it rises with each change of any entry,
    so that of two catalogs with the same latest change, the one that lacks an earlier
    change has the lower position.
    """

    version: int
    era: int
    revision: int
    total: int = 0


NO_POSITION = EntryPosition(0, 0, 0)


class CatalogEntry(NamedTuple):
    """One class at one revision of the store.

    ``document`` is the stored form. A deleted class keeps its entry as a tombstone with
    an empty document. ``era`` is the era of the store in which it was written, and
    ``version`` the version that the document itself states; each is 0 if there is none.
    """

    name: str
    revision: int
    document: bytes
    is_deleted: bool
    era: int = 0
    version: int = 0

    @property
    def position(self) -> EntryPosition:
        """Position of this state among the states of the entry."""
        return EntryPosition(self.version, self.era, self.revision)


class ClassWithPolicy(NamedTuple):
    """Request class and the call policy that applies to it."""

    request_class: _request_class.RequestClass
    policy: _policy.CallPolicy


class Catalog:
    """Classes known to one daemon, each at the highest position seen.

    A class is active when it is not deleted and its document is valid. ``position``
    has the highest version of all entries, the era and revision of the latest change of
    any entry, and a total of all changes, so that a catalog which lacks any change has
    a lower one. It is ``NO_POSITION`` for an empty catalog.
    ``digest`` covers the names, eras, revisions and deletions of all entries, for
    comparison with other daemons.

    For each class, merging keeps the entry with the higher position. Merging is
    therefore commutative, associative and idempotent, and no class returns to an older
    state. The catalog does not decide which changes are accepted: only a commit in
    the store does.
    """

    def __init__(self) -> None:
        self._entries: dict[str, CatalogEntry] = {}
        self._active: dict[str, ClassWithPolicy] = {}
        self._active_by_service: dict[str, list[ClassWithPolicy]] = {}
        self.position = NO_POSITION
        self.digest = self._compute_digest()

    @property
    def revision(self) -> int:
        """Store revision of the latest change of any entry, 0 if there is none."""
        return self.position.revision

    @property
    def entries(self) -> list[CatalogEntry]:
        """Entries of all classes, deleted ones included, sorted by name."""
        return [self._entries[name] for name in sorted(self._entries)]

    def get_entry(self, name: str) -> CatalogEntry | None:
        """Return the entry of class ``name``, deleted or not; None if it is unknown."""
        return self._entries.get(name)

    def list_classes(self) -> list[_request_class.RequestClass]:
        """Return the active classes, sorted by name."""
        return [self._active[name].request_class for name in sorted(self._active)]

    def merge(self, entries: list[CatalogEntry]) -> "Catalog":
        """Return a catalog in which entries with a higher position replace older ones.

        Returns this catalog itself if none of ``entries`` is newer.
        """
        merged = Catalog()
        merged._entries = dict(self._entries)
        merged._active = dict(self._active)
        is_changed = False
        for entry in entries:
            if merged.is_update(entry):
                merged._store_entry(entry)
                is_changed = True
        if not is_changed:
            return self
        merged._active_by_service = merged._group_by_service()
        merged.digest = merged._compute_digest()
        merged.position = merged._compute_position()
        return merged

    def is_update(self, entry: CatalogEntry) -> bool:
        """Return whether ``entry`` is new or newer than the entry in the catalog."""
        current = self._entries.get(entry.name)
        return current is None or entry.position > current.position

    def has_service(self, service: str) -> bool:
        """Return whether any active class belongs to ``service``."""
        return service in self._active_by_service

    def match(self, service: str, method: str, path: str) -> ClassWithPolicy | None:
        """Return the matching active class with the longest path prefix, or None.

        Among equal prefixes, a class that lists methods precedes one for any method.
        """
        for active in self._active_by_service.get(service, ()):
            if active.request_class.matches(service, method, path):
                return active
        return None

    def _store_entry(self, entry: CatalogEntry) -> None:
        """Store one entry; an entry with an invalid document matches no request."""
        self._entries[entry.name] = entry
        self._active.pop(entry.name, None)
        if entry.is_deleted:
            return
        decoded = _document.decode_document(entry.document)
        if decoded.is_ok():
            policy = _policy.derive_policy(decoded.ok)
            self._active[entry.name] = ClassWithPolicy(decoded.ok, policy)

    def _group_by_service(self) -> dict[str, list[ClassWithPolicy]]:
        """Return the active classes of each service in matching order."""
        grouped: dict[str, list[ClassWithPolicy]] = {}
        for active in sorted(self._active.values(), key=_get_matching_order):
            grouped.setdefault(active.request_class.service, []).append(active)
        return grouped

    def _compute_position(self) -> EntryPosition:
        positions = [entry.position for entry in self._entries.values()]
        era, revision = max((row.era, row.revision) for row in positions)
        version = max(row.version for row in positions)
        total = 0
        for row in positions:
            # The version decides, whatever the era and revision are.
            total += row.version or (row.era << ERA_SHIFT) + row.revision
        return EntryPosition(version, era, revision, total & MAX_TOTAL)

    def _compute_digest(self) -> int:
        hasher = hashlib.blake2b(digest_size=8)
        for entry in self.entries:
            hasher.update(entry.name.encode() + b"\0")
            hasher.update(_DIGESTED_FIELDS.pack(entry.revision, entry.is_deleted))
            if entry.era:
                hasher.update(_DIGESTED_ERA.pack(entry.era))
        return int.from_bytes(hasher.digest(), "big")


def _get_matching_order(active: ClassWithPolicy) -> tuple[int, int, str]:
    request_class = active.request_class
    method_rank = 0 if request_class.methods else 1
    return (-len(request_class.path_prefix), method_rank, request_class.name)
