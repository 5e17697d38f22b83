"""Interface to what follows from a change of the upstream's state."""

from typing import Protocol

from umberdrum import callpath


class UpstreamStateListener(Protocol):
    """Takes the state of the upstream whenever it changes."""

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Use what the upstream says of itself from now on."""

    def apply_absence(self) -> None:
        """Note that the upstream is gone."""
