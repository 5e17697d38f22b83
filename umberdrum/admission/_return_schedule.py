"""When refused callers are told to come back."""

MIN_RETRY_AFTER_SECONDS = 0.02
MAX_RETRY_AFTER_SHARE = 0.33


class ReturnSchedule:
    """Spreads the returns of refused callers in the order of their refusals.

    Load pattern: a burst whose refused callers would all come back at its end. Each is
    told a moment one slot's time after the one before it, not before room is expected,
    and early enough that its call can still meet its target, or at least its deadline.
    Times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._last_return_at = 0.0

    def choose(
        self,
        now: float,
        room_at: float,
        slot_seconds: float,
        in_time_until: float,
        deadline: float,
    ) -> float:
        """Return the seconds after which the caller of a refused call comes back.

        ``room_at`` is when room is expected, ``slot_seconds`` the time between two
        calls that end, ``in_time_until`` the last moment at which the call can begin
        and meet its target.
        """
        return_at = max(room_at, self._last_return_at + slot_seconds)
        latest = now + MAX_RETRY_AFTER_SHARE * max(0.0, deadline - now)
        if in_time_until > now + MIN_RETRY_AFTER_SECONDS:
            latest = min(latest, in_time_until)
        return_at = min(return_at, latest)
        self._last_return_at = return_at
        return max(MIN_RETRY_AFTER_SECONDS, return_at - now)
