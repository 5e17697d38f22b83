"""Reader that validates INI text against the table of known settings."""

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
    "zone_spill",
    "least_outstanding",
    "two_choices",
    "round_robin",
    "random",
)


class _ValueParser(NamedTuple):
    """Parser of one value; ``parse`` raises ``ValueError`` for invalid text.

    ``expected`` describes the valid values to the operator.
    """

    expected: str
    parse: Callable[[str], object]


class _Setting(NamedTuple):
    """Definition of one setting; it is required if its ``default`` is None.

    ``attribute`` names the attribute of ``Settings`` that receives the value.
    """

    attribute: str
    section: str
    key: str
    parser: _ValueParser
    default: str | None


def _build_integer_parser(low: int, high: int) -> _ValueParser:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return _ValueParser(f"a whole number of {low} to {high}", parse)


def _build_choice_parser(choices: tuple[str, ...]) -> _ValueParser:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError
        return text

    return _ValueParser("one of " + ", ".join(choices), parse)


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


def _build_number_parser(low: float, high: float) -> _ValueParser:
    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return _ValueParser(f"a number of {low:g} to {high:g}", parse)


def _build_optional_number_parser(
    low: float, high: float, default: float
) -> _ValueParser:
    """Return a parser of a number; nothing stands for ``default``."""
    number = _build_number_parser(low, high)

    def parse(text: str) -> object:
        return number.parse(text) if text else default

    return _ValueParser(f"{number.expected} or nothing", parse)


_NAME = _ValueParser("letters, digits, '-', '_' or '.'", _parse_name)
_ADDRESS = _ValueParser("an address IP:PORT", _address.parse_address)
_ADDRESSES = _ValueParser("addresses IP:PORT, separated by commas", _parse_addresses)
_KEY = _ValueParser(f"at least {MIN_KEY_BYTES} bytes in hexadecimal", _parse_key)
_PREFIX = _ValueParser("a key prefix without a slash at its ends", _parse_prefix)
_OPTIONAL_NAME = _ValueParser("a name or nothing", _parse_optional_name)
_OPTIONAL_ADDRESS = _ValueParser(
    "an address IP:PORT or nothing", _parse_optional_address
)
_TIMEOUT_MS = _build_integer_parser(10, 3_600_000)

