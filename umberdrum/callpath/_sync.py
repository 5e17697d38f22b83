"""Interface to the part that answers full synchronisations of other daemons."""

from typing import Protocol

from umberdrum import wire


class Synchronizer(Protocol):
    """Answers the rare requests of a peer for all that it lacks."""

    def answer_sync(
        self, request: wire.messages.SyncRequest, now: float
    ) -> wire.messages.SyncReply:
        """Merge what the request brings and return what its sender lacks."""
