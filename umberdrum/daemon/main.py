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
from umberdrum import logs, settings
from umberdrum.daemon import _daemon

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
LOGGER_NAME = "umberdrum"
STDOUT = 1
GC_THRESHOLDS = (50_000, 20, 50)

EXAMPLES = """examples:
  umberdrumd --settings /etc/umberdrum.ini
  umberdrumd --settings /etc/umberdrum.ini --check

SIGTERM stops the daemon gracefully; SIGHUP rereads [log] and [measuring].
"""


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until it is stopped and return its exit code."""
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
        trio.run(_run_daemon, loaded.ok, path, logger, writer)
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
) -> None:
    daemon = _daemon.Daemon(own_settings, logger, writer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, daemon, path)
        nursery.start_soon(_LineFlusher(writer).run)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    """Turn signals into a stop or a reload."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*wanted) as received:
        async for number in received:
            if number != signal.SIGHUP:
                daemon.stop()
                continue
            loaded = settings.read_settings_file(path)
            if loaded.is_error():
                _print_faults(loaded.error)
                continue
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
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


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
