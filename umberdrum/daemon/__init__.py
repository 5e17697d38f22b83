"""The daemon beside each upstream: parts put together, started and stopped."""

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
