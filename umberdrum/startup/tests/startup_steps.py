"""Steps for the start of the program."""

import pathlib
import socket
import tempfile

import behave
from behave import runner

from umberdrum import settings
from umberdrum.startup import _program
from umberdrum.tests import harness

LISTEN_KEYS = ("caller", "peer", "announce")


@behave.given("settings with {fault}")
def build_settings(context: runner.Context, fault: str) -> None:
    context.addresses = {name: harness.find_free_address() for name in LISTEN_KEYS}
    context.fault = fault


def _render_settings(addresses: dict[str, settings.Address], fault: str) -> bytes:
    rows = {name: str(address) for name, address in addresses.items()}
    port = addresses["caller"].port
    if fault == "no announce address":
        del rows["announce"]
    if fault == "a caller's port of 99999":
        rows["caller"] = "127.0.0.1:99999"
    if fault == "a host name for the caller":
        rows["caller"] = f"no-such-host.invalid:{port}"
    if fault == "undecodable bytes":
        return b"[listen]\ncaller = \xff\xfe\n"
    text = "\n".join(f"{name} = {value}" for name, value in rows.items())
    if fault == "a key without a section":
        return text.encode()
    return f"[listen]\n{text}\n".encode()


@behave.when('the program binds early listeners with "{options}"')
def bind_with_options(context: runner.Context, options: str) -> None:
    _bind_and_record_ports(context, [options])


@behave.when('the program binds early listeners with ""')
def bind_without_options(context: runner.Context) -> None:
    _bind_and_record_ports(context, [])


def _bind_and_record_ports(context: runner.Context, options: list[str]) -> None:
    with tempfile.TemporaryDirectory() as directory, socket.socket() as occupying:
        path = pathlib.Path(directory) / "settings.ini"
        if context.fault != "no file":
            path.write_bytes(_render_settings(context.addresses, context.fault))
        if context.fault == "the caller's port in use":
            caller = context.addresses["caller"]
            occupying.bind((caller.host, caller.port))
            occupying.listen()
        bound = _program._bind_early_listeners(["--settings", str(path), *options])
        listeners = () if bound is None else bound.sockets
        context.bound = [listener.getsockname()[1] for listener in listeners]
        for listener in listeners:
            listener.close()


@behave.then("it listens at the addresses of {names}")
def check_bound_addresses(context: runner.Context, names: str) -> None:
    wanted = [] if names == "nothing" else names.split(", ")
    ports = [context.addresses[name].port for name in wanted]
    assert context.bound == ports, context.bound
