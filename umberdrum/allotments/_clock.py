"""Clock that counts the time for which a machine is suspended."""

import time

import trio


def get_clock() -> float:
    """Return trio's time in seconds, plus the time that the machine was suspended.

    The steady clock stands still while a machine is suspended, but what other daemons
    have been promised runs out meanwhile.
    """
    suspended_seconds = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )
    return trio.current_time() + suspended_seconds
