"""Cap on the bytes that one daemon sends for control."""

RATE_BYTES_PER_SECOND = 2_300.0
BURST_BYTES = 12_000.0


class ControlBudget:
    """Token bucket for gossip bytes, with the overhead of their packets.

    Each daemon receives on average what it sends, so that a daemon that sends at most
    ``RATE_BYTES_PER_SECOND`` stays below twice that in both directions together.
    Liveness probes may overdraw the bucket a little; news waits until it has filled.
    """

    def __init__(self, now: float) -> None:
        self._n_bytes = BURST_BYTES
        self._at = now

    def get_available(self, now: float) -> float:
        """Return the bytes that may be sent now."""
        elapsed = now - self._at
        self._at = now
        self._n_bytes = min(
            BURST_BYTES, self._n_bytes + elapsed * RATE_BYTES_PER_SECOND
        )
        return self._n_bytes

    def spend(self, n_bytes: int) -> None:
        """Take ``n_bytes`` that were sent."""
        self._n_bytes -= n_bytes
