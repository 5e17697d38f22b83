"""Listening sockets that are there before the program is loaded."""

import configparser
import socket
import time
from typing import NamedTuple

from umberdrum.startup import _binding

SECTION = "listen"
# Callers and the upstream have no other daemon and repeat a refused connection seldom.
# Peers that are refused choose another endpoint at once, which is better for them.
EARLY_KEYS = ("caller", "announce")


class EarlyListeners(NamedTuple):
    """Sockets that listen already, and since when.

    ``bound_at`` is in seconds of the monotonic clock.
    """

    sockets: tuple[socket.socket, ...]
    bound_at: float


def bind_early(settings_path: str) -> EarlyListeners:
    """Listen where callers and the upstream connect, and return the sockets.

    Load pattern: all daemons start at once after a loss of power. Loading the program
    takes 0.2 to 0.8 s, in which callers would be refused and use up their repeats.
    Connections that wait in the kernel are served as soon as the program runs.

    What can't be read or bound here is left out. The daemon reads the settings again,
    binds what is missing, and says what is wrong with them.
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
