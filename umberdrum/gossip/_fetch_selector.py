"""Selection of the peers from which a newer document is fetched, and when."""

import math
from typing import NamedTuple

from umberdrum import classes, peerlink

# A contact in the same availability zone reads a change from the store within about
# 0.1 s. Users require a change to be in force everywhere within 2 s.
CROSS_ZONE_WAIT_SECONDS = 0.3
# A fetch takes some milliseconds. One that is not answered by then is doubled, so that
# three peers may fail one after the other before a change is late.
FETCH_PATIENCE_SECONDS = 0.3
MAX_FETCHES = 4
MAX_RETRY_SECONDS = 4.0
# The last one begins 4.5 s after the first, by when gossip suspects an ended peer.
MAX_FETCHES_PER_ADVERTISEMENT = 5


class Fetch(NamedTuple):
    """Fetch to begin now.

    ``needs_new_link`` is set after another fetch of the same document has failed or has
    not been answered yet: kept links may have gone silent while new ones work.
    """

    peer: peerlink.PeerAddress
    needs_new_link: bool


class _Advertiser(NamedTuple):
    """Peer with a newer catalog.

    ``n_fetches`` were begun from it since one last brought a document, the last one at
    ``began_at``, and ``n_since_advertised`` since it last advertised ``position``.
    """

    position: classes.EntryPosition
    is_same_zone: bool
    n_fetches: int = 0
    n_since_advertised: int = 0
    began_at: float = -math.inf


class _HeardPosition(NamedTuple):
    """Position that was the highest when it was first heard of, at ``heard_at``."""

    position: classes.EntryPosition
    heard_at: float


