"""Settings of a daemon, read from INI text and validated as a whole."""

from umberdrum.settings._address import Address, parse_address
from umberdrum.settings._fields import Settings, SettingsFault
from umberdrum.settings._reader import parse_settings, read_settings_file

__all__ = [
    "Address",
    "Settings",
    "SettingsFault",
    "parse_address",
    "parse_settings",
    "read_settings_file",
]
