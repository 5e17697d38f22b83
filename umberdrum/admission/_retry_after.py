"""Retry times that are given to refused callers."""

MIN_RETRY_AFTER_SECONDS = 0.02
MAX_RETRY_AFTER_SHARE = 0.33


class RetryAfterSchedule:
    """Spreads the retries of refused callers, in the order of their refusals.

    Load pattern: the refused callers of a burst would all retry together when it ends.
    Each caller is given a retry time one slot's time after that of the caller before
    it, and not before a slot is expected to be free. The time is also early enough that
    the call can still meet its target, or at least its deadline. Times are seconds of a
    monotonic clock.
    """

    def __init__(self) -> None:
        self._last_retry_at = 0.0

    def schedule_retry(
        self,
        now: float,
        slot_free_at: float,
        slot_seconds: float,
        latest_start_at: float,
        deadline: float,
    ) -> float:
        """Return the seconds after which the caller of a refused call should retry.

        ``slot_free_at`` is when a slot is expected to be free, ``slot_seconds`` the
        time between two calls that end, and ``latest_start_at`` the last moment at
        which the call can begin and still meet its target.
        """
        retry_at = max(slot_free_at, self._last_retry_at + slot_seconds)
        latest_retry_at = now + MAX_RETRY_AFTER_SHARE * max(0.0, deadline - now)
        if latest_start_at > now + MIN_RETRY_AFTER_SECONDS:
            latest_retry_at = min(latest_retry_at, latest_start_at)
        retry_at = min(retry_at, latest_retry_at)
        self._last_retry_at = retry_at
        return max(MIN_RETRY_AFTER_SECONDS, retry_at - now)
