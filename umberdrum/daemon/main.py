"""Command line of the daemon, the program ``umberdrumd``."""

import argparse
import gc
import logging
import pathlib
import signal
import sys
import types
from collections.abc import Sequence

import trio

import umberdrum
from umberdrum import logs, settings, startup, supervision
from umberdrum.daemon import _daemon, _integration

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
LOGGER_NAME = "umberdrum"
STDOUT_FD = 1
SETTINGS_POLL_SECONDS = 2.0
# Most lines were written before. A reader that is slow must not hold a process that is
# to end.
LAST_FLUSH_SECONDS = 0.1
GC_THRESHOLDS = (50_000, 20, 50)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

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

    Without an ``integration`` it uses the project's own protocols. ``listeners`` are
    sockets that are bound already. The daemon uses those whose addresses are in the
    settings and closes the others.
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
    writer = logs.LineWriter(STDOUT_FD)
    _disable_unused_log_fields()
    _tune_garbage_collection()
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(writer)
    logger.setLevel(loaded.ok.log_level.upper())
    logger.propagate = False
    exit_code = EXIT_OK
    try:
        has_failed = trio.run(
            _run_daemon, loaded.ok, path, logger, writer, integration, listeners
        )
        if has_failed:
            exit_code = EXIT_FAILED
    except* OSError as faults:
        sys.stderr.write(f"umberdrumd: {faults.exceptions[0]}\n")
        exit_code = EXIT_FAILED
    finally:
        _ignore_signals()
        writer.flush_within(LAST_FLUSH_SECONDS)
    return exit_code


async def _run_daemon(
    own_settings: settings.Settings,
    path: pathlib.Path,
    logger: logging.Logger,
    writer: logs.LineWriter,
    integration: _integration.Integration | None,
    listeners: startup.EarlyListeners | None,
) -> bool:
    """Run the daemon until it has stopped; return whether errors made it stop."""
    daemon = _daemon.Daemon(
        own_settings, logger, writer, integration=integration, listeners=listeners
    )
    flusher = logs.LineFlusher(writer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, daemon, path)
        nursery.start_soon(_watch_settings_file, daemon, path)
        tasks = supervision.TaskSupervisor(nursery, daemon.errors, daemon.fail)
        tasks.keep_running("log_flush", flusher.run)
        await daemon.run()
        await flusher.finish()
        nursery.cancel_scope.cancel()
    return daemon.has_failed


async def _handle_signals(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    """Stop the daemon on SIGTERM and SIGINT, and reload its settings on SIGHUP."""
    # In force again when the receiver has closed, which then raises those signals once
    # more that it has not returned.
    for handled in HANDLED_SIGNALS:
        signal.signal(handled, _discard_signal)
    with trio.open_signal_receiver(*HANDLED_SIGNALS) as received:
        # The ``startup`` package has blocked SIGTERM and SIGHUP until here.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        async for number in received:
            if number != signal.SIGHUP:
                daemon.stop()
                continue
            _reload(daemon, path)


def _discard_signal(number: int, frame: types.FrameType | None) -> None:
    """Do nothing: the daemon has stopped already."""


def _ignore_signals() -> None:
    """Ignore signals until the end of the process, which removes other handlers.

    The default action would end the process with another exit code.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


async def _watch_settings_file(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    """Poll the settings file and reload it when it has changed."""
    last_modified_ns = _get_modified_ns(path)
    while True:
        await trio.sleep(SETTINGS_POLL_SECONDS)
        modified_ns = _get_modified_ns(path)
        if modified_ns != last_modified_ns:
            last_modified_ns = modified_ns
            _reload(daemon, path)


def _get_modified_ns(path: pathlib.Path) -> int:
    """Return the file's modification time in ns, 0 if it can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(daemon: _daemon.Daemon, path: pathlib.Path) -> None:
    """Apply the changed settings; a file that can't be used changes nothing."""
    with daemon.errors.suppress("reload"):
        loaded = settings.read_settings_file(path)
        if loaded.is_error():
            daemon.refuse_settings(loaded.error)
            return
        daemon.reload(loaded.ok)


def _disable_unused_log_fields() -> None:
    """Make ``logging`` skip the record fields that no log line contains."""
    logging._srcfile = ""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


def _tune_garbage_collection() -> None:
    """Make garbage collections rare and short, so that they seldom delay calls.

    The objects of imported modules are excluded from collections. Collections,
    which the ``startup`` package disables during the import, are enabled again.
    """
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
