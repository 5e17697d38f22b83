"""Delay of calls that arrive before a starting daemon knows routes and endpoints."""

from collections.abc import Callable

import trio

# After a power failure, every daemon knows all endpoints this long after its start.
DISCOVERY_SECONDS = 0.6
POLL_INTERVAL_SECONDS = 0.02
# Most callers repeat a refused call only once. A short wait avoids that refusal.
MAX_REMAINING_TIME_SHARE = 0.25


class StartupPeriod:
    """Period after the start of a daemon in which routes or endpoints may be unknown.

    Load pattern: all daemons start at once after a power failure, while calls already
    wait for them. Routes and endpoints are known within ``DISCOVERY_SECONDS``. A call
    waits for that, at most a quarter of the time that its caller has left. Afterwards a
    call that can't be served is refused at once.

    Times are seconds of the daemon's monotonic clock.
    """

    def __init__(self, began_at: float) -> None:
        self._ends_at = began_at + DISCOVERY_SECONDS

    async def wait_until(self, is_known: Callable[[], bool], deadline: float) -> None:
        """Wait until ``is_known`` returns true or the time to wait is over."""
        now = trio.current_time()
        until = min(self._ends_at, now + MAX_REMAINING_TIME_SHARE * (deadline - now))
        while now < until and not is_known():
            await trio.sleep(POLL_INTERVAL_SECONDS)
            now = trio.current_time()
