"""Classes in the store: one key each, changed by compare-and-swap."""

from typing import NamedTuple

import expression
import trio

from umberdrum import classes, errors, store

SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_SECONDS = 0.3


class StoredClass(NamedTuple):
    """Class as the store holds it."""

    request_class: classes.RequestClass
    revision: int


class ClassChange(NamedTuple):
    """Accepted change: the revision from which it is in force."""

    name: str
    revision: int


class ClassRepository:
    """Operators' way to the classes in the store.

    Every change names the revision that it is based on, so that of two operators one
    wins and the other learns what is there now. A change whose answer was lost is
    settled by reading back its change id; while that is impossible its outcome is
    unknown, never failed.
    """

    def __init__(self, target_store: store.Store, prefix: str) -> None:
        self._store = target_store
        self._prefix = prefix + "/classes/"

    async def list_classes(
        self,
    ) -> expression.Result[list[StoredClass], errors.Failure]:
        """Return all classes in the order of names."""
        listed = await self._store.list_prefix(self._prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        found: list[StoredClass] = []
        for item in listed.ok.items:
            decoded = classes.decode_document(item.value)
            if decoded.is_ok():
                found.append(StoredClass(decoded.ok, item.mod_revision))
        found.sort(key=_get_name)
        return expression.Ok(found)

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
        """Create the class (``expected_revision`` 0) or replace that revision of it."""
        checked = classes.check_class(request_class)
        if checked.is_error():
            return expression.Error(checked.error)
        key = self._prefix + request_class.name
        document = classes.encode_document(request_class)
        swapped = await self._store.compare_and_swap(key, expected_revision, document)
        if swapped.is_error():
            kind = swapped.error.kind
            if kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                return await self._settle_write(request_class, expected_revision)
            return expression.Error(swapped.error)
        if swapped.ok.is_applied:
            return expression.Ok(ClassChange(request_class.name, swapped.ok.revision))
        return _judge_found(request_class, swapped.ok.current)

    async def delete_class(
        self, name: str, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Delete that revision of the class."""
        key = self._prefix + name
        deleted = await self._store.delete(key, expected_revision)
        if deleted.is_error():
            kind = deleted.error.kind
            if kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                return await self._settle_delete(name, expected_revision)
            return expression.Error(deleted.error)
        if deleted.ok.is_applied:
            return expression.Ok(ClassChange(name, deleted.ok.revision))
        return expression.Error(_report_conflict(name, deleted.ok.current))

    async def _settle_write(
        self, request_class: classes.RequestClass, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Find out by the change id whether a write took effect."""
        key = self._prefix + request_class.name
        for _ in range(SETTLE_ATTEMPTS):
            await trio.sleep(SETTLE_PAUSE_SECONDS)
            got = await self._store.get(key)
            if got.is_error():
                continue
            found_revision = got.ok.mod_revision if got.ok is not None else 0
            if found_revision != expected_revision:
                return _judge_found(request_class, got.ok)
            # Nothing has changed yet. Sending the same change again is safe: only one
            # of the two can find the expected revision.
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
            return _judge_found(request_class, swapped.ok.current)
        return expression.Error(_report_unknown(request_class.name))

    async def _settle_delete(
        self, name: str, expected_revision: int
    ) -> expression.Result[ClassChange, errors.Failure]:
        """Find out whether a deletion took effect, and repeat it if not."""
        key = self._prefix + name
        for _ in range(SETTLE_ATTEMPTS):
            await trio.sleep(SETTLE_PAUSE_SECONDS)
            deleted = await self._store.delete(key, expected_revision)
            if deleted.is_error():
                continue
            if deleted.ok.is_applied or deleted.ok.current is None:
                return expression.Ok(ClassChange(name, deleted.ok.revision))
            return expression.Error(_report_conflict(name, deleted.ok.current))
        return expression.Error(_report_unknown(name))


def _judge_found(
    request_class: classes.RequestClass, found: store.KeyValue | None
) -> expression.Result[ClassChange, errors.Failure]:
    """Return success if what is there now is this very change, else the conflict."""
    if found is not None:
        decoded = classes.decode_document(found.value)
        if decoded.is_ok() and decoded.ok.change_id == request_class.change_id:
            return expression.Ok(ClassChange(request_class.name, found.mod_revision))
    return expression.Error(_report_conflict(request_class.name, found))


def _report_conflict(name: str, found: store.KeyValue | None) -> errors.Failure:
    if found is None:
        detail = f"class {name} does not exist now"
        return errors.fail(errors.ErrorKind.STORE_CONFLICT, detail)
    decoded = classes.decode_document(found.value)
    shown = "an invalid document"
    if decoded.is_ok():
        target = decoded.ok.target
        shown = f"target {target.percentile:g} % within {target.latency_ms} ms"
    detail = f"class {name} is now at revision {found.mod_revision}: {shown}"
    return errors.fail(errors.ErrorKind.STORE_CONFLICT, detail)


def _report_unknown(name: str) -> errors.Failure:
    return errors.fail(
        errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
        f"the store did not tell whether the change of class {name} took effect; "
        "read the class before changing it again",
        errors.Execution.MAY_HAVE_RUN,
    )


def _get_name(stored: StoredClass) -> str:
    return stored.request_class.name
