"""Command that puts together what the logs of several daemons say of one request."""

import argparse
import pathlib
import re
import sys
from collections.abc import Iterable
from typing import NamedTuple

import expression

from umberdrum import errors
from umberdrum.commandline import _options, _render

STANDARD_INPUT = "-"
_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_FIRST_FIELDS = ("time", "level", "event", "daemon", "request")

OutputResult = expression.Result[str, errors.Failure]


class TraceLine(NamedTuple):
    """One decision on a request, as a daemon logged it."""

    time: str
    daemon: str
    event: str
    request: str
    fields: dict[str, str]


def run_trace_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Return the lines on one request in the order of their times."""
    lines: list[TraceLine] = []
    for name in arguments.file or [STANDARD_INPUT]:
        if name == STANDARD_INPUT:
            lines += find_lines(sys.stdin, arguments.request, arguments.prefix)
            continue
        try:
            with pathlib.Path(name).open(encoding="utf-8", errors="replace") as file:
                lines += find_lines(file, arguments.request, arguments.prefix)
        except OSError as fault:
            detail = f"{name}: expected a readable log file, found {fault.strerror}"
            return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
    if not lines:
        detail = f"no line names the request {arguments.request}"
        return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
    lines.sort(key=lambda line: line.time)
    if options.is_json:
        rows = [line._asdict() for line in lines]
        return expression.Ok(_render.render_json({"lines": rows}))
    return expression.Ok("".join(_render_line(line) for line in lines))


def find_lines(
    text: Iterable[str], request_id: str, is_prefix: bool
) -> list[TraceLine]:
    """Return the log lines on a request, or on all whose ids begin with it.

    Example: ``find_lines(["time=T event=route daemon=d request=r1 ms=2"], "r1",
    False)`` returns one line whose fields are ``{"ms": "2"}``.
    """
    found: list[TraceLine] = []
    for line in text:
        if request_id not in line:
            continue
        fields = {name: _unquote(value) for name, value in _FIELD.findall(line)}
        request = fields.get("request", "")
        if request != request_id and not (is_prefix and request.startswith(request_id)):
            continue
        others = {
            name: value for name, value in fields.items() if name not in _FIRST_FIELDS
        }
        found.append(
            TraceLine(
                fields.get("time", ""),
                fields.get("daemon", ""),
                fields.get("event", ""),
                request,
                others,
            )
        )
    return found


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"')


def _render_line(line: TraceLine) -> str:
    rest = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.time} {line.daemon} {line.event} {line.request} {rest}\n"
