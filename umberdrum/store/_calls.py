"""Counts of one process's store calls, and whether the store answers them."""

import collections
from collections.abc import Callable

import trio

HealthListener = Callable[[bool, str], None]


class StoreCallCounter:
    """Counts calls by operation; a watch counts as one call when it is opened.

    ``on_health_change``, if set, is called when calls begin to fail and when a call is
    answered again. Its arguments are ``is_answering`` and the reason of the failure,
    empty after an answer. ``last_answer_at`` is the time of the last valid answer on
    the daemon's monotonic clock, None before the first.
    """

    def __init__(self) -> None:
        self.n_calls: collections.Counter[str] = collections.Counter()
        self.n_failed = 0
        self.is_answering = True
        self.last_answer_at: float | None = None
        self.on_health_change: HealthListener | None = None

    @property
    def total(self) -> int:
        """Number of calls of all operations."""
        return self.n_calls.total()

    def count(self, operation: str, n_calls: int = 1) -> None:
        """Count calls of ``operation``, whatever their results."""
        self.n_calls[operation] += n_calls

    def record_failure(self, reason: str = "") -> None:
        """Count a call without a valid answer; the store is then not answering."""
        self.n_failed += 1
        self._update_health(False, reason)

    def record_answer(self) -> None:
        """Record the time of a valid answer; the store is then answering."""
        self.last_answer_at = trio.current_time()
        self._update_health(True, "")

    def _update_health(self, is_answering: bool, reason: str) -> None:
        if is_answering == self.is_answering:
            return
        self.is_answering = is_answering
        if self.on_health_change is not None:
            self.on_health_change(is_answering, reason)
