"""Command that collects the log lines on one request from several daemons."""

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
_FIELD_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_COMMON_FIELDS = ("time", "level", "event", "daemon", "request")

OutputResult = expression.Result[str, errors.Failure]


class TraceLine(NamedTuple):
    """Log line on one request; ``fields`` holds its other fields except the level."""

    time: str
    daemon: str
    event: str
    request: str
    fields: dict[str, str]


def run_trace_command(
    arguments: argparse.Namespace, options: _options.ToolOptions
) -> OutputResult:
    """Return the log lines on one request, sorted by time."""
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
        detail = f"no log line matches the request id {arguments.request}"
        return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
    lines.sort(key=lambda line: line.time)
    if options.is_json:
        rows = [line._asdict() for line in lines]
        return expression.Ok(_render.render_json({"lines": rows}))
    return expression.Ok("".join(_render_line(line) for line in lines))


def find_lines(
    text: Iterable[str], request_id: str, is_prefix: bool
) -> list[TraceLine]:
    """Return the lines in ``text`` whose request id is ``request_id``.

    With ``is_prefix``, lines match whose request id starts with ``request_id``.

    Example: ``find_lines(["time=T event=route daemon=d request=r1 ms=2"], "r1",
    False)`` returns one line whose fields are ``{"ms": "2"}``.
    """
    found: list[TraceLine] = []
    for line in text:
        if request_id not in line:
            continue
        fields = {name: _unquote(value) for name, value in _FIELD_PATTERN.findall(line)}
        request = fields.get("request", "")
        if request != request_id and not (is_prefix and request.startswith(request_id)):
            continue
        other_fields = {
            name: value for name, value in fields.items() if name not in _COMMON_FIELDS
        }
        found.append(
            TraceLine(
                fields.get("time", ""),
                fields.get("daemon", ""),
                fields.get("event", ""),
                request,
                other_fields,
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
