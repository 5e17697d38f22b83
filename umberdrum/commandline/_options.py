"""Options of the tool from the command line and its settings file."""

import argparse
import configparser
import pathlib
from typing import NamedTuple

import expression

from umberdrum import errors, settings

SETTINGS_SECTION = "tool"
DEFAULT_PREFIX = "umberdrum"
KNOWN_KEYS = ("admin", "prefix", "store")


class ToolOptions(NamedTuple):
    """Addresses that a command connects to, key prefix and output format."""

    store_addresses: tuple[settings.Address, ...]
    admin_addresses: tuple[settings.Address, ...]
    prefix: str
    is_json: bool


OptionsResult = expression.Result[ToolOptions, errors.Failure]


def read_options(arguments: argparse.Namespace) -> OptionsResult:
    """Return the options; the command line overrides the settings file."""
    values = {"store": "", "admin": "", "prefix": DEFAULT_PREFIX}
    if arguments.settings:
        read = _read_settings_file(pathlib.Path(arguments.settings))
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
        return _build_error_result(f"expected {fault}")


def _read_settings_file(
    path: pathlib.Path,
) -> expression.Result[dict[str, str], errors.Failure]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as fault:
        detail = f"{path}: {fault}"
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
    values: dict[str, str] = {}
    if not parser.has_section(SETTINGS_SECTION):
        return expression.Ok(values)
    for key, value in parser[SETTINGS_SECTION].items():
        if key not in KNOWN_KEYS:
            names = ", ".join(KNOWN_KEYS)
            detail = (
                f"{path}: [{SETTINGS_SECTION}] expected one of {names}, found {key!r}"
            )
            return expression.Error(
                errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail)
            )
        values[key] = value
    return expression.Ok(values)


def _parse_addresses(text: str) -> tuple[settings.Address, ...]:
    parts = [part for part in text.split(",") if part.strip()]
    return tuple(settings.parse_address(part) for part in parts)


def _build_error_result(detail: str) -> OptionsResult:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_SETTINGS, detail))
