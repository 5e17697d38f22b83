"""Commands that show client accounts, as the daemons report them."""

import argparse
from typing import TypedDict, cast

import expression

from umberdrum import admin, errors
from umberdrum.commandline import _daemon_commands, _options, _render

OutputResult = expression.Result[str, errors.Failure]


class AllotmentRow(TypedDict):
    """Account with its allotment; a rate of 0 means no limit."""

    account: str
    priority: int
    rate_per_second: float
    burst: float
    n_keys: int


class UsageRow(TypedDict):
    """Requests of an account, and its share of those of all accounts in percent."""

    account: str
    n_asked: int
    n_served: int
    n_over_limit: int
    n_refused: int
    n_failed: int
    share_percent: float


async def run_account_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Run ``account list``, ``account usage`` or ``account show``."""
    lacking = _daemon_commands.find_missing_admin(options)
    if lacking is not None:
        return expression.Error(lacking)
    answers = await _daemon_commands.ask_daemons(options, "/v1/accounts")
    if answers.is_error():
        return expression.Error(answers.error)
    unreachable = answers.ok.unreachable
    merged: dict[str, admin.AccountReport] = {}
    for report in answers.ok.reports:
        _merge(merged, cast(list[admin.AccountReport], report["accounts"]))
    if arguments.action == "show":
        return _show(arguments.account, merged, options)
    if arguments.action == "list":
        rows = [_build_allotment_row(merged[name]) for name in sorted(merged)]
        return expression.Ok(_render_rows(rows, unreachable, options))
    usage_rows = _build_usage_rows(merged)[: arguments.most]
    return expression.Ok(_render_rows(usage_rows, unreachable, options))


def _merge(
    merged: dict[str, admin.AccountReport], reports: list[admin.AccountReport]
) -> None:
    """Add the reports of one daemon; counts are summed."""
    for row in reports:
        current = merged.get(row["account"])
        if current is None:
            merged[row["account"]] = row
            continue
        current["n_asked"] += row["n_asked"]
        current["n_served"] += row["n_served"]
        current["n_over_limit"] += row["n_over_limit"]
        current["n_refused"] += row["n_refused"]
        current["n_failed"] += row["n_failed"]


def _show(
    name: str, merged: dict[str, admin.AccountReport], options: _options.ToolOptions
) -> OutputResult:
    report = merged.get(name)
    if report is None:
        known = ", ".join(sorted(merged)[:10]) or "none"
        detail = f"no account is named {name!r}; known accounts: {known}"
        return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
    if options.is_json:
        return expression.Ok(_render.render_json(report))
    return expression.Ok(_render.render_fields(report))


def _build_allotment_row(report: admin.AccountReport) -> AllotmentRow:
    return {
        "account": report["account"],
        "priority": report["priority"],
        "rate_per_second": report["rate_per_second"],
        "burst": report["burst"],
        "n_keys": report["n_keys"],
    }


def _build_usage_rows(merged: dict[str, admin.AccountReport]) -> list[UsageRow]:
    """Return the accounts with most requests first."""
    n_all = sum(report["n_asked"] for report in merged.values())
    rows: list[UsageRow] = []
    for report in merged.values():
        rows.append(
            {
                "account": report["account"],
                "n_asked": report["n_asked"],
                "n_served": report["n_served"],
                "n_over_limit": report["n_over_limit"],
                "n_refused": report["n_refused"],
                "n_failed": report["n_failed"],
                "share_percent": round(100 * report["n_asked"] / max(1, n_all), 1),
            }
        )
    rows.sort(key=lambda row: (-row["n_asked"], row["account"]))
    return rows


def _render_rows(
    rows: list[AllotmentRow] | list[UsageRow],
    unreachable: list[str],
    options: _options.ToolOptions,
) -> str:
    if options.is_json:
        return _render.render_json({"accounts": rows, "unreachable": unreachable})
    text = _render.render_table(rows)
    if unreachable:
        text += "\nno answer from " + ", ".join(unreachable) + "\n"
    return text
