"""Reader that checks an INI text against the table of known settings."""

import configparser
import pathlib
from collections.abc import Callable
from typing import NamedTuple

import expression

from umberdrum.settings import _address, _fields

MIN_KEY_BYTES = 16
LOG_LEVELS = ("debug", "info", "warning", "error")
ADMISSION_POLICIES = ("early_refusal", "target")
ROUTING_POLICIES = (
    "finish_time",
    "least_outstanding",
    "two_choices",
    "round_robin",
    "random",
)


class _Parser(NamedTuple):
    """How one value is read; ``parse`` raises ``ValueError`` for an invalid one."""

    expected: str
    parse: Callable[[str], object]


class _Field(NamedTuple):
    """One row of the table of settings; ``default`` of None makes it required."""

    attribute: str
    section: str
    key: str
    parser: _Parser
    default: str | None


def _whole_number(low: int, high: int) -> _Parser:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return _Parser(f"a whole number of {low} to {high}", parse)


def _one_of(choices: tuple[str, ...]) -> _Parser:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError
        return text

    return _Parser("one of " + ", ".join(choices), parse)


def _parse_name(text: str) -> str:
    if not text or any(not (char.isalnum() or char in "-_.") for char in text):
        raise ValueError
    return text


def _parse_key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if len(key) < MIN_KEY_BYTES:
        raise ValueError
    return key


def _parse_addresses(text: str) -> tuple[_address.Address, ...]:
    parts = [part for part in text.split(",") if part.strip()]
    return tuple(_address.parse_address(part) for part in parts)


def _parse_prefix(text: str) -> str:
    if not text or text.startswith("/") or text.endswith("/"):
        raise ValueError
    return text


def _parse_optional_name(text: str) -> str:
    return _parse_name(text) if text else ""


def _parse_optional_address(text: str) -> _address.Address | None:
    return _address.parse_address(text) if text else None


def _number(low: float, high: float) -> _Parser:
    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return _Parser(f"a number of {low:g} to {high:g}", parse)


_NAME = _Parser("letters, digits, '-', '_' or '.'", _parse_name)
_ADDRESS = _Parser("an address IP:PORT", _address.parse_address)
_ADDRESSES = _Parser("addresses IP:PORT, separated by commas", _parse_addresses)
_KEY = _Parser(f"at least {MIN_KEY_BYTES} bytes in hexadecimal", _parse_key)
_PREFIX = _Parser("a key prefix without a slash at its ends", _parse_prefix)
_OPTIONAL_NAME = _Parser("a name or nothing", _parse_optional_name)
_OPTIONAL_ADDRESS = _Parser("an address IP:PORT or nothing", _parse_optional_address)
_TIMEOUT_MS = _whole_number(10, 3_600_000)

