"""Schedule of anti-entropy: when and with which peer to synchronise fully."""

import math
import random

from umberdrum import peerlink
from umberdrum.gossip import _synchronizer

MIN_INTERVAL_SECONDS = 5.0
MAX_INTERVAL_SECONDS = 60.0
N_MISMATCHES_BEFORE_SYNC = 4
RETRY_DELAY_SECONDS = 1.0
# A peer that knows an eighth more endpoints justifies an immediate synchronisation.
# Updates that are still being disseminated cause smaller differences.
MIN_SURPLUS_RATIO = 1 / 8
JOIN_INTERVAL_SECONDS = 0.5


class SyncSchedule:
    """Schedule of one daemon's full synchronisations.

    Load patterns: first, an update occasionally fails to reach this daemon; digests
    that differ for some time show this. Second, many daemons start together, discover
    each other first and all lack the records of the daemons that ran before. In the
    second case, this daemon synchronises at short intervals with peers that know many
    more endpoints. Each such synchronisation adds at least an eighth to the known
    endpoints, so only a few are needed.

    Times are in seconds of this daemon's monotonic clock.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._n_mismatches = 0
        self._peer: peerlink.PeerAddress | None = None
        self._interval_seconds = MIN_INTERVAL_SECONDS
        self._next_sync_at = 0.0
        self._last_sync_at = -math.inf

    def record_match(self) -> None:
        """Record that a peer has the same digests as this daemon."""
        self._n_mismatches = 0
        self._interval_seconds = MIN_INTERVAL_SECONDS

    def record_mismatch(
        self,
        peer: peerlink.PeerAddress,
        n_known_by_peer: int,
        n_known_here: int,
        now: float,
    ) -> bool:
        """Record that ``peer`` has other digests; return whether to synchronise now.

        The counts are the live endpoints that the peer and this daemon know.
        """
        self._n_mismatches += 1
        self._peer = peer
        n_surplus = n_known_by_peer - n_known_here
        if n_surplus < max(1.0, n_known_here * MIN_SURPLUS_RATIO):
            return False
        self._n_mismatches = N_MISMATCHES_BEFORE_SYNC
        self._next_sync_at = min(
            self._next_sync_at, self._last_sync_at + JOIN_INTERVAL_SECONDS
        )
        return now >= self._next_sync_at

    def take_due_peer(
        self, n_endpoints: int, now: float
    ) -> peerlink.PeerAddress | None:
        """Return the peer to synchronise with now, or None, and set the next time."""
        if self._n_mismatches < N_MISMATCHES_BEFORE_SYNC or now < self._next_sync_at:
            return None
        size_factor = max(1.0, math.log2(n_endpoints + 1) / 4)
        jitter = self._rng.uniform(0.5, 1.5)
        self._next_sync_at = now + self._interval_seconds * size_factor * jitter
        self._last_sync_at = now
        self._n_mismatches = 0
        return self._peer

    def record_result(self, result: _synchronizer.SyncResult, now: float) -> None:
        """Record the result of a synchronisation and adapt the interval to it."""
        if not result.is_completed:
            # Another peer may be reachable; retry soon with one whose digests differ.
            self._next_sync_at = now + RETRY_DELAY_SECONDS
        if result.n_newer_records:
            self._interval_seconds = MIN_INTERVAL_SECONDS
            return
        self._interval_seconds = min(MAX_INTERVAL_SECONDS, self._interval_seconds * 2)
