"""Interface for answering the anti-entropy requests of other daemons."""

from typing import Protocol

from umberdrum import wire


class Synchronizer(Protocol):
    """Answers requests of peers for a full synchronisation, which are rare."""

    def answer_sync(
        self, request: wire.messages.SyncRequest, now: float
    ) -> wire.messages.SyncReply:
        """Merge the state in the request and return the state its sender lacks."""
