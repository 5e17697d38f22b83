"""Entry point of the program."""

import argparse
import gc
import signal
import sys
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from umberdrum.startup import _early

if TYPE_CHECKING:
    from umberdrum import daemon

HANDLED_SIGNALS = frozenset((signal.SIGTERM, signal.SIGHUP))


def run_program(
    arguments: Sequence[str] | None = None,
    build_integration: "Callable[[], daemon.Integration] | None" = None,
) -> int:
    """Listen, load the daemon and run it; return its exit code.

    ``build_integration`` is called once the daemon is loaded. Without it the daemon
    speaks the project's own protocols.
    """
    # One that comes now is delivered once the daemon handles it, and then stops or
    # reloads it in order; by default it would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    # All that is imported stays; to look through it while it grows delays the start.
    gc.disable()
    if arguments is None:
        arguments = sys.argv[1:]
    listeners = _bind_early_listeners(arguments)

    from umberdrum.daemon import main

    integration = build_integration() if build_integration is not None else None
    return main.run_program(arguments, integration, listeners)


def _bind_early_listeners(arguments: Sequence[str]) -> _early.EarlyListeners | None:
    """Return the early listeners, None if the daemon will not run."""
    parser = argparse.ArgumentParser(add_help=False, exit_on_error=False)
    parser.add_argument("--settings", default="")
    parser.add_argument("--check", action="store_true")
    try:
        options, others = parser.parse_known_args(arguments)
    except argparse.ArgumentError:
        # The daemon's own parser reports it.
        return None
    if options.check or others or not options.settings:
        return None
    return _early.bind_early(options.settings)
