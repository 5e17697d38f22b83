"""The daemon beside each upstream: parts put together, started and stopped."""

from umberdrum.daemon._daemon import Daemon, DaemonParts

__all__ = ["Daemon", "DaemonParts"]
