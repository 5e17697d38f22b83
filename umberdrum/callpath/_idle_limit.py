"""Limit on how long a reused connection to the upstream may have been idle."""

# Users report upstreams that drop idle connections after 0.3 s.
MAX_NON_IDEMPOTENT_IDLE_SECONDS = 0.2
MIN_LIMIT_SECONDS = 0.1
REDUCTION_FACTOR = 0.5
RECOVERY_INTERVAL_SECONDS = 5.0
RECOVERY_FACTOR = 2.0


class IdleLimit:
    """Adapts the idle time after which a connection is no longer reused.

    Load pattern: an upstream that drops idle connections without notice and resets them
    at the next request. An idempotent call can be repeated then, and its failure shows
    which idle time was too long. A non-idempotent call would end with an unknown
    outcome, so it uses only connections that were idle for a short time.

    After a loss the limit is lowered; it rises again in steps until it has reached its
    maximum. Times are seconds of a monotonic clock.
    """

    def __init__(self, max_limit_seconds: float) -> None:
        self._max_limit_seconds = max_limit_seconds
        self._limit_seconds = max_limit_seconds
        self._changed_at = 0.0

    def record_loss(self, idle_seconds: float, now: float) -> None:
        """Lower the limit after a connection idle for ``idle_seconds`` was lost."""
        reduced = max(MIN_LIMIT_SECONDS, idle_seconds * REDUCTION_FACTOR)
        self._limit_seconds = min(
            self.get_limit_seconds(now, is_idempotent=True), reduced
        )
        self._changed_at = now

    def get_limit_seconds(self, now: float, is_idempotent: bool) -> float:
        """Return the longest idle time of a connection that the call may reuse."""
        n_steps = int((now - self._changed_at) / RECOVERY_INTERVAL_SECONDS)
        if self._limit_seconds < self._max_limit_seconds and n_steps:
            increased = self._limit_seconds * RECOVERY_FACTOR**n_steps
            self._limit_seconds = min(self._max_limit_seconds, increased)
            self._changed_at = now
        return (
            self._limit_seconds
            if is_idempotent
            else min(self._limit_seconds, MAX_NON_IDEMPOTENT_IDLE_SECONDS)
        )
