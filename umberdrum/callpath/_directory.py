"""Interface to the known endpoints of each service."""

from collections.abc import Sequence
from typing import Protocol

from umberdrum import peerlink, routing


class EndpointDirectory(Protocol):
    """Endpoints that can take calls, from the current state of the membership."""

    def list_candidates(self, service: str) -> Sequence[routing.Candidate]:
        """Return the endpoints of ``service`` that take new calls."""

    def is_drained(self, service: str) -> bool:
        """Return whether all endpoints of ``service`` are in drained zones."""

    def get_peer(self, key: str) -> peerlink.PeerAddress:
        """Return the peer address of the daemon of the candidate ``key``."""

    def mark_unreachable(self, key: str) -> None:
        """Treat the candidate ``key`` as suspected for a short time.

        Called after the peer link to its daemon failed.
        """
