"""Steps for signals that a daemon gets while it stops."""

import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import behave
from behave import runner

from umberdrum.tests import harness

LISTEN_KEYS = ("caller", "peer", "admin", "announce")
KEY = "00112233445566778899aabbccddeeff"
SIGNAL_INTERVAL_SECONDS = 0.001
MAX_WAIT_SECONDS = 30.0


@behave.given("a daemon that runs as a process")
def start_daemon(context: runner.Context) -> None:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = pathlib.Path(directory.name) / "settings.ini"
    lines = ["[instance]", "availability_zone = tartu", "region = estonia", "[listen]"]
    lines += [f"{name} = {harness.find_free_address()}" for name in LISTEN_KEYS]
    lines += ["[cluster]", f"key = {KEY}"]
    lines += ["[store]", f"addresses = {harness.find_free_address()}"]
    path.write_text("\n".join(lines) + "\n")
    arguments = [sys.executable, "-m", "umberdrum.startup", "--settings", str(path)]
    process = subprocess.Popen(arguments, stdout=subprocess.PIPE)
    context.process = process
    context.add_cleanup(_end, process)


@behave.when("it gets SIGTERM, and {name} every 1 ms from its last log line on")
def send_series(context: runner.Context, name: str) -> None:
    process = context.process
    _wait_for_line(process, b"event=started")
    process.send_signal(signal.SIGTERM)
    _wait_for_line(process, b"event=stopped")
    until = time.monotonic() + MAX_WAIT_SECONDS
    while process.poll() is None and time.monotonic() < until:
        process.send_signal(signal.Signals[name])
        time.sleep(SIGNAL_INTERVAL_SECONDS)


@behave.then("it ends with code {code:d}")
def check_code(context: runner.Context, code: int) -> None:
    assert context.process.poll() == code, context.process.poll()


def _wait_for_line(process: "subprocess.Popen[bytes]", expected: bytes) -> None:
    assert process.stdout is not None
    for line in process.stdout:
        if expected in line:
            return
    raise AssertionError(f"the daemon ended without {expected!r}")


def _end(process: "subprocess.Popen[bytes]") -> None:
    process.kill()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()
