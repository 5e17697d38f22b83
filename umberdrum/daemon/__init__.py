"""The daemon: a sidecar process next to each upstream.

This package connects the parts of a daemon, starts them and stops them.
"""

from umberdrum.daemon._daemon import Daemon
from umberdrum.daemon._integration import (
    Integration,
    RoutesDocument,
    build_own_integration,
)
from umberdrum.daemon._parts import DaemonParts

__all__ = [
    "Daemon",
    "DaemonParts",
    "Integration",
    "RoutesDocument",
    "build_own_integration",
]
