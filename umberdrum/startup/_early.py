"""Listening sockets that are bound before the daemon is imported."""

import configparser
import socket
import time
from typing import NamedTuple

from umberdrum.startup import _binding

SECTION = "listen"
# Callers and the upstream have no other daemon and rarely retry a refused connection.
# Peers are left out: a refused peer chooses another endpoint at once, which is
# better for it than waiting.
EARLY_KEYS = ("caller", "announce")


class EarlyListeners(NamedTuple):
    """Listening sockets and a time shortly before the first of them was bound.

    ``bound_at`` is in seconds of the monotonic clock.
    """

    sockets: tuple[socket.socket, ...]
    bound_at: float


def bind_early(settings_path: str) -> EarlyListeners:
    """Bind the caller and announcement addresses of the settings file.

    Load pattern: all daemons start at once after a power failure. Importing the daemon
    takes 0.2 to 0.8 s. Without listening sockets, callers would be refused during that
    time and use up their retries. Connections that wait in the kernel's backlog are
    served as soon as the daemon runs.

    Addresses that can't be read or bound are skipped. The daemon reads the settings
    again, binds the missing addresses, and reports errors in the settings.
    """
    bound_at = time.monotonic()
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(settings_path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error):
        return EarlyListeners((), bound_at)
    listeners: list[socket.socket] = []
    for key in EARLY_KEYS:
        host, _, port = parser.get(SECTION, key, fallback="").rpartition(":")
        if not host or not port.isdigit():
            continue
        try:
            listeners.append(_binding.bind_listener(host.strip("[]"), int(port)))
        except (OSError, OverflowError):
            continue
    return EarlyListeners(tuple(listeners), bound_at)
