"""Program ``umberdrumd``: the daemon beside an upstream."""

import argparse
import gc
import logging
import pathlib
import signal
import sys
from collections.abc import Sequence

import trio

import umberdrum
from umberdrum import logs, settings, startup
from umberdrum.daemon import _daemon, _integration

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
LOGGER_NAME = "umberdrum"
STDOUT = 1
SETTINGS_POLL_SECONDS = 2.0
GC_THRESHOLDS = (50_000, 20, 50)

EXAMPLES = """examples:
  umberdrumd --settings /etc/umberdrum.ini
  umberdrumd --settings /etc/umberdrum.ini --check

SIGTERM stops the daemon gracefully; SIGHUP rereads [log] and [measuring].
"""


def run_program(
    arguments: Sequence[str] | None = None,
    integration: _integration.Integration | None = None,
    listeners: startup.EarlyListeners | None = None,
) -> int:
    """Run the daemon until it is stopped and return its exit code.

    Without an ``integration`` it speaks the project's own protocols. ``listeners`` are
    sockets that listen already; those at addresses of the settings are used.
    """
    options = _build_parser().parse_args(arguments)
    path = pathlib.Path(options.settings)
    loaded = settings.read_settings_file(path)
    if loaded.is_error():
        _print_faults(loaded.error)
        return EXIT_INVALID_SETTINGS
    if options.check:
        sys.stdout.write("settings are valid\n")
        return EXIT_OK
    writer = logs.LineWriter(STDOUT)
    _skip_unused_log_fields()
    _keep_collector_off_calls()
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(writer)
    logger.setLevel(loaded.ok.log_level.upper())
    logger.propagate = False
    exit_code = EXIT_OK
    try:
        trio.run(_run_daemon, loaded.ok, path, logger, writer, integration, listeners)
    except* OSError as faults:
        sys.stderr.write(f"umberdrumd: {faults.exceptions[0]}\n")
        exit_code = EXIT_FAILED
    finally:
        writer.flush()
    return exit_code


async def _run_daemon(
    own_settings: settings.Settings,
    path: pathlib.Path,
    logger: logging.Logger,
    writer: logs.LineWriter,
    integration: _integration.Integration | None,
    listeners: startup.EarlyListeners | None,
) -> None:
    daemon = _daemon.Daemon(
        own_settings, logger, writer, integration=integration, listeners=listeners
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, daemon, path)
        nursery.start_soon(_follow_settings_file, daemon, path)
        nursery.start_soon(_LineFlusher(writer).run)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    """Turn signals into a stop or a reload."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*wanted) as received:
        # The program blocks them until here; see ``startup``.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, wanted)
        async for number in received:
            if number != signal.SIGHUP:
                daemon.stop()
                continue
            _reload(daemon, path)


async def _follow_settings_file(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    """Reload settings that change without a signal."""
    known = _get_modified_ns(path)
    while True:
        await trio.sleep(SETTINGS_POLL_SECONDS)
        found = _get_modified_ns(path)
        if found != known:
            known = found
            _reload(daemon, path)


def _get_modified_ns(path: pathlib.Path) -> int:
    """Return the time of the file's last change, 0 while it can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    loaded = settings.read_settings_file(path)
    if loaded.is_error():
        _print_faults(loaded.error)
        return
    daemon.reload(loaded.ok)


class _LineFlusher:
    """Writes log lines in a thread, away from the calls, soon after there are any."""

    def __init__(self, writer: logs.LineWriter) -> None:
        self._writer = writer
        self._has_lines = trio.Event()
        writer.set_first_line_listener(self._note_first_line)

    async def run(self) -> None:
        """Write lines for ever."""
        while True:
            await self._has_lines.wait()
            self._has_lines = trio.Event()
            await trio.sleep(logs.FLUSH_INTERVAL_SECONDS)
            await trio.to_thread.run_sync(self._writer.flush, abandon_on_cancel=True)

    def _note_first_line(self) -> None:
        self._has_lines.set()


def _skip_unused_log_fields() -> None:
    """Switch off what ``logging`` gathers for each line and no line shows."""
    logging._srcfile = ""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


def _keep_collector_off_calls() -> None:
    """Make passes of the garbage collector rare, and small by leaving out the code."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


def _print_faults(faults: list[settings.SettingsFault]) -> None:
    for fault in faults:
        sys.stderr.write(f"umberdrumd: {fault}\n")


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="umberdrumd",
        description="Daemon of the umberdrum load balancer, one beside each upstream.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, help="INI file to read")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--version", action="version", version=f"umberdrum {umberdrum.__version__}"
    )
    return parser


if __name__ == "__main__":
    sys.exit(run_program())
