"""Steps on the settings of a daemon."""

import configparser
import io

import behave
from behave import runner

from umberdrum import settings

REQUIRED_SETTINGS = """
[instance]
availability_zone = az1
region = r1
[listen]
caller = 127.0.0.1:8080
peer = 127.0.0.1:7000
[cluster]
key = 000102030405060708090a0b0c0d0e0f
[store]
addresses = 127.0.0.1:2379
"""


@behave.given("the required settings")
def build_required_settings(context: runner.Context) -> None:
    context.parser = configparser.ConfigParser(interpolation=None)
    context.parser.read_string(REQUIRED_SETTINGS)
    context.raw_text = ""


@behave.given('the settings text "{text}"')
def set_text(context: runner.Context, text: str) -> None:
    context.raw_text = text


@behave.when('the key "{key}" of "{section}" is set to "{value}"')
def set_key(context: runner.Context, key: str, section: str, value: str) -> None:
    if not context.parser.has_section(section):
        context.parser.add_section(section)
    context.parser[section][key] = value


@behave.when('the key "{key}" of "{section}" is removed')
def remove_key(context: runner.Context, key: str, section: str) -> None:
    context.parser.remove_option(section, key)


def _parse(context: runner.Context) -> list[settings.SettingsFault]:
    text = context.raw_text
    if not text:
        output = io.StringIO()
        context.parser.write(output)
        text = output.getvalue()
    parsed = settings.parse_settings(text)
    return [] if parsed.is_ok() else parsed.error


@behave.then("the settings are accepted")
def check_accepted(context: runner.Context) -> None:
    assert _parse(context) == []


@behave.then(
    'the only fault is at "{section}" "{key}" and states "{expected}" and "{found}"'
)
def check_fault(
    context: runner.Context, section: str, key: str, expected: str, found: str
) -> None:
    faults = _parse(context)
    assert len(faults) == 1, faults
    fault = faults[0]
    assert (fault.section, fault.key) == (section, key), fault
    assert fault.expected.startswith(expected), fault
    assert fault.found == found, fault


@behave.then("the number of faults is {n_faults:d}")
def check_fault_count(context: runner.Context, n_faults: int) -> None:
    assert len(_parse(context)) == n_faults
