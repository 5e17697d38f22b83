"""Limit on the rate at which calls begin at an upstream."""

from typing import NamedTuple

# A limit near 0 would never be seen to end: only a response can say so.
MIN_RATE_PER_SECOND = 0.5
BURST_SECONDS = 0.25
MAX_ASSIGNED_SECONDS = 1.0
# Share of what operators tolerate that calls to a cold upstream make use of.
TOLERANCE_SHARE = 0.5
# Keeps rounding errors from delaying a call that is due.
TOKEN_TOLERANCE = 1e-6


class ColdTolerance(NamedTuple):
    """How far the calls to a cold upstream may exceed the rate that it bears.

    Operators allow ``factor`` times the rate plus ``n_extra`` calls in any second. Half
    of both is used, so that calls which are late on their way don't add up to more.
    """

    factor: float = 1.0
    n_extra: float = 0.0

    def get_rate(self, rate_per_second: float) -> float:
        """Return the rate at which calls may begin."""
        return rate_per_second * (1.0 + (self.factor - 1.0) * TOLERANCE_SHARE)

    def get_burst(self) -> float:
        """Return the calls that may begin at once, beyond that rate."""
        return self.n_extra * TOLERANCE_SHARE


NO_TOLERANCE = ColdTolerance()


class RateLimiter:
    """Token bucket for the requests a second that an upstream takes from all callers.

    Two limits may be in force, of which the lower one binds. ``rate_per_second`` is the
    one that the upstream's responses name. The other holds while the upstream is cold:
    it has just started, or turned slow as if it had, and many more calls would crash
    it.

    All calls to the upstream pass through the gate of its daemon, so one bucket there
    bounds what all daemons send. The bucket starts empty, because the calls that begin
    before the limit is known count as well. Without a limit, every call may begin.

    Times are seconds of the daemon's monotonic clock.
    """

    def __init__(self) -> None:
        self.rate_per_second: float | None = None
        self.cold_tolerance = NO_TOLERANCE
        self._cold_rate = 0.0
        self._cold_until = 0.0
        self._n_tokens = 0.0
        self._updated_at = 0.0
        self._last_assigned_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether a limit that the upstream has named is in force."""
        return self.rate_per_second is not None

    def is_limiting(self, now: float) -> bool:
        """Return whether any limit is in force now."""
        return self._get_limit(now) is not None

    def get_cold_seconds(self, now: float) -> float:
        """Return how much longer the limit of a cold upstream holds, 0 without one."""
        return max(0.0, self._cold_until - now)

    def set_rate(self, rate_per_second: float, now: float) -> None:
        """Put the limit that the upstream has named in force, or change it."""
        self._prepare_change(now)
        self.rate_per_second = rate_per_second
        self._n_tokens = min(self._n_tokens, self._get_burst(now))

    def lift(self) -> None:
        """End the limit that the upstream has named."""
        self.rate_per_second = None

    def set_cold_rate(self, rate_per_second: float, until: float, now: float) -> None:
        """Put the limit of a cold upstream in force until ``until``, or end it."""
        was_limiting = self.is_limiting(now)
        self._prepare_change(now)
        self._cold_rate = self.cold_tolerance.get_rate(rate_per_second)
        self._cold_until = until
        burst = self._get_burst(now)
        if not was_limiting:
            self._n_tokens = self.cold_tolerance.get_burst()
        self._n_tokens = min(self._n_tokens, burst)

    def may_start(self, now: float) -> bool:
        """Return whether a call may begin now."""
        if self._get_limit(now) is None:
            return True
        self._refill(now)
        return self._n_tokens >= 1.0 - TOKEN_TOLERANCE

    def record_start(self, now: float) -> None:
        """Count a call that begins."""
        if self._get_limit(now) is None:
            return
        self._refill(now)
        self._n_tokens -= 1.0

    def get_wait_seconds(self, n_ahead: int, now: float) -> float:
        """Return how long a call waits for its turn behind ``n_ahead`` others."""
        if self._get_limit(now) is None:
            return 0.0
        self._refill(now)
        n_missing = n_ahead + 1 - self._n_tokens
        if n_missing <= TOKEN_TOLERANCE:
            return 0.0
        return n_missing / self._get_rate(now)

    def assign_wait_seconds(self, n_ahead: int, now: float) -> float:
        """Return after which time an entry daemon should send its next call.

        Load pattern: many entry daemons wait for the next call that the limit allows.
        Each is given a time of its own, so that they don't all try at once and are
        refused but for one.
        """
        if self._get_limit(now) is None:
            return 0.0
        interval_seconds = 1.0 / self._get_rate(now)
        next_at = now + self.get_wait_seconds(n_ahead, now)
        next_at = max(next_at, self._last_assigned_at + interval_seconds)
        next_at = min(next_at, now + max(MAX_ASSIGNED_SECONDS, interval_seconds))
        self._last_assigned_at = next_at
        return next_at - now

    def get_interval_seconds(self, now: float) -> float:
        """Return the time between two calls at the limit, 0 without a limit."""
        return 0.0 if self._get_limit(now) is None else 1.0 / self._get_rate(now)

    def _prepare_change(self, now: float) -> None:
        """Settle the bucket before a limit changes; a first limit empties it."""
        if self._get_limit(now) is None:
            self._n_tokens = 0.0
            self._last_assigned_at = now
        else:
            self._refill(now)
        self._updated_at = now

    def _refill(self, now: float) -> None:
        elapsed_seconds = now - self._updated_at
        self._updated_at = now
        self._n_tokens += elapsed_seconds * self._get_rate(now)
        self._n_tokens = min(self._n_tokens, self._get_burst(now))

    def _get_burst(self, now: float) -> float:
        burst = max(1.0, self._get_rate(now) * BURST_SECONDS)
        if self.rate_per_second is None and now < self._cold_until:
            return max(burst, self.cold_tolerance.get_burst())
        return burst

    def _get_rate(self, now: float) -> float:
        return max(MIN_RATE_PER_SECOND, self._get_limit(now) or 0.0)

    def _get_limit(self, now: float) -> float | None:
        """Return the lowest limit in force, None if there is none."""
        if now >= self._cold_until:
            return self.rate_per_second
        if self.rate_per_second is None:
            return self._cold_rate
        return min(self._cold_rate, self.rate_per_second)
