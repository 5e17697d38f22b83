"""Delay of calls for which only a newer route table may have a route."""

from collections.abc import Callable

import trio

# A document is fetched within some tenths of a second, also if one peer is silent.
MAX_WAIT_SECONDS = 0.6
POLL_INTERVAL_SECONDS = 0.02
MAX_REMAINING_TIME_SHARE = 0.25


async def wait_until(is_final: Callable[[], bool], deadline: float) -> None:
    """Wait until ``is_final`` returns true or the time to wait is over.

    Load pattern: a route is added, and its first calls reach daemons that have heard of
    the newer table and are fetching it. A call waits for the table, at most a quarter
    of the time that its caller has left, so that it can be repeated after a refusal.

    ``deadline`` is in seconds of the daemon's monotonic clock.
    """
    now = trio.current_time()
    seconds = min(MAX_WAIT_SECONDS, MAX_REMAINING_TIME_SHARE * (deadline - now))
    until = now + seconds
    while now < until and not is_final():
        await trio.sleep(POLL_INTERVAL_SECONDS)
        now = trio.current_time()
