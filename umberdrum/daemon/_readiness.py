"""Readiness checks and how many of them have failed."""

from collections.abc import Callable

import trio


class ReadinessCheck:
    """Answers readiness checks and counts those that fail in a row.

    After a few failed checks, whoever checks sends callers to other daemons.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._n_failed = 0
        self._failed_event = trio.Event()

    def check(self) -> bool:
        """Return whether the daemon is ready, and count the check."""
        if self._is_ready():
            self._n_failed = 0
            return True
        self._n_failed += 1
        self._failed_event.set()
        return False

    async def wait_until_failed(self, n_checks: int) -> None:
        """Return once the last ``n_checks`` checks have failed."""
        while self._n_failed < n_checks:
            self._failed_event = trio.Event()
            await self._failed_event.wait()
