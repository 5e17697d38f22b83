"""First steps of the program ``umberdrumd``, before the rest of it is loaded.

Only light modules of the standard library are imported here.
"""

from umberdrum.startup._binding import bind_listener
from umberdrum.startup._early import EarlyListeners, bind_early
from umberdrum.startup._program import run_program

__all__ = ["EarlyListeners", "bind_early", "bind_listener", "run_program"]
