"""Entry point of the program ``umberdrumd``."""

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
    """Bind the early listeners, import the daemon, run it and return its exit code.

    ``build_integration`` is called after the import. Without it the daemon uses the
    project's own protocols.
    """
    # A signal that arrives during the start stays pending until the daemon handles it,
    # and then stops or reloads the daemon gracefully. The default action would end the
    # process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    # Imported objects stay alive, so garbage collection during the import would only
    # delay the start.
    gc.disable()
    if arguments is None:
        arguments = sys.argv[1:]
    listeners = _bind_early_listeners(arguments)

    from umberdrum.daemon import main

    integration = build_integration() if build_integration is not None else None
    return main.run_program(arguments, integration, listeners)


def _bind_early_listeners(arguments: Sequence[str]) -> _early.EarlyListeners | None:
    """Return the early listeners, None if the arguments do not run the daemon.

    That is the case for ``--check``, unknown arguments and a missing ``--settings``.
    """
    parser = argparse.ArgumentParser(add_help=False, exit_on_error=False)
    parser.add_argument("--settings", default="")
    parser.add_argument("--check", action="store_true")
    try:
        options, unknown = parser.parse_known_args(arguments)
    except argparse.ArgumentError:
        # The daemon's own parser reports the error.
        return None
    if options.check or unknown or not options.settings:
        return None
    return _early.bind_early(options.settings)
