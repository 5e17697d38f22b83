"""Choice of the peer from which a document that is news is fetched."""

import math

from umberdrum import peerlink

# A contact of the own availability zone reads a change from the store within some
# 0.1 s; the users' bound for a change to be in force everywhere is 2 s.
DISTANT_WAIT_SECONDS = 0.3


class FetchChoice:
    """Peers that have named a newer revision, those of the own zone first.

    Load pattern: a long configuration document that changes often, while bytes between
    availability zones are dear. Each zone has a contact that reads the document from
    the store, so a peer nearby has it a moment later than the first peer that names it.
    A peer of another zone is asked only when none of the own zone has come up for
    ``DISTANT_WAIT_SECONDS``, or when this daemon has no document at all.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._near: peerlink.PeerAddress | None = None
        self._distant: peerlink.PeerAddress | None = None
        self._behind_since = 0.0

    def note_revision(
        self,
        peer: peerlink.PeerAddress,
        revision: int,
        own_revision: int,
        is_near: bool,
        now: float,
    ) -> bool:
        """Note the revision that ``peer`` has; return whether it is worth a look."""
        if revision <= own_revision:
            return False
        if own_revision >= self._highest:
            self._behind_since = now
        self._highest = max(self._highest, revision)
        if is_near:
            self._near = peer
        else:
            self._distant = peer
        return True

    def take(self, own_revision: int, now: float) -> peerlink.PeerAddress | None:
        """Return the peer to fetch from now, if any; it is forgotten."""
        if own_revision >= self._highest:
            self._near = None
            self._distant = None
            return None
        peer = self._near
        if peer is not None:
            self._near = None
            return peer
        if own_revision and now < self._get_distant_at():
            return None
        peer = self._distant
        self._distant = None
        return peer

    def get_due_at(self) -> float:
        """Return when a distant peer may be asked; infinite if none is known.

        From that very moment on ``take`` returns the peer. The caller waits until then
        rather than for a difference of times: a difference is rounded, and a wait that
        ends too early by a rounding error would be repeated without an end.
        """
        if self._distant is None:
            return math.inf
        return self._get_distant_at()

    def _get_distant_at(self) -> float:
        return self._behind_since + DISTANT_WAIT_SECONDS
