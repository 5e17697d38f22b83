"""Snapshots of the operators' classes: saving as JSON, comparison, restore."""

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
    """One class that differs; ``detail`` describes it in the snapshot and the store."""

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
    """Return the validated snapshot in ``raw``, or ``INVALID_CLASS``."""
    try:
        value: _SnapshotDocument = json.loads(raw)
        if value["format"] != FORMAT_VERSION:
            return _fail_invalid(
                f"format: expected {FORMAT_VERSION}, found {value['format']}"
            )
        rows = [(int(r["revision"]), r["document"].encode()) for r in value["classes"]]
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as cause:
        return _fail_invalid(f"not a valid snapshot: {cause!r}")
    stored: list[_repository.StoredClass] = []
    for revision, document in rows:
        decoded = classes.decode_document(document)
        if decoded.is_error():
            return expression.Error(decoded.error)
        stored.append(_repository.StoredClass(decoded.ok, revision))
    return expression.Ok(Snapshot(tuple(stored)))


class SnapshotManager:
    """Saves, compares and restores the classes of one store.

    A restore writes nothing if any class has changed since the snapshot was saved,
    unless overwriting is allowed. It deletes nothing. Each write is a compare-and-swap
    against the revision that was compared, so it does not overwrite a change made in
    the meantime either.
    """

    def __init__(self, repository: _repository.ClassRepository) -> None:
        self._repository = repository

    async def save(self) -> expression.Result[Snapshot, errors.Failure]:
        """Return a snapshot of the current classes."""
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
        self, snapshot: Snapshot, may_overwrite: bool
    ) -> expression.Result[RestoreReport, errors.Failure]:
        """Write missing classes and, with ``may_overwrite``, changed classes.

        Without it, a changed class is a ``STORE_CONFLICT``.
        """
        listed = await self._repository.list_classes()
        if listed.is_error():
            return expression.Error(listed.error)
        differences = _list_differences(snapshot, listed.ok)
        changed = [row for row in differences if row.kind is DifferenceKind.CHANGED]
        if changed and not may_overwrite:
            names = ", ".join(row.name for row in changed)
            detail = f"changed since the snapshot: {names}; nothing was written"
            return expression.Error(
                errors.fail(errors.ErrorKind.STORE_CONFLICT, detail)
            )
        revisions = {row.request_class.name: row.revision for row in listed.ok}
        saved = {row.request_class.name: row for row in snapshot.stored}
        written: list[str] = []
        for row in differences:
            if row.kind is DifferenceKind.EXTRA:
                continue
            change = await self._repository.write_class(
                saved[row.name].request_class, revisions.get(row.name, 0)
            )
            if change.is_error():
                return expression.Error(_append_written_names(change.error, written))
            written.append(row.name)
        return expression.Ok(RestoreReport(tuple(written)))


def _list_differences(
    snapshot: Snapshot, listed: list[_repository.StoredClass]
) -> list[Difference]:
    current = {row.request_class.name: row.request_class for row in listed}
    saved = {row.request_class.name: row.request_class for row in snapshot.stored}
    differences: list[Difference] = []
    for name in sorted(current.keys() | saved.keys()):
        if name not in current:
            detail = f"snapshot: {_describe(saved[name])}"
            differences.append(Difference(name, DifferenceKind.MISSING, detail))
        elif name not in saved:
            detail = f"store: {_describe(current[name])}"
            differences.append(Difference(name, DifferenceKind.EXTRA, detail))
        elif current[name]._replace(change_id="") != saved[name]._replace(change_id=""):
            detail = f"snapshot: {_describe(saved[name])}; store: "
            detail += _describe(current[name])
            differences.append(Difference(name, DifferenceKind.CHANGED, detail))
    return differences


def _describe(request_class: classes.RequestClass) -> str:
    kind = "idempotent" if request_class.is_idempotent else "not idempotent"
    methods = ",".join(request_class.methods) or "any"
    target = request_class.target
    return (
        f"{request_class.service} {methods} {request_class.path_prefix} {kind} "
        f"{target.percentile:g} % within {target.latency_ms} ms"
    )


def _append_written_names(
    failure: errors.Failure, written: list[str]
) -> errors.Failure:
    if not written:
        return failure
    names = ", ".join(written)
    return failure._replace(detail=f"{failure.detail}; already written: {names}")


def _fail_invalid(detail: str) -> expression.Result[Snapshot, errors.Failure]:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
