"""Commands on snapshots: files on the operator's side, classes in the store."""

import argparse
import pathlib
import uuid
from typing import TypedDict

import expression

from umberdrum import configuration, errors
from umberdrum.commandline import _class_commands, _options, _render


class DifferenceRow(TypedDict):
    """One difference as ``snapshot diff`` prints it."""

    name: str
    difference: str
    detail: str


async def run_snapshot_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> _class_commands.OutputResult:
    """Run one ``snapshot`` command and return its output."""
    opened = _class_commands.open_store(options)
    if opened.is_error():
        return expression.Error(opened.error)
    repository = configuration.ClassRepository(opened.ok, options.prefix)
    keeper = configuration.SnapshotManager(repository)
    path = pathlib.Path(arguments.file)
    try:
        if arguments.action == "save":
            return await _save(path, options, keeper)
        read = _read_file(path)
        if read.is_error():
            return expression.Error(read.error)
        if arguments.action == "diff":
            return await _diff(read.ok, options, keeper)
        return await _restore(read.ok, arguments.overwrite, options, keeper)
    finally:
        opened.ok.close()


async def _save(
    path: pathlib.Path,
    options: _options.ToolOptions,
    keeper: configuration.SnapshotManager,
) -> _class_commands.OutputResult:
    saved = await keeper.save()
    if saved.is_error():
        return expression.Error(saved.error)
    try:
        path.write_bytes(configuration.encode_snapshot(saved.ok))
    except OSError as fault:
        detail = f"{path}: {fault}"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    n_classes = len(saved.ok.stored)
    if options.is_json:
        value = {"file": str(path), "n_classes": n_classes}
        return expression.Ok(_render.render_json(value))
    return expression.Ok(f"{n_classes} classes saved to {path}\n")


async def _diff(
    snapshot: configuration.Snapshot,
    options: _options.ToolOptions,
    keeper: configuration.SnapshotManager,
) -> _class_commands.OutputResult:
    compared = await keeper.compare(snapshot)
    if compared.is_error():
        return expression.Error(compared.error)
    rows: list[DifferenceRow] = [
        {"name": row.name, "difference": row.kind.value, "detail": row.detail}
        for row in compared.ok
    ]
    if options.is_json:
        return expression.Ok(_render.render_json({"differences": rows}))
    return expression.Ok(_render.render_table(rows))


async def _restore(
    snapshot: configuration.Snapshot,
    is_overwriting: bool,
    options: _options.ToolOptions,
    keeper: configuration.SnapshotManager,
) -> _class_commands.OutputResult:
    restored = await keeper.restore(_mark_as_new(snapshot), is_overwriting)
    if restored.is_error():
        return expression.Error(restored.error)
    names = list(restored.ok.written)
    if options.is_json:
        return expression.Ok(_render.render_json({"written": names}))
    return expression.Ok(f"{len(names)} classes written: {', '.join(names) or '-'}\n")


def _mark_as_new(snapshot: configuration.Snapshot) -> configuration.Snapshot:
    """Give each class a new change id, by which a lost answer can be settled."""
    stored = [
        row._replace(
            request_class=row.request_class._replace(change_id=uuid.uuid4().hex)
        )
        for row in snapshot.stored
    ]
    return configuration.Snapshot(tuple(stored))


def _read_file(
    path: pathlib.Path,
) -> expression.Result[configuration.Snapshot, errors.Failure]:
    try:
        raw = path.read_bytes()
    except OSError as fault:
        detail = f"{path}: {fault}"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    return configuration.decode_snapshot(raw)