_FIELDS = (
    _Field("availability_zone", "instance", "availability_zone", _NAME, None),
    _Field("region", "instance", "region", _NAME, None),
    _Field("caller_listen", "listen", "caller", _ADDRESS, None),
    _Field("peer_listen", "listen", "peer", _ADDRESS, None),
    _Field("peer_advertise", "listen", "peer_advertise", _ADDRESS, ""),
    _Field("admin_listen", "listen", "admin", _ADDRESS, "127.0.0.1:9901"),
    _Field("announce_listen", "listen", "announce", _ADDRESS, "127.0.0.1:9902"),
    _Field("cluster_key", "cluster", "key", _KEY, None),
    _Field("seeds", "cluster", "seeds", _ADDRESSES, ""),
    _Field(
        "n_contacts_per_zone",
        "cluster",
        "contacts_per_zone",
        _whole_number(1, 5),
        "2",
    ),
    _Field("min_contacts", "cluster", "min_contacts", _whole_number(1, 20), "3"),
    _Field("store_addresses", "store", "addresses", _ADDRESSES, None),
    _Field("store_prefix", "store", "prefix", _PREFIX, "umberdrum"),
    _Field(
        "measuring_bytes_per_second",
        "measuring",
        "bytes_per_second",
        _whole_number(0, 1_000_000),
        "1000",
    ),
    _Field(
        "max_connections", "limits", "connections", _whole_number(1, 20_000), "1000"
    ),
    _Field(
        "max_head_bytes", "limits", "head_bytes", _whole_number(1024, 1 << 20), "32768"
    ),
    _Field("head_timeout_ms", "limits", "head_timeout_ms", _TIMEOUT_MS, "10000"),
    _Field(
        "body_idle_timeout_ms", "limits", "body_idle_timeout_ms", _TIMEOUT_MS, "30000"
    ),
    _Field("idle_timeout_ms", "limits", "idle_timeout_ms", _TIMEOUT_MS, "120000"),
    _Field("grace_ms", "limits", "grace_ms", _TIMEOUT_MS, "60000"),
    _Field(
        "announcement_timeout_ms",
        "limits",
        "announcement_timeout_ms",
        _TIMEOUT_MS,
        "5000",
    ),
    _Field("log_level", "log", "level", _one_of(LOG_LEVELS), "info"),
    _Field(
        "routing_policy",
        "routing",
        "policy",
        _one_of(ROUTING_POLICIES),
        "finish_time",
    ),
    _Field(
        "admission_policy",
        "admission",
        "policy",
        _one_of(ADMISSION_POLICIES),
        "early_refusal",
    ),
    _Field("own_service", "instance", "service", _OPTIONAL_NAME, ""),
    _Field("ready_listen", "listen", "ready", _OPTIONAL_ADDRESS, ""),
    _Field("upstream_address", "instance", "upstream", _OPTIONAL_ADDRESS, ""),
    _Field(
        "leave_accept_ms", "limits", "leave_accept_ms", _whole_number(0, 600_000), "0"
    ),
    _Field("shared_retries", "retries", "shared", _number(0, 1e6), "0"),
    _Field("shared_retry_share", "retries", "shared_share", _number(0, 1), "0"),
)

Faults = list[_fields.SettingsFault]


def read_settings_file(
    path: pathlib.Path,
) -> expression.Result[_fields.Settings, Faults]:
    """Return the checked settings in the file at ``path``, or every fault found."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        report = _fields.SettingsFault("", str(path), "a readable file", f"{fault}")
        return expression.Error([report])
    return parse_settings(text)


def parse_settings(text: str) -> expression.Result[_fields.Settings, Faults]:
    """Return the checked settings that ``text`` spells, or every fault found.

    Unknown sections and keys are faults too, so that a misspelt key never goes unseen.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as fault:
        detail = "found " + str(fault).replace("\n", " ")
        report = _fields.SettingsFault("", "file", "INI sections and keys", detail)
        return expression.Error([report])
    faults = _find_unknown(parser)
    values: dict[str, object] = {}
    for field in _FIELDS:
        found = parser.get(field.section, field.key, fallback=field.default)
        if found is None:
            faults.append(_report(field, "found nothing"))
            continue
        if found == "" and field.attribute == "peer_advertise":
            values[field.attribute] = values.get("peer_listen")
            continue
        try:
            values[field.attribute] = field.parser.parse(found)
        except ValueError:
            faults.append(_report(field, f"found {found!r}"))
    if faults:
        return expression.Error(faults)
    return expression.Ok(_fields.Settings(**values))  # type: ignore[arg-type]


def _report(field: _Field, found: str) -> _fields.SettingsFault:
    return _fields.SettingsFault(field.section, field.key, field.parser.expected, found)


def _find_unknown(parser: configparser.ConfigParser) -> Faults:
    known_keys = {(field.section, field.key) for field in _FIELDS}
    known_sections = sorted({field.section for field in _FIELDS})
    faults: Faults = []
    for section in parser.sections():
        if section not in known_sections:
            expected = "one of the sections " + ", ".join(known_sections)
            faults.append(
                _fields.SettingsFault(section, "*", expected, f"found {section!r}")
            )
            continue
        for key in parser[section]:
            if (section, key) in known_keys:
                continue
            names = sorted(name for place, name in known_keys if place == section)
            expected = "one of the keys " + ", ".join(names)
            faults.append(
                _fields.SettingsFault(section, key, expected, f"found {key!r}")
            )
    return faults
