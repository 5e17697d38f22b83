"""Interface for changes of the upstream's state."""

from typing import Protocol

from umberdrum import callpath


class UpstreamStateListener(Protocol):
    """Receives the state of the upstream whenever it changes."""

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Replace the upstream's state by that of ``announcement``."""

    def apply_absence(self) -> None:
        """Mark the upstream as absent."""
