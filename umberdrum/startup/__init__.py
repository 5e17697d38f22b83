"""Entry point of ``umberdrumd``, which binds sockets before it imports the daemon.

To start fast, this package imports only small modules of the standard library.
"""

from umberdrum.startup._binding import bind_listener
from umberdrum.startup._early import EarlyListeners, bind_early
from umberdrum.startup._program import run_program

__all__ = ["EarlyListeners", "bind_early", "bind_listener", "run_program"]
