"""Decision when, and with whom, a daemon synchronises all that it knows."""

import math
import random

from umberdrum import peerlink
from umberdrum.gossip import _synchronizer

MIN_INTERVAL_SECONDS = 5.0
MAX_INTERVAL_SECONDS = 60.0
MISMATCHES_BEFORE_SYNC = 4
RETRY_SECONDS = 1.0
# A peer that knows of an eighth more endpoints is worth a synchronisation at once; news
# that is on its way makes smaller differences.
MIN_MORE_SHARE = 1 / 8
JOIN_INTERVAL_SECONDS = 0.5


class SyncSchedule:
    """Schedule of the synchronisations of one daemon.

    Load patterns: one record now and then fails to spread, which digests that differ
    for a while show; and many daemons start together, meet each other first, and all
    lack those that were there before. In the second case peers that know of many more
    endpoints are asked at short intervals. Each such synchronisation adds an eighth or
    more to what is known, so that there are few of them.

    Times are seconds of this daemon's monotonic clock.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._n_mismatches = 0
        self._peer: peerlink.PeerAddress | None = None
        self._interval = MIN_INTERVAL_SECONDS
        self._next_at = 0.0
        self._last_at = -math.inf

    def note_agreement(self) -> None:
        """Note that a peer has the same digests as this daemon."""
        self._n_mismatches = 0
        self._interval = MIN_INTERVAL_SECONDS

    def note_mismatch(
        self,
        peer: peerlink.PeerAddress,
        n_known_there: int,
        n_known_here: int,
        now: float,
    ) -> bool:
        """Note that the digests of ``peer`` differ; return whether to act at once.

        The numbers are those of the live endpoints that either side knows.
        """
        self._n_mismatches += 1
        self._peer = peer
        n_more = n_known_there - n_known_here
        if n_more < max(1.0, n_known_here * MIN_MORE_SHARE):
            return False
        self._n_mismatches = MISMATCHES_BEFORE_SYNC
        self._next_at = min(self._next_at, self._last_at + JOIN_INTERVAL_SECONDS)
        return now >= self._next_at

    def take(self, n_endpoints: int, now: float) -> peerlink.PeerAddress | None:
        """Return the peer to synchronise with now, if any."""
        if self._n_mismatches < MISMATCHES_BEFORE_SYNC or now < self._next_at:
            return None
        size_factor = max(1.0, math.log2(n_endpoints + 1) / 4)
        jitter = self._rng.uniform(0.5, 1.5)
        self._next_at = now + self._interval * size_factor * jitter
        self._last_at = now
        self._n_mismatches = 0
        return self._peer

    def note_result(self, result: _synchronizer.SyncResult, now: float) -> None:
        """Note how a synchronisation ended, which decides on the next interval."""
        if not result.is_done:
            # Another peer may be reachable; try as soon as one differs.
            self._next_at = now + RETRY_SECONDS
        if result.n_newer_records:
            self._interval = MIN_INTERVAL_SECONDS
            return
        self._interval = min(MAX_INTERVAL_SECONDS, self._interval * 2)
