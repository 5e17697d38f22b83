"""Steps on settings."""

import configparser
import io

import behave
from behave import runner

from umberdrum import settings

VALID = """
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


@behave.given("valid settings")
def start_valid(context: runner.Context) -> None:
    context.parser = configparser.ConfigParser(interpolation=None)
    context.parser.read_string(VALID)
    context.raw_text = ""


@behave.given('the settings text "{text}"')
def start_text(context: runner.Context, text: str) -> None:
    context.raw_text = text


@behave.when('"{key}" of "{section}" is "{value}"')
def change_key(context: runner.Context, key: str, section: str, value: str) -> None:
    if not context.parser.has_section(section):
        context.parser.add_section(section)
    context.parser[section][key] = value


@behave.when('the key "{key}" of "{section}" is left out')
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


@behave.then("they are accepted")
def check_accepted(context: runner.Context) -> None:
    assert _parse(context) == []


@behave.then(
    'the only fault is at "{section}" "{key}" and says "{expected}" and "{found}"'
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


@behave.then("there are {n_faults:d} faults")
def check_count(context: runner.Context, n_faults: int) -> None:
    assert len(_parse(context)) == n_faults
