"""Limit on the rate at which calls begin at an upstream."""

# A limit near 0 would never be seen to end: only a response can say so.
MIN_RATE_PER_SECOND = 0.5
BURST_SECONDS = 0.25
MAX_ASSIGNED_SECONDS = 1.0
# Keeps rounding errors from delaying a call that is due.
TOKEN_TOLERANCE = 1e-6


class RateLimiter:
    """Token bucket for the requests a second that an upstream takes from all callers.

    All calls to the upstream pass through the gate of its daemon, so one bucket there
    bounds what all daemons send. The bucket starts empty, because the calls that begin
    before the limit is known count as well. Without a limit, every call may begin.

    Times are seconds of the daemon's monotonic clock.
    """

    def __init__(self) -> None:
        self.rate_per_second: float | None = None
        self._n_tokens = 0.0
        self._updated_at = 0.0
        self._last_assigned_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether a limit is in force."""
        return self.rate_per_second is not None

    def set_rate(self, rate_per_second: float, now: float) -> None:
        """Put a limit in force, or change it."""
        if self.rate_per_second is None:
            self._n_tokens = 0.0
            self._last_assigned_at = now
        else:
            self._refill(now)
        self._updated_at = now
        self.rate_per_second = rate_per_second
        self._n_tokens = min(self._n_tokens, self._get_burst())

    def lift(self) -> None:
        """End the limit."""
        self.rate_per_second = None

    def may_start(self, now: float) -> bool:
        """Return whether a call may begin now."""
        if self.rate_per_second is None:
            return True
        self._refill(now)
        return self._n_tokens >= 1.0 - TOKEN_TOLERANCE

    def record_start(self, now: float) -> None:
        """Count a call that begins."""
        if self.rate_per_second is None:
            return
        self._refill(now)
        self._n_tokens -= 1.0

    def get_wait_seconds(self, n_ahead: int, now: float) -> float:
        """Return how long a call waits for its turn behind ``n_ahead`` others."""
        if self.rate_per_second is None:
            return 0.0
        self._refill(now)
        n_missing = n_ahead + 1 - self._n_tokens
        if n_missing <= TOKEN_TOLERANCE:
            return 0.0
        return n_missing / self._get_rate()

    def assign_wait_seconds(self, n_ahead: int, now: float) -> float:
        """Return after which time an entry daemon should send its next call.

        Load pattern: many entry daemons wait for the next call that the limit allows.
        Each is given a time of its own, so that they don't all try at once and are
        refused but for one.
        """
        if self.rate_per_second is None:
            return 0.0
        next_at = now + self.get_wait_seconds(n_ahead, now)
        next_at = max(next_at, self._last_assigned_at + 1.0 / self._get_rate())
        next_at = min(next_at, now + max(MAX_ASSIGNED_SECONDS, 1.0 / self._get_rate()))
        self._last_assigned_at = next_at
        return next_at - now

    def get_interval_seconds(self) -> float:
        """Return the time between two calls at the limit, 0 without a limit."""
        return 0.0 if self.rate_per_second is None else 1.0 / self._get_rate()

    def _refill(self, now: float) -> None:
        elapsed_seconds = now - self._updated_at
        self._updated_at = now
        self._n_tokens += elapsed_seconds * self._get_rate()
        self._n_tokens = min(self._n_tokens, self._get_burst())

    def _get_burst(self) -> float:
        return max(1.0, self._get_rate() * BURST_SECONDS)

    def _get_rate(self) -> float:
        return max(MIN_RATE_PER_SECOND, self.rate_per_second or 0.0)
