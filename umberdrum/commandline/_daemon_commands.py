"""Commands that send requests to the admin addresses of daemons."""

import argparse
import urllib.parse
from collections.abc import Mapping
from typing import NamedTuple, TypedDict, cast

import expression

from umberdrum import admin, errors, jsonclient, settings
from umberdrum.commandline import _options, _render

TIMEOUT_SECONDS = 3.0
OutputResult = expression.Result[str, errors.Failure]


class DaemonAnswers(NamedTuple):
    """Reports of the daemons that answered, and addresses of those that didn't."""

    reports: list[Mapping[str, object]]
    unreachable: list[str]


class StatusOutput(TypedDict):
    """Output of ``status``, merged from all daemons that responded.

    ``holds`` says whether every class meets its target.
    """

    classes: list[admin.ClassReport]
    endpoints: list[admin.EndpointReport]
    daemons: list[str]
    unreachable: list[str]
    holds: bool


async def run_daemon_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Run ``status``, ``drain`` or ``explain`` and return its output."""
    lacking = find_missing_admin(options)
    if lacking is not None:
        return expression.Error(lacking)
    if arguments.command == "status":
        return await _show_status(arguments, options)
    if arguments.command == "drain":
        return await _drain(arguments, options)
    return await _explain(arguments, options)


async def _show_status(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    answers = await ask_daemons(options, "/v1/status")
    if answers.is_error():
        return expression.Error(answers.error)
    reports = [cast(admin.StatusReport, report) for report in answers.ok.reports]
    output = _merge_reports(reports, answers.ok.unreachable)
    arguments.is_target_missed = not output["holds"]
    if options.is_json:
        return expression.Ok(_render.render_json(output))
    return expression.Ok(_render_status(output))


async def _drain(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    if len(options.admin_addresses) != 1:
        detail = f"expected one admin address, found {len(options.admin_addresses)}"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    method = "DELETE" if arguments.lift else "POST"
    response = await request_daemon(method, options.admin_addresses[0], "/v1/drain")
    if response.is_error():
        return expression.Error(response.error)
    if options.is_json:
        return expression.Ok(_render.render_json(response.ok))
    action = "lifted" if arguments.lift else "ordered"
    return expression.Ok(f"drain {action} at {options.admin_addresses[0]}\n")


async def _explain(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    query = urllib.parse.urlencode(
        {
            "service": arguments.service,
            "method": arguments.method,
            "path": arguments.path,
        }
    )
    path = f"/v1/explain?{query}"
    response = await request_daemon("GET", options.admin_addresses[0], path)
    if response.is_error():
        return expression.Error(response.error)
    if options.is_json:
        return expression.Ok(_render.render_json(response.ok))
    report = cast(admin.ExplainReport, response.ok)
    summary = {key: value for key, value in report.items() if key != "candidates"}
    text = _render.render_fields(summary) + "\n"
    return expression.Ok(text + _render.render_table(report["candidates"]))


def find_missing_admin(options: _options.ToolOptions) -> errors.Failure | None:
    """Return the failure if no admin address is set, else None."""
    if options.admin_addresses:
        return None
    detail = "expected --admin or [tool] admin, found neither"
    return errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail)


async def ask_daemons(
    options: _options.ToolOptions, path: str
) -> expression.Result[DaemonAnswers, errors.Failure]:
    """Return the reports of all daemons in the options; a failure if none answers."""
    answers = DaemonAnswers([], [])
    for address in options.admin_addresses:
        response = await request_daemon("GET", address, path)
        if response.is_error():
            answers.unreachable.append(str(address))
            continue
        answers.reports.append(response.ok)
    if answers.reports:
        return expression.Ok(answers)
    detail = "no daemon answers at " + ", ".join(answers.unreachable)
    return expression.Error(errors.fail(errors.ErrorKind.DAEMON_UNAVAILABLE, detail))


async def request_daemon(
    method: str, address: settings.Address, path: str
) -> jsonclient.JsonResult:
    """Send one request to the admin address of a daemon and return its answer."""
    kind = errors.ErrorKind.DAEMON_UNAVAILABLE
    client = jsonclient.JsonClient(
        (address,), TIMEOUT_SECONDS, jsonclient.FailureKinds(kind, kind)
    )
    try:
        return await client.request(method, path, {}, is_write=False)
    finally:
        client.close()


def _merge_reports(
    reports: list[admin.StatusReport], unreachable: list[str]
) -> StatusOutput:
    """Merge the reports of several daemons.

    The calls of each class are summed. Each endpoint is listed once, as reported by
    its own daemon if that daemon responded.
    """
    merged: dict[str, admin.ClassReport] = {}
    endpoints: dict[str, admin.EndpointReport] = {}
    for report in reports:
        for row in report["classes"]:
            current = merged.get(row["name"])
            merged[row["name"]] = row if current is None else _merge_class(current, row)
        for endpoint in report["endpoints"]:
            is_own = endpoint["endpoint"] == report["daemon"]
            if is_own or endpoint["endpoint"] not in endpoints:
                endpoints[endpoint["endpoint"]] = endpoint
    class_rows = [merged[name] for name in sorted(merged)]
    return {
        "classes": class_rows,
        "endpoints": [endpoints[name] for name in sorted(endpoints)],
        "daemons": [report["daemon"] for report in reports],
        "unreachable": unreachable,
        "holds": all(row["holds"] for row in class_rows),
    }


def _merge_class(
    left: admin.ClassReport, right: admin.ClassReport
) -> admin.ClassReport:
    """Merge the reports of two daemons on one class.

    The calls are summed. The achieved latency is the higher of the two, or None if
    either daemon reports none. The target comes from the report with the higher
    revision.
    """
    n_calls = left["n_calls"] + right["n_calls"]
    n_within = left["share_within"] * left["n_calls"]
    n_within += right["share_within"] * right["n_calls"]
    newer = left if left["revision"] >= right["revision"] else right
    share_within = n_within / n_calls if n_calls else 100.0
    achieved: float | None = None
    if left["achieved_ms"] is not None and right["achieved_ms"] is not None:
        achieved = max(left["achieved_ms"], right["achieved_ms"])
    return {
        **newer,
        "n_calls": n_calls,
        "n_failed": left["n_failed"] + right["n_failed"],
        "share_within": round(share_within, 3),
        "achieved_ms": achieved,
        "holds": share_within >= newer["percentile"],
        "reason": left["reason"] or right["reason"],
    }


def _render_status(output: StatusOutput) -> str:
    text = _render.render_table(output["classes"])
    text += "\n" + _render.render_table(output["endpoints"])
    if output["unreachable"]:
        text += "\nno answer from " + ", ".join(output["unreachable"]) + "\n"
    return text
