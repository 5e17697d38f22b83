"""Selection of the peer from which a newer document is fetched."""

import math

from umberdrum import classes, peerlink

# A contact in the same availability zone reads a change from the store within about
# 0.1 s. Users require a change to be in force everywhere within 2 s.
CROSS_ZONE_WAIT_SECONDS = 0.3


class FetchPeerSelector:
    """Selects among peers with a newer catalog, preferring the same zone.

    Load pattern: a long configuration document changes often, and traffic between
    availability zones is expensive. Each zone has a contact, a daemon that reads the
    document from the store. A peer in the same zone therefore has the document shortly
    after the first peer that advertises it. A peer in another zone is selected only if
    no peer in the same zone advertises the document within ``CROSS_ZONE_WAIT_SECONDS``
    or if this daemon has no document at all.
    """

    def __init__(self) -> None:
        self._highest_position = classes.NO_POSITION
        self._same_zone_peer: peerlink.PeerAddress | None = None
        self._other_zone_peer: peerlink.PeerAddress | None = None
        self._outdated_since = 0.0

    def record_position(
        self,
        peer: peerlink.PeerAddress,
        position: classes.EntryPosition,
        own_position: classes.EntryPosition,
        is_same_zone: bool,
        now: float,
    ) -> bool:
        """Record the position that ``peer`` advertises; return whether it is newer."""
        if position <= own_position:
            return False
        if own_position >= self._highest_position:
            self._outdated_since = now
        self._highest_position = max(self._highest_position, position)
        if is_same_zone:
            self._same_zone_peer = peer
        else:
            self._other_zone_peer = peer
        return True

    def is_outdated(self, own_position: classes.EntryPosition) -> bool:
        """Return whether a peer has advertised a newer position."""
        return own_position < self._highest_position

    def get_outdated_seconds(
        self, own_position: classes.EntryPosition, now: float
    ) -> float:
        """Return for how long a newer position has been known, 0 if there is none."""
        return now - self._outdated_since if self.is_outdated(own_position) else 0.0

    def take_peer(
        self, own_position: classes.EntryPosition, now: float
    ) -> peerlink.PeerAddress | None:
        """Remove and return the peer to fetch from now, or None."""
        if own_position >= self._highest_position:
            self._same_zone_peer = None
            self._other_zone_peer = None
            return None
        peer = self._same_zone_peer
        if peer is not None:
            self._same_zone_peer = None
            return peer
        if own_position > classes.NO_POSITION and now < self._compute_cross_zone_at():
            return None
        peer = self._other_zone_peer
        self._other_zone_peer = None
        return peer

    def get_cross_zone_due_at(self) -> float:
        """Return when a peer in another zone is due; infinite if none is known.

        From exactly this time on, ``take_peer`` returns the peer. The caller waits
        until this time instead of computing a duration. A duration is rounded, and a
        wait that ends too early because of rounding would repeat endlessly.
        """
        if self._other_zone_peer is None:
            return math.inf
        return self._compute_cross_zone_at()

    def _compute_cross_zone_at(self) -> float:
        return self._outdated_since + CROSS_ZONE_WAIT_SECONDS