_SETTINGS = (
    _Setting("availability_zone", "instance", "availability_zone", _NAME, None),
    _Setting("region", "instance", "region", _NAME, None),
    _Setting("caller_listen", "listen", "caller", _ADDRESS, None),
    _Setting("peer_listen", "listen", "peer", _ADDRESS, None),
    _Setting("peer_advertise", "listen", "peer_advertise", _ADDRESS, ""),
    _Setting("admin_listen", "listen", "admin", _ADDRESS, "127.0.0.1:9901"),
    _Setting("announce_listen", "listen", "announce", _ADDRESS, "127.0.0.1:9902"),
    _Setting("cluster_key", "cluster", "key", _KEY, None),
    _Setting("seeds", "cluster", "seeds", _ADDRESSES, ""),
    _Setting(
        "n_contacts_per_zone",
        "cluster",
        "contacts_per_zone",
        _build_integer_parser(1, 5),
        "2",
    ),
    _Setting(
        "min_contacts", "cluster", "min_contacts", _build_integer_parser(1, 20), "3"
    ),
    _Setting("store_addresses", "store", "addresses", _ADDRESSES, None),
    _Setting("store_prefix", "store", "prefix", _PREFIX, "umberdrum"),
    _Setting(
        "store_recovery_seconds",
        "store",
        "recovery_seconds",
        _build_optional_number_parser(0.5, 60, 3.0),
        "",
    ),
    _Setting(
        "store_spread_seconds",
        "store",
        "spread_seconds",
        _build_optional_number_parser(0.5, 60, 2.0),
        "",
    ),
    _Setting(
        "measuring_bytes_per_second",
        "measuring",
        "bytes_per_second",
        _build_integer_parser(0, 1_000_000),
        "1000",
    ),
    _Setting(
        "max_connections",
        "limits",
        "connections",
        _build_integer_parser(1, 20_000),
        "1000",
    ),
    _Setting(
        "max_head_bytes",
        "limits",
        "head_bytes",
        _build_integer_parser(1024, 1 << 20),
        "32768",
    ),
    _Setting("head_timeout_ms", "limits", "head_timeout_ms", _TIMEOUT_MS, "10000"),
    _Setting(
        "body_idle_timeout_ms", "limits", "body_idle_timeout_ms", _TIMEOUT_MS, "30000"
    ),
    _Setting("idle_timeout_ms", "limits", "idle_timeout_ms", _TIMEOUT_MS, "120000"),
    _Setting("grace_ms", "limits", "grace_ms", _TIMEOUT_MS, "60000"),
    _Setting(
        "termination_grace_seconds",
        "limits",
        "termination_grace_seconds",
        _build_optional_number_parser(0.1, 3600, 0.0),
        "",
    ),
    _Setting(
        "announcement_timeout_ms",
        "limits",
        "announcement_timeout_ms",
        _TIMEOUT_MS,
        "5000",
    ),
    _Setting(
        "announcement_interval_seconds",
        "limits",
        "announcement_interval_seconds",
        _build_optional_number_parser(0.01, 3600, 0.0),
        "",
    ),
    _Setting("log_level", "log", "level", _build_choice_parser(LOG_LEVELS), "info"),
    _Setting(
        "routing_policy",
        "routing",
        "policy",
        _build_choice_parser(ROUTING_POLICIES),
        "finish_time",
    ),
    _Setting(
        "admission_policy",
        "admission",
        "policy",
        _build_choice_parser(ADMISSION_POLICIES),
        "early_refusal",
    ),
    _Setting("own_service", "instance", "service", _OPTIONAL_NAME, ""),
    _Setting("ready_listen", "listen", "ready", _OPTIONAL_ADDRESS, ""),
    _Setting("upstream_address", "instance", "upstream", _OPTIONAL_ADDRESS, ""),
    _Setting(
        "leave_accept_ms",
        "limits",
        "leave_accept_ms",
        _build_integer_parser(0, 600_000),
        "0",
    ),
    _Setting(
        "n_ready_failures",
        "limits",
        "ready_failures",
        _build_integer_parser(0, 100),
        "0",
    ),
    _Setting(
        "shared_retries",
        "retries",
        "shared",
        _build_optional_number_parser(0, 1e6, 0.0),
        "",
    ),
    _Setting(
        "shared_retry_share",
        "retries",
        "shared_share",
        _build_optional_number_parser(0, 1, 0.0),
        "",
    ),
    _Setting(
        "n_allotment_slack",
        "accounts",
        "allotment_slack",
        _build_optional_number_parser(0, 1e6, 0.0),
        "",
    ),
    _Setting(
        "cold_factor",
        "admission",
        "cold_factor",
        _build_optional_number_parser(1, 100, 1.0),
        "",
    ),
    _Setting(
        "n_cold_extra",
        "admission",
        "cold_extra",
        _build_optional_number_parser(0, 1e6, 0.0),
        "",
    ),
)

Faults = list[_fields.SettingsFault]


def read_settings_file(
    path: pathlib.Path,
) -> expression.Result[_fields.Settings, Faults]:
    """Return the validated settings in the file at ``path``, or all faults found."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        file_fault = _fields.SettingsFault("", str(path), "a readable file", f"{fault}")
        return expression.Error([file_fault])
    return parse_settings(text)


def parse_settings(text: str) -> expression.Result[_fields.Settings, Faults]:
    """Return the validated settings in ``text``, or all faults found.

    Unknown sections and keys are faults too, so that misspelt keys are detected.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as fault:
        detail = "found " + str(fault).replace("\n", " ")
        file_fault = _fields.SettingsFault("", "file", "INI sections and keys", detail)
        return expression.Error([file_fault])
    faults = _find_unknown_names(parser)
    values: dict[str, object] = {}
    for setting in _SETTINGS:
        found = parser.get(setting.section, setting.key, fallback=setting.default)
        if found is None:
            faults.append(_build_fault(setting, "found nothing"))
            continue
        if found == "" and setting.attribute == "peer_advertise":
            values[setting.attribute] = values.get("peer_listen")
            continue
        try:
            values[setting.attribute] = setting.parser.parse(found)
        except ValueError:
            faults.append(_build_fault(setting, f"found {found!r}"))
    if faults:
        return expression.Error(faults)
    return expression.Ok(_fields.Settings(**values))  # type: ignore[arg-type]


def _build_fault(setting: _Setting, found: str) -> _fields.SettingsFault:
    return _fields.SettingsFault(
        setting.section, setting.key, setting.parser.expected, found
    )


def _find_unknown_names(parser: configparser.ConfigParser) -> Faults:
    known_keys = {(setting.section, setting.key) for setting in _SETTINGS}
    known_sections = sorted({setting.section for setting in _SETTINGS})
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
            names = sorted(
                name for known_section, name in known_keys if known_section == section
            )
            expected = "one of the keys " + ", ".join(names)
            faults.append(
                _fields.SettingsFault(section, key, expected, f"found {key!r}")
            )
    return faults
