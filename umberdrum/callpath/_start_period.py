"""Waiting of calls that come before a daemon has learnt what it needs for them."""

from collections.abc import Callable

import trio

# After a loss of power all endpoints are known to all daemons this long after a start.
LEARN_SECONDS = 0.6
POLL_SECONDS = 0.02
# Most callers repeat a refused call once only. A short wait spares them that.
MAX_SHARE_OF_TIME_LEFT = 0.25


class StartPeriod:
    """First moments of a daemon, in which it may not know routes or endpoints yet.

    Load pattern: all daemons start at once after a loss of power, and calls have waited
    for them. Whether such a call can be served is known within ``LEARN_SECONDS``, so it
    waits for that, at most a quarter of the time that its caller has left. Afterwards a
    call that can't be served is refused at once.

    Times are seconds of the daemon's monotonic clock.
    """

    def __init__(self, began_at: float) -> None:
        self._ends_at = began_at + LEARN_SECONDS

    async def wait_until(self, is_known: Callable[[], bool], deadline: float) -> None:
        """Return once ``is_known`` holds or the call has waited for long enough."""
        now = trio.current_time()
        until = min(self._ends_at, now + MAX_SHARE_OF_TIME_LEFT * (deadline - now))
        while now < until and not is_known():
            await trio.sleep(POLL_SECONDS)
            now = trio.current_time()
