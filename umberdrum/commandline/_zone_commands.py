"""Commands that take availability zones out of service and back."""

import argparse
from typing import TypedDict

import expression

from umberdrum import configuration, errors
from umberdrum.commandline import _class_commands, _options, _render

OutputResult = expression.Result[str, errors.Failure]


class ZoneRow(TypedDict):
    """Availability zone as printed by the commands."""

    zone: str
    state: str
    revision: int


async def run_zone_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Run one ``zone`` command and return its output."""
    opened = _class_commands.open_store(options)
    if opened.is_error():
        return expression.Error(opened.error)
    etcd = opened.ok
    try:
        repository = configuration.ZoneRepository(etcd, options.prefix)
        if arguments.action == "list":
            return await _list(options, repository)
        change = repository.drain
        if arguments.action == "restore":
            change = repository.restore
        changed = await change(arguments.zone)
    finally:
        etcd.close()
    if changed.is_error():
        return expression.Error(changed.error)
    row = _build_row(changed.ok)
    if options.is_json:
        return expression.Ok(_render.render_json(row))
    return expression.Ok(f"zone {row['zone']} is {row['state']}\n")


async def _list(
    options: _options.ToolOptions, repository: configuration.ZoneRepository
) -> OutputResult:
    listed = await repository.list_zones()
    if listed.is_error():
        return expression.Error(listed.error)
    rows = [_build_row(order) for order in listed.ok]
    if options.is_json:
        return expression.Ok(_render.render_json({"zones": rows}))
    return expression.Ok(_render.render_table(rows))


def _build_row(order: configuration.ZoneOrder) -> ZoneRow:
    return {
        "zone": order.zone,
        "state": "drained" if order.is_drained else "in service",
        "revision": order.revision,
    }
