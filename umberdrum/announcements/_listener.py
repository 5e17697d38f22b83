"""Interface for changes of the upstream's state."""

from typing import Protocol

from umberdrum import callpath


class UpstreamStateListener(Protocol):
    """Receives the state of the upstream whenever it changes."""

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Replace the upstream's state by that of ``announcement``."""

    def apply_cold_period(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Take over how long the upstream stays cold; all else is as announced before.

        It is called for each announcement that repeats the one before it otherwise.
        """

    def apply_absence(self) -> None:
        """Mark the upstream as absent."""
