"""Slot limits, which bound the number of concurrent calls of an endpoint."""

import math
from typing import Protocol

LONG_TERM_EWMA_WEIGHT = 0.01
SHORT_TERM_EWMA_WEIGHT = 0.2
SLOW_RATIO = 2.0
DECREASE_FACTOR = 0.9
MIN_SLOT_SHARE = 0.5


class SlotLimit(Protocol):
    """Concurrency limit that may adapt to the durations of finished calls."""

    def get_limit(self) -> int:
        """Return the maximum number of concurrent calls, at least 1."""

    def observe(self, slowness: float, n_running: int) -> None:
        """Record a finished call.

        ``slowness`` is its service time divided by the mean of its class.
        ``n_running`` counts the calls that were running when it began, itself included.
        """

    def set_slots(self, n_slots: int) -> None:
        """Set the slot count that the upstream announced."""


class FixedSlotLimit:
    """Limit that equals the announced slot count, a baseline for comparison."""

    def __init__(self, n_slots: int) -> None:
        self._n_slots = max(1, n_slots)

    def get_limit(self) -> int:
        """Return the announced slot count."""
        return self._n_slots

    def observe(self, slowness: float, n_running: int) -> None:
        """Ignore the call; this limit does not adapt."""

    def set_slots(self, n_slots: int) -> None:
        """Set the slot count that the upstream announced."""
        self._n_slots = max(1, n_slots)


class LatencySlotLimit:
    """Limit with additive increase and multiplicative decrease on call latency.

    It changes after as many finished calls as the current limit. If the short-term mean
    slowness is then above ``SLOW_RATIO`` times the long-term mean, the limit is
    multiplied by ``DECREASE_FACTOR``; otherwise it grows by one slot. It stays between
    half of the announced slots and all of them: the announced count is only an upper
    bound.
    """

    def __init__(self, n_slots: int) -> None:
        self._n_slots = max(1, n_slots)
        self._limit = float(self._n_slots)
        self._long_term_mean = 0.0
        self._short_term_mean = 0.0
        self._n_calls_since_change = 0

    def get_limit(self) -> int:
        """Return the maximum number of concurrent calls."""
        return max(1, int(self._limit))

    def set_slots(self, n_slots: int) -> None:
        """Set the slot count that the upstream announced."""
        if n_slots == self._n_slots:
            return
        self._n_slots = max(1, n_slots)
        self._limit = float(self._n_slots)

    def observe(self, slowness: float, n_running: int) -> None:
        """Record a finished call and adjust the limit once enough are recorded."""
        if self._long_term_mean == 0.0:
            self._long_term_mean = slowness
            self._short_term_mean = slowness
            return
        self._long_term_mean += LONG_TERM_EWMA_WEIGHT * (
            slowness - self._long_term_mean
        )
        self._short_term_mean += SHORT_TERM_EWMA_WEIGHT * (
            slowness - self._short_term_mean
        )
        self._n_calls_since_change += 1
        if self._n_calls_since_change < self._limit:
            return
        self._n_calls_since_change = 0
        if self._short_term_mean > SLOW_RATIO * self._long_term_mean:
            min_limit = max(1.0, math.ceil(self._n_slots * MIN_SLOT_SHARE))
            self._limit = max(min_limit, self._limit * DECREASE_FACTOR)
            return
        self._limit = min(float(self._n_slots), self._limit + 1.0)
