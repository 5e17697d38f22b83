"""Rate limit for the gossip bytes that one daemon sends."""

RATE_BYTES_PER_SECOND = 2_300.0
BURST_BYTES = 12_000.0


class GossipTokenBucket:
    """Token bucket for gossip bytes, including packet overhead.

    On average, a daemon receives as many bytes as it sends. Limiting what it sends to
    ``RATE_BYTES_PER_SECOND`` therefore keeps both directions together below twice that
    rate. Liveness probes may overdraw the bucket slightly; updates wait for a refill.
    """

    def __init__(self, now: float) -> None:
        self._n_available_bytes = BURST_BYTES
        self._refilled_at = now

    def get_available(self, now: float) -> float:
        """Refill the bucket and return its bytes, which are negative if overdrawn."""
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._n_available_bytes = min(
            BURST_BYTES, self._n_available_bytes + elapsed * RATE_BYTES_PER_SECOND
        )
        return self._n_available_bytes

    def spend(self, n_bytes: int) -> None:
        """Subtract ``n_bytes`` that were sent; the result may be negative."""
        self._n_available_bytes -= n_bytes
