"""Snapshots of the operators' classes: saved as JSON, compared, restored."""

import enum
import json
from typing import NamedTuple, TypedDict

import expression

from umberdrum import classes, errors
from umberdrum.configuration import _repository

FORMAT_VERSION = 1


class DifferenceKind(enum.Enum):
    """How a class in the store differs from its snapshot."""

    MISSING = "missing"
    CHANGED = "changed"
    EXTRA = "extra"


class Difference(NamedTuple):
    """One class that differs; ``detail`` tells snapshot and store apart."""

    name: str
    kind: DifferenceKind
    detail: str


class Snapshot(NamedTuple):
    """Classes as they were when the snapshot was saved, in the order of names."""

    stored: tuple[_repository.StoredClass, ...]


class RestoreReport(NamedTuple):
    """Names of the classes that a restore wrote."""

    written: tuple[str, ...]


class _ClassRow(TypedDict):
    revision: int
    document: str


class _SnapshotDocument(TypedDict):
    format: int
    classes: list[_ClassRow]


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the JSON text of a snapshot."""
    rows: list[_ClassRow] = []
    for stored in snapshot.stored:
        document = classes.encode_document(stored.request_class).decode()
        rows.append({"revision": stored.revision, "document": document})
    value: _SnapshotDocument = {"format": FORMAT_VERSION, "classes": rows}
    return json.dumps(value, indent=2).encode() + b"\n"


def decode_snapshot(raw: bytes) -> expression.Result[Snapshot, errors.Failure]:
    """Return the checked snapshot in ``raw``, or the fault that was found."""
    try:
        value: _SnapshotDocument = json.loads(raw)
        if value["format"] != FORMAT_VERSION:
            return _report(
                f"format: expected {FORMAT_VERSION}, found {value['format']}"
            )
        rows = [(int(r["revision"]), r["document"].encode()) for r in value["classes"]]
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
        return _report(f"expected a snapshot, found a fault at {fault!r}")
    found: list[_repository.StoredClass] = []
    for revision, document in rows:
        decoded = classes.decode_document(document)
        if decoded.is_error():
            return expression.Error(decoded.error)
        found.append(_repository.StoredClass(decoded.ok, revision))
    return expression.Ok(Snapshot(tuple(found)))


class SnapshotManager:
    """Saves, compares and restores the classes of one store.

    A restore writes nothing when any class changed since the snapshot was saved, unless
    it is told to overwrite. It deletes nothing. Each write is a compare-and-swap
    against what the comparison saw, so a change that comes in between is not
    overwritten either.
    """

    def __init__(self, repository: _repository.ClassRepository) -> None:
        self._repository = repository

    async def save(self) -> expression.Result[Snapshot, errors.Failure]:
        """Return a snapshot of the classes as they are now."""
        listed = await self._repository.list_classes()
        if listed.is_error():
            return expression.Error(listed.error)
        return expression.Ok(Snapshot(tuple(listed.ok)))

    async def compare(
        self, snapshot: Snapshot
    ) -> expression.Result[list[Difference], errors.Failure]:
        """Return how the store differs from the snapshot, in the order of names."""
        listed = await self._repository.list_classes()
        if listed.is_error():
            return expression.Error(listed.error)
        return expression.Ok(_list_differences(snapshot, listed.ok))

    async def restore(
        self, snapshot: Snapshot, is_overwriting: bool
    ) -> expression.Result[RestoreReport, errors.Failure]:
        """Write the classes that are missing and, if told, those that changed."""
        listed = await self._repository.list_classes()
        if listed.is_error():
            return expression.Error(listed.error)
        differences = _list_differences(snapshot, listed.ok)
        changed = [row for row in differences if row.kind is DifferenceKind.CHANGED]
        if changed and not is_overwriting:
            names = ", ".join(row.name for row in changed)
            detail = f"changed since the snapshot: {names}; nothing was written"
            return expression.Error(
                errors.fail(errors.ErrorKind.STORE_CONFLICT, detail)
            )
        revisions = {row.request_class.name: row.revision for row in listed.ok}
        wanted = {row.request_class.name: row for row in snapshot.stored}
        written: list[str] = []
        for row in differences:
            if row.kind is DifferenceKind.EXTRA:
                continue
            change = await self._repository.write_class(
                wanted[row.name].request_class, revisions.get(row.name, 0)
            )
            if change.is_error():
                return expression.Error(_add_progress(change.error, written))
            written.append(row.name)
        return expression.Ok(RestoreReport(tuple(written)))


def _list_differences(
    snapshot: Snapshot, listed: list[_repository.StoredClass]
) -> list[Difference]:
    held = {row.request_class.name: row.request_class for row in listed}
    wanted = {row.request_class.name: row.request_class for row in snapshot.stored}
    found: list[Difference] = []
    for name in sorted(held.keys() | wanted.keys()):
        if name not in held:
            detail = f"snapshot: {_describe(wanted[name])}"
            found.append(Difference(name, DifferenceKind.MISSING, detail))
        elif name not in wanted:
            detail = f"store: {_describe(held[name])}"
            found.append(Difference(name, DifferenceKind.EXTRA, detail))
        elif held[name]._replace(change_id="") != wanted[name]._replace(change_id=""):
            detail = f"snapshot: {_describe(wanted[name])}; store: "
            detail += _describe(held[name])
            found.append(Difference(name, DifferenceKind.CHANGED, detail))
    return found


def _describe(request_class: classes.RequestClass) -> str:
    kind = "idempotent" if request_class.is_idempotent else "not idempotent"
    methods = ",".join(request_class.methods) or "any"
    target = request_class.target
    return (
        f"{request_class.service} {methods} {request_class.path_prefix} {kind} "
        f"{target.percentile:g} % within {target.latency_ms} ms"
    )


def _add_progress(failure: errors.Failure, written: list[str]) -> errors.Failure:
    if not written:
        return failure
    names = ", ".join(written)
    return failure._replace(detail=f"{failure.detail}; already written: {names}")


def _report(detail: str) -> expression.Result[Snapshot, errors.Failure]:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
