"""Steps for the end of a daemon's process, which runs on the real clock."""

import contextlib
import fcntl
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import behave
from behave import runner

from umberdrum import settings
from umberdrum.tests import harness

GRACE_MS = 500
# The test fails if the process is still there; how soon it ends is not checked.
MAX_SECONDS = 20.0
POLL_SECONDS = 0.05
SMALL_PIPE_BYTES = 4096


def _write_settings(path: pathlib.Path) -> settings.Address:
    """Write settings without a store or upstream; return the admin address."""
    admin = harness.find_free_address()
    rows = [
        "[instance]",
        "availability_zone = az1",
        "region = r1",
        "[listen]",
        f"caller = {harness.find_free_address()}",
        f"peer = {harness.find_free_address()}",
        f"admin = {admin}",
        f"announce = {harness.find_free_address()}",
        "[cluster]",
        f"key = {harness.CLUSTER_KEY.hex()}",
        "[store]",
        f"addresses = {harness.find_free_address()}",
        "[limits]",
        f"grace_ms = {GRACE_MS}",
    ]
    path.write_text("\n".join(rows))
    return admin


def _open_log_pipe(reader: str) -> tuple[int, int]:
    """Return the ends of a pipe; it is full if its reader never reads."""
    read_end, write_end = os.pipe()
    if reader == "never reads":
        n_bytes = fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
        os.write(write_end, bytes(n_bytes))
    elif reader == "has gone":
        os.close(read_end)
        return -1, write_end
    else:
        threading.Thread(target=_read_all, args=(read_end,), daemon=True).start()
    return read_end, write_end


def _read_all(descriptor: int) -> None:
    with contextlib.suppress(OSError):
        while os.read(descriptor, SMALL_PIPE_BYTES):
            continue


def _wait_until_listening(address: settings.Address) -> None:
    """Return once the daemon answers at its admin address."""
    until = time.monotonic() + MAX_SECONDS
    while True:
        with contextlib.suppress(OSError):
            socket.create_connection((address.host, address.port)).close()
            return
        assert time.monotonic() < until
        time.sleep(POLL_SECONDS)


@behave.when(
    "the process of a daemon gets SIGTERM while the reader of its log {reader}"
)
def stop_process(context: runner.Context, reader: str) -> None:
    read_end, write_end = _open_log_pipe(reader)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.ini"
        admin = _write_settings(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "umberdrum.startup", "--settings", str(path)],
            stdin=subprocess.DEVNULL,
            stdout=write_end,
        )
        os.close(write_end)
        context.exit_code = None
        try:
            _wait_until_listening(admin)
            process.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                context.exit_code = process.wait(MAX_SECONDS)
        finally:
            process.kill()
            process.wait()
            if read_end >= 0 and reader == "never reads":
                os.close(read_end)


@behave.then("it ends by itself with the code {code:d}")
def check_exit_code(context: runner.Context, code: int) -> None:
    assert context.exit_code == code, context.exit_code
