"""Command that tells where a request would go now, without sending it."""

import argparse
import urllib.parse
from typing import cast

import expression

from umberdrum import admin, errors
from umberdrum.commandline import _daemon_commands, _options, _render

OutputResult = expression.Result[str, errors.Failure]


async def run_where_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Ask the first daemon in the options, which would be the entry daemon."""
    lacking = _daemon_commands.find_missing_admin(options)
    if lacking is not None:
        return expression.Error(lacking)
    query = urllib.parse.urlencode(
        {
            "host": arguments.host,
            "method": arguments.method,
            "path": arguments.path,
            "account": arguments.account,
            "body_bytes": arguments.body_bytes,
        }
    )
    response = await _daemon_commands.request_daemon(
        "GET", options.admin_addresses[0], f"/v1/where?{query}"
    )
    if response.is_error():
        return expression.Error(response.error)
    if options.is_json:
        return expression.Ok(_render.render_json(response.ok))
    report = cast(admin.WhereReport, response.ok)
    summary = {
        name: value
        for name, value in report.items()
        if name not in ("zones", "candidates")
    }
    text = _render.render_fields(summary) + "\n"
    text += _render.render_table(report["zones"]) + "\n"
    return expression.Ok(text + _render.render_table(report["candidates"]))