class FetchPeerSelector:
    """Selects among peers with a newer catalog, preferring the same zone.

    Load patterns: first, a long configuration document changes often, and traffic
    between availability zones is expensive. Each zone has a contact, a daemon that
    reads the document from the store. A peer in the same zone therefore has the
    document shortly after the first peer that advertises it. A peer in another zone is
    selected only if no peer in the same zone advertises the document within
    ``CROSS_ZONE_WAIT_SECONDS`` or if this daemon has no document at all.

    Second, the link to a peer is silent, or the peer was stopped after it had
    advertised the document. If a fetch is not answered within
    ``FETCH_PATIENCE_SECONDS``, another one begins beside it over a new link, first from
    a peer that was not asked yet, up to ``MAX_FETCHES`` at once.

    Third, changes follow each other so fast that a newer one is known whenever one
    arrives. The waits and pauses for one document don't count for the next.

    Fourth, all daemons that had a change have ended, and the store has lost it in a
    restore. A peer that does not advertise it again is forgotten after
    ``MAX_FETCHES_PER_ADVERTISEMENT`` fetches, and the position with the last such peer.

    ``take_fetch`` begins a fetch, ``end_fetch`` must follow when it has ended.
    """

    def __init__(self) -> None:
        # In rising order of positions and times.
        self._heard: list[_HeardPosition] = []
        # In the order of their last advertisements.
        self._advertisers: dict[peerlink.PeerAddress, _Advertiser] = {}
        self._n_running = 0
        self._last_began_at = -math.inf

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
        self._heard = [row for row in self._heard if row.position > own_position]
        if not self._heard:
            self._advertisers.clear()
        if not self._heard or position > self._heard[-1].position:
            self._heard.append(_HeardPosition(position, now))
        known = self._advertisers.pop(peer, None)
        advertiser = known or _Advertiser(position, is_same_zone)
        self._advertisers[peer] = advertiser._replace(
            position=position, n_since_advertised=0
        )
        return True

    def is_outdated(self, own_position: classes.EntryPosition) -> bool:
        """Return whether a peer has advertised a newer position."""
        return bool(self._heard) and own_position < self._heard[-1].position

    def get_outdated_seconds(
        self, own_position: classes.EntryPosition, now: float
    ) -> float:
        """Return for how long a newer position has been known, 0 if there is none."""
        for row in self._heard:
            if row.position > own_position:
                return now - row.heard_at
        return 0.0

    def take_fetch(
        self, own_position: classes.EntryPosition, now: float
    ) -> Fetch | None:
        """Return the fetch to begin now, or None."""
        best_peer: peerlink.PeerAddress | None = None
        best_rank = (False, False)
        is_first = True
        for peer, advertiser in self._list_useful(own_position):
            is_first = is_first and not advertiser.n_fetches
            if now < self._compute_due_at(advertiser, own_position):
                continue
            rank = (not advertiser.n_fetches, advertiser.is_same_zone)
            # Of equal peers, the one that has advertised last is selected.
            if best_peer is None or rank >= best_rank:
                best_peer = peer
                best_rank = rank
        if best_peer is None:
            return None
        chosen = self._advertisers[best_peer]
        self._advertisers[best_peer] = chosen._replace(
            n_fetches=chosen.n_fetches + 1,
            n_since_advertised=chosen.n_since_advertised + 1,
            began_at=now,
        )
        self._n_running += 1
        self._last_began_at = now
        return Fetch(best_peer, not is_first)

    def end_fetch(self, peer: peerlink.PeerAddress, has_brought_document: bool) -> None:
        """Record that a fetch from ``peer`` has ended."""
        self._n_running -= 1
        advertiser = self._advertisers.get(peer)
        if advertiser is None:
            return
        if has_brought_document:
            self._advertisers[peer] = advertiser._replace(n_fetches=0)
            return
        if advertiser.n_since_advertised >= MAX_FETCHES_PER_ADVERTISEMENT:
            self._forget_advertiser(peer)

    def _forget_advertiser(self, peer: peerlink.PeerAddress) -> None:
        """Forget a peer, and the positions that no other peer has advertised."""
        del self._advertisers[peer]
        highest = max(
            (row.position for row in self._advertisers.values()),
            default=classes.NO_POSITION,
        )
        self._heard = [
            row._replace(position=min(row.position, highest)) for row in self._heard
        ]

    def get_due_at(self, own_position: classes.EntryPosition) -> float:
        """Return when the next fetch is due; infinite if none is.

        From exactly this time on, ``take_fetch`` returns a fetch. The caller waits
        until this time instead of computing a duration. A duration is rounded, and a
        wait that ends too early because of rounding would repeat endlessly.
        """
        due_at = math.inf
        for _, advertiser in self._list_useful(own_position):
            due_at = min(due_at, self._compute_due_at(advertiser, own_position))
        return due_at

    def _list_useful(
        self, own_position: classes.EntryPosition
    ) -> list[tuple[peerlink.PeerAddress, _Advertiser]]:
        """Return the peers with newer documents; none while enough fetches run."""
        if self._n_running >= MAX_FETCHES:
            return []
        return [
            (peer, advertiser)
            for peer, advertiser in self._advertisers.items()
            if advertiser.position > own_position
        ]

    def _compute_due_at(
        self, advertiser: _Advertiser, own_position: classes.EntryPosition
    ) -> float:
        """Return from when on a fetch from the peer may begin."""
        due_at = -math.inf
        if self._n_running:
            due_at = self._last_began_at + FETCH_PATIENCE_SECONDS
        if advertiser.n_fetches:
            seconds = FETCH_PATIENCE_SECONDS * 2.0 ** (advertiser.n_fetches - 1)
            return max(due_at, advertiser.began_at + min(MAX_RETRY_SECONDS, seconds))
        if not advertiser.is_same_zone and own_position > classes.NO_POSITION:
            due_at = max(due_at, self._compute_cross_zone_at(own_position))
        return due_at

    def _compute_cross_zone_at(self, own_position: classes.EntryPosition) -> float:
        """Return from when on peers in other zones are asked."""
        for row in self._heard:
            if row.position > own_position:
                return row.heard_at + CROSS_ZONE_WAIT_SECONDS
        return math.inf
