"""Commands that save, compare and restore the classes of the store as local files."""

import argparse
import pathlib
import uuid
from typing import TypedDict

import expression

from umberdrum import configuration, errors
from umberdrum.commandline import _class_commands, _options, _render


class DifferenceRow(TypedDict):
    """Output of ``snapshot diff`` for one class."""

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
    manager = configuration.SnapshotManager(repository)
    path = pathlib.Path(arguments.file)
    try:
        if arguments.action == "save":
            return await _save(path, options, manager)
        read = _read_snapshot(path)
        if read.is_error():
            return expression.Error(read.error)
        if arguments.action == "diff":
            return await _diff(read.ok, options, manager)
        return await _restore(read.ok, arguments.overwrite, options, manager)
    finally:
        opened.ok.close()


async def _save(
    path: pathlib.Path,
    options: _options.ToolOptions,
    manager: configuration.SnapshotManager,
) -> _class_commands.OutputResult:
    saved = await manager.save()
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
    manager: configuration.SnapshotManager,
) -> _class_commands.OutputResult:
    compared = await manager.compare(snapshot)
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
    manager: configuration.SnapshotManager,
) -> _class_commands.OutputResult:
    restored = await manager.restore(_assign_change_ids(snapshot), is_overwriting)
    if restored.is_error():
        return expression.Error(restored.error)
    names = list(restored.ok.written)
    if options.is_json:
        return expression.Ok(_render.render_json({"written": names}))
    return expression.Ok(f"{len(names)} classes written: {', '.join(names) or '-'}\n")


def _assign_change_ids(snapshot: configuration.Snapshot) -> configuration.Snapshot:
    """Return ``snapshot`` with a new change id for each class.

    When the response to a write is lost, the change id in the store shows whether the
    write took effect.
    """
    stored = [
        row._replace(
            request_class=row.request_class._replace(change_id=uuid.uuid4().hex)
        )
        for row in snapshot.stored
    ]
    return configuration.Snapshot(tuple(stored))


def _read_snapshot(
    path: pathlib.Path,
) -> expression.Result[configuration.Snapshot, errors.Failure]:
    try:
        raw = path.read_bytes()
    except OSError as fault:
        detail = f"{path}: {fault}"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    return configuration.decode_snapshot(raw)
