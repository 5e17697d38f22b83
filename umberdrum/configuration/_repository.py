"""Request classes in the store: one key each, changed by compare-and-swap."""

from typing import NamedTuple

import expression
import trio

from umberdrum import classes, errors, store
from umberdrum.configuration import _documents

MAX_OUTCOME_CHECKS = 5
OUTCOME_CHECK_INTERVAL_SECONDS = 0.3


class StoredClass(NamedTuple):
    """Class in the store and the revision of its last change."""

    request_class: classes.RequestClass
    revision: int


class ClassChange(NamedTuple):
    """Change that took effect, and the store revision that it created."""

    name: str
    revision: int


class ClassRepository:
    """Reads and changes the operators' classes in the store.

    Every change names the revision that it is based on. If two operators change the
    same revision, one change succeeds and the other fails with the current state. A
    change whose answer was lost is resolved by reading its change id back. If that is
    not possible, the outcome is reported as unknown, never as failed.
    """

    def __init__(self, target_store: store.Store, prefix: str) -> None:
        self._store = target_store
        self._prefix = _documents.build_documents_prefix(prefix)

    async def list_classes(
        self,
    ) -> expression.Result[list[StoredClass], errors.Failure]:
        """Return all classes in the order of names; invalid documents are skipped."""
        listed = await self._store.list_prefix(self._prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        rows: list[StoredClass] = []
        for item in listed.ok.items:
            decoded = classes.decode_document(item.value)
            if decoded.is_ok():
                rows.append(StoredClass(decoded.ok, item.mod_revision))
        rows.sort(key=_get_name)
        return expression.Ok(rows)

    async def get_class(
        self, name: str
    ) -> expression.Result[StoredClass | None, errors.Failure]:
        """Return one class, or None if it does not exist."""
        got = await self._store.get(self._prefix + name)
        if got.is_error():
            return expression.Error(got.error)
        if got.ok is None:
            return expression.Ok(None)
        decoded = classes.decode_document(got.ok.value)
        if decoded.is_error():
            return expression.Error(decoded.error)
        return expression.Ok(StoredClass(decoded.ok, got.ok.mod_revision))

    async def write_class(
        self, request_class: classes.RequestClass, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Create the class (``expected_revision`` 0) or replace that revision of it.

        An invalid class fails without a store call.
        """
        checked = classes.check_class(request_class)
        if checked.is_error():
            return expression.Error(checked.error)
        key = self._prefix + request_class.name
        document = classes.encode_document(request_class)
        swapped = await self._store.compare_and_swap(key, expected_revision, document)
        if swapped.is_error():
            kind = swapped.error.kind
            if kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                return await self._resolve_write(request_class, expected_revision)
            return expression.Error(swapped.error)
        if swapped.ok.is_applied:
            return expression.Ok(ClassChange(request_class.name, swapped.ok.revision))
        return _check_change_id(request_class, swapped.ok.current)

    async def delete_class(
        self, name: str, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Delete the class if it is still at ``expected_revision``."""
        key = self._prefix + name
        deleted = await self._store.delete(key, expected_revision)
        if deleted.is_error():
            kind = deleted.error.kind
            if kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                return await self._resolve_delete(name, expected_revision)
            return expression.Error(deleted.error)
        if deleted.ok.is_applied:
            return expression.Ok(ClassChange(name, deleted.ok.revision))
        return expression.Error(_build_conflict(name, deleted.ok.current))

    async def _resolve_write(
        self, request_class: classes.RequestClass, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Determine by the change id whether a write took effect; repeat it if not."""
        key = self._prefix + request_class.name
        for _ in range(MAX_OUTCOME_CHECKS):
            await trio.sleep(OUTCOME_CHECK_INTERVAL_SECONDS)
            got = await self._store.get(key)
            if got.is_error():
                continue
            found_revision = got.ok.mod_revision if got.ok is not None else 0
            if found_revision != expected_revision:
                return _check_change_id(request_class, got.ok)
            # The key is unchanged so far. Sending the same change again is safe: only
            # one of the two writes can find the expected revision.
            document = classes.encode_document(request_class)
            swapped = await self._store.compare_and_swap(
                key, expected_revision, document
            )
            if swapped.is_error():
                continue
            if swapped.ok.is_applied:
                return expression.Ok(
                    ClassChange(request_class.name, swapped.ok.revision)
                )
            return _check_change_id(request_class, swapped.ok.current)
        return expression.Error(_build_unknown_outcome(request_class.name))

    async def _resolve_delete(
        self, name: str, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Determine whether a deletion took effect; repeat it if not."""
        key = self._prefix + name
        for _ in range(MAX_OUTCOME_CHECKS):
            await trio.sleep(OUTCOME_CHECK_INTERVAL_SECONDS)
            deleted = await self._store.delete(key, expected_revision)
            if deleted.is_error():
                continue
            if deleted.ok.is_applied or deleted.ok.current is None:
                return expression.Ok(ClassChange(name, deleted.ok.revision))
            return expression.Error(_build_conflict(name, deleted.ok.current))
        return expression.Error(_build_unknown_outcome(name))


def _check_change_id(
    request_class: classes.RequestClass, current: store.KeyValue | None
) -> expression.Result[ClassChange, errors.Failure]:
    """Return success if the current document is this change, else a conflict."""
    if current is not None:
        decoded = classes.decode_document(current.value)
        if decoded.is_ok() and decoded.ok.change_id == request_class.change_id:
            return expression.Ok(ClassChange(request_class.name, current.mod_revision))
    return expression.Error(_build_conflict(request_class.name, current))


def _build_conflict(name: str, current: store.KeyValue | None) -> errors.Failure:
    if current is None:
        detail = f"class {name} does not exist"
        return errors.fail(errors.ErrorKind.STORE_CONFLICT, detail)
    decoded = classes.decode_document(current.value)
    description = "an invalid document"
    if decoded.is_ok():
        target = decoded.ok.target
        description = f"target {target.percentile:g} % within {target.latency_ms} ms"
    detail = f"class {name} is now at revision {current.mod_revision}: {description}"
    return errors.fail(errors.ErrorKind.STORE_CONFLICT, detail)


def _build_unknown_outcome(name: str) -> errors.Failure:
    return errors.fail(
        errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
        f"the store did not confirm whether the change of class {name} took effect; "
        "read the class before changing it again",
        errors.Execution.MAY_HAVE_RUN,
    )


def _get_name(stored: StoredClass) -> str:
    return stored.request_class.name
