"""Limit on how long a reused connection to the upstream may have been idle."""

# Users report upstreams that drop idle connections after 0.3 s.
MAX_NON_IDEMPOTENT_IDLE_SECONDS = 0.2
MIN_LIMIT_SECONDS = 0.1
REDUCTION_FACTOR = 0.5
RELAX_INTERVAL_SECONDS = 5.0
RELAX_FACTOR = 2.0


class IdleLimit:
    """Adapts the idle time after which a connection is no longer reused.

    Load pattern: an upstream that drops idle connections without notice and resets
    them at the next request. An idempotent call can be repeated then at little cost,
    and its failure shows which idle time was too long. A non-idempotent call would end
    with an unknown outcome, so it uses only connections that were idle for a short
    time. A loss lowers the limit, which then rises in steps up to its maximum.

    Times are seconds of a monotonic clock.
    """

    def __init__(self, max_seconds: float) -> None:
        self._max_seconds = max_seconds
        self._seconds = max_seconds
        self._changed_at = 0.0

    def record_loss(self, idle_seconds: float, now: float) -> None:
        """Lower the limit after a connection idle for ``idle_seconds`` was lost."""
        reduced = max(MIN_LIMIT_SECONDS, idle_seconds * REDUCTION_FACTOR)
        self._seconds = min(self.get_limit_seconds(now, is_idempotent=True), reduced)
        self._changed_at = now

    def get_limit_seconds(self, now: float, is_idempotent: bool) -> float:
        """Return the longest idle time of a connection that the call may reuse."""
        n_steps = int((now - self._changed_at) / RELAX_INTERVAL_SECONDS)
        if self._seconds < self._max_seconds and n_steps:
            relaxed = self._seconds * RELAX_FACTOR**n_steps
            self._seconds = min(self._max_seconds, relaxed)
            self._changed_at = now
        return (
            self._seconds
            if is_idempotent
            else min(self._seconds, MAX_NON_IDEMPOTENT_IDLE_SECONDS)
        )
