"""Run the daemon: ``python -m umberdrum.startup --settings FILE``."""

import sys

from umberdrum import startup

if __name__ == "__main__":
    sys.exit(startup.run_program())
