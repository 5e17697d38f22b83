"""How long a connection to the upstream may rest before it is used again."""

# The users report upstreams that forget connections after 0.3 s.
CAREFUL_SECONDS = 0.2
MIN_SECONDS = 0.1
LOST_SHARE = 0.5
RELAX_SECONDS = 5.0
RELAX_FACTOR = 2.0


class RestLimit:
    """Learns after what rest the upstream has forgotten a connection.

    Load pattern: an upstream that drops idle connections without notice and resets
    whatever comes next. A call that may be repeated costs little then, and shows how
    long a rest was too long. One that may not would end with an unknown outcome, so it
    goes only over a connection that has hardly rested.

    Times are seconds of a monotonic clock.
    """

    def __init__(self, max_seconds: float) -> None:
        self._max_seconds = max_seconds
        self._seconds = max_seconds
        self._changed_at = 0.0

    def note_lost(self, rested_seconds: float, now: float) -> None:
        """Note that a connection was lost as it was used again after such a rest."""
        wanted = max(MIN_SECONDS, rested_seconds * LOST_SHARE)
        self._seconds = min(self.get_seconds(now, is_repeatable=True), wanted)
        self._changed_at = now

    def get_seconds(self, now: float, is_repeatable: bool) -> float:
        """Return the longest rest of a connection that a call may use."""
        n_steps = int((now - self._changed_at) / RELAX_SECONDS)
        if self._seconds < self._max_seconds and n_steps:
            relaxed = self._seconds * RELAX_FACTOR**n_steps
            self._seconds = min(self._max_seconds, relaxed)
            self._changed_at = now
        return self._seconds if is_repeatable else min(self._seconds, CAREFUL_SECONDS)
