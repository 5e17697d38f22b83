"""Interface to what is known of the endpoints of a service."""

from collections.abc import Sequence
from typing import Protocol

from umberdrum import peerlink, routing


class EndpointDirectory(Protocol):
    """Endpoints that may take calls, as membership knows them at this moment."""

    def list_candidates(self, service: str) -> Sequence[routing.Candidate]:
        """Return the endpoints of ``service`` that take new calls."""

    def get_peer(self, key: str) -> peerlink.PeerAddress:
        """Return where the daemon of the candidate ``key`` is reached."""

    def mark_unreachable(self, key: str) -> None:
        """Take the hint that the daemon of the candidate ``key`` did not answer."""
