"""Where the tool finds the store and the daemons."""

import argparse
import configparser
import pathlib
from typing import NamedTuple

import expression

from umberdrum import errors, settings

SECTION = "tool"
DEFAULT_PREFIX = "umberdrum"
KNOWN_KEYS = ("admin", "prefix", "store")


class ToolOptions(NamedTuple):
    """Addresses that a command talks to, and the form of its output."""

    store_addresses: tuple[settings.Address, ...]
    admin_addresses: tuple[settings.Address, ...]
    prefix: str
    is_json: bool


OptionsResult = expression.Result[ToolOptions, errors.Failure]


def read_options(arguments: argparse.Namespace) -> OptionsResult:
    """Return the options of the command line, over those of the settings file."""
    values = {"store": "", "admin": "", "prefix": DEFAULT_PREFIX}
    if arguments.settings:
        read = _read_file(pathlib.Path(arguments.settings))
        if read.is_error():
            return expression.Error(read.error)
        values.update(read.ok)
    if arguments.store:
        values["store"] = arguments.store
    if arguments.admin:
        values["admin"] = arguments.admin
    if arguments.prefix:
        values["prefix"] = arguments.prefix
    try:
        return expression.Ok(
            ToolOptions(
                _parse_addresses(values["store"]),
                _parse_addresses(values["admin"]),
                values["prefix"],
                arguments.json,
            )
        )
    except ValueError as fault:
        return _report(f"expected {fault}")


def _read_file(
    path: pathlib.Path,
) -> expression.Result[dict[str, str], errors.Failure]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as fault:
        detail = f"{path}: {fault}"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    values: dict[str, str] = {}
    if not parser.has_section(SECTION):
        return expression.Ok(values)
    for key, value in parser[SECTION].items():
        if key not in KNOWN_KEYS:
            names = ", ".join(KNOWN_KEYS)
            detail = f"{path}: [{SECTION}] expected one of {names}, found {key!r}"
            return expression.Error(
                errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail)
            )
        values[key] = value
    return expression.Ok(values)


def _parse_addresses(text: str) -> tuple[settings.Address, ...]:
    parts = [part for part in text.split(",") if part.strip()]
    return tuple(settings.parse_address(part) for part in parts)


def _report(detail: str) -> OptionsResult:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
