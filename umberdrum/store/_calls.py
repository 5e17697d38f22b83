"""Counts of the calls that one process makes to the store."""

import collections
from collections.abc import Callable

import trio

HealthListener = Callable[[bool, str], None]


class StoreCallCounter:
    """Calls by operation; a watch counts as one call when it is opened.

    ``on_health_change``, if set, is told when a call fails after others were answered
    and when one is answered again. ``last_answer_at`` is the time of the last valid
    answer on the daemon's monotonic clock, None before the first.
    """

    def __init__(self) -> None:
        self.n_calls: collections.Counter[str] = collections.Counter()
        self.n_failed = 0
        self.is_answering = True
        self.last_answer_at: float | None = None
        self.on_health_change: HealthListener | None = None

    @property
    def total(self) -> int:
        """Calls of all operations."""
        return self.n_calls.total()

    def count(self, operation: str) -> None:
        """Count one call."""
        self.n_calls[operation] += 1

    def record_failure(self, reason: str = "") -> None:
        """Count one call that got no valid answer."""
        self.n_failed += 1
        self._note_health(False, reason)

    def record_answer(self) -> None:
        """Note that a call got a valid answer."""
        self.last_answer_at = trio.current_time()
        self._note_health(True, "")

    def _note_health(self, is_answering: bool, reason: str) -> None:
        if is_answering == self.is_answering:
            return
        self.is_answering = is_answering
        if self.on_health_change is not None:
            self.on_health_change(is_answering, reason)
