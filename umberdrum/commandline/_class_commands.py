"""Commands on classes; they contact only the store."""

import argparse
import uuid
from typing import TypedDict

import expression

from umberdrum import classes, configuration, errors, store
from umberdrum.commandline import _options, _render

OutputResult = expression.Result[str, errors.Failure]
STORE_TIMEOUT_SECONDS = 3.0


class ClassRow(TypedDict):
    """Output of ``class list`` and ``class show`` for one class."""

    name: str
    service: str
    path: str
    methods: list[str]
    idempotent: bool
    target_ms: int
    percentile: float
    revision: int


class ChangeRow(TypedDict):
    """Output for a change that the store accepted."""

    name: str
    revision: int
    change: str


async def run_class_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Run one ``class`` command and return its output."""
    opened = open_store(options)
    if opened.is_error():
        return expression.Error(opened.error)
    etcd = opened.ok
    repository = configuration.ClassRepository(etcd, options.prefix)
    try:
        if arguments.action == "create":
            return await _create(arguments, options, repository)
        if arguments.action == "set":
            return await _set(arguments, options, repository)
        if arguments.action == "delete":
            return await _delete(arguments, options, repository)
        if arguments.action == "show":
            return await _show(arguments, options, repository)
        return await _list(options, repository)
    finally:
        etcd.close()


def open_store(
    options: _options.ToolOptions,
) -> expression.Result[store.EtcdStore, errors.Failure]:
    """Return a client for the store in the options; the caller closes it."""
    if not options.store_addresses:
        detail = "expected --store or [tool] store, found neither"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    etcd = store.EtcdStore(
        options.store_addresses, store.StoreCallCounter(), STORE_TIMEOUT_SECONDS
    )
    return expression.Ok(etcd)


async def _create(
    arguments: argparse.Namespace,
    options: _options.ToolOptions,
    repository: configuration.ClassRepository,
) -> OutputResult:
    request_class = classes.RequestClass(
        name=arguments.name,
        service=arguments.service,
        methods=tuple(arguments.method),
        path_prefix=arguments.path,
        is_idempotent=arguments.idempotent,
        target=classes.Target(arguments.target_ms, arguments.percentile),
        change_id=uuid.uuid4().hex,
    )
    written = await repository.write_class(request_class, 0)
    return _render_change(written, "created", options)


async def _set(
    arguments: argparse.Namespace,
    options: _options.ToolOptions,
    repository: configuration.ClassRepository,
) -> OutputResult:
    if arguments.target_ms is None and arguments.percentile is None:
        detail = "expected --target-ms or --percentile, found neither"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
    found = await _get_class(arguments.name, repository)
    if found.is_error():
        return expression.Error(found.error)
    current = found.ok.request_class
    target = current.target
    if arguments.target_ms is not None:
        target = target._replace(latency_ms=arguments.target_ms)
    if arguments.percentile is not None:
        target = target._replace(percentile=arguments.percentile)
    changed = current._replace(target=target, change_id=uuid.uuid4().hex)
    revision = arguments.expect_revision or found.ok.revision
    written = await repository.write_class(changed, revision)
    return _render_change(written, "changed", options)


async def _delete(
    arguments: argparse.Namespace,
    options: _options.ToolOptions,
    repository: configuration.ClassRepository,
) -> OutputResult:
    found = await _get_class(arguments.name, repository)
    if found.is_error():
        return expression.Error(found.error)
    revision = arguments.expect_revision or found.ok.revision
    deleted = await repository.delete_class(arguments.name, revision)
    return _render_change(deleted, "deleted", options)


async def _show(
    arguments: argparse.Namespace,
    options: _options.ToolOptions,
    repository: configuration.ClassRepository,
) -> OutputResult:
    found = await _get_class(arguments.name, repository)
    if found.is_error():
        return expression.Error(found.error)
    row = _build_row(found.ok)
    if options.is_json:
        return expression.Ok(_render.render_json(row))
    return expression.Ok(_render.render_fields(row))


async def _list(
    options: _options.ToolOptions, repository: configuration.ClassRepository
) -> OutputResult:
    listed = await repository.list_classes()
    if listed.is_error():
        return expression.Error(listed.error)
    rows = [_build_row(stored) for stored in listed.ok]
    if options.is_json:
        return expression.Ok(_render.render_json({"classes": rows}))
    return expression.Ok(_render.render_table(rows))


async def _get_class(
    name: str, repository: configuration.ClassRepository
) -> expression.Result[configuration.StoredClass, errors.Failure]:
    """Return the stored class, or a ``NOT_FOUND`` failure if it does not exist."""
    found = await repository.get_class(name)
    if found.is_error():
        return expression.Error(found.error)
    if found.ok is None:
        detail = f"no class is named {name!r}"
        return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
    return expression.Ok(found.ok)


def _build_row(stored: configuration.StoredClass) -> ClassRow:
    request_class = stored.request_class
    return {
        "name": request_class.name,
        "service": request_class.service,
        "path": request_class.path_prefix,
        "methods": list(request_class.methods),
        "idempotent": request_class.is_idempotent,
        "target_ms": request_class.target.latency_ms,
        "percentile": request_class.target.percentile,
        "revision": stored.revision,
    }


def _render_change(
    change: expression.Result[configuration.ClassChange, errors.Failure],
    verb: str,
    options: _options.ToolOptions,
) -> OutputResult:
    if change.is_error():
        return expression.Error(change.error)
    row: ChangeRow = {
        "name": change.ok.name,
        "revision": change.ok.revision,
        "change": verb,
    }
    if options.is_json:
        return expression.Ok(_render.render_json(row))
    return expression.Ok(f"class {row['name']} {verb} at revision {row['revision']}\n")
