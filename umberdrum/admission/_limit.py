"""Slot limits: how many calls an endpoint runs at once."""

import math
from typing import Protocol

LONG_TERM_WEIGHT = 0.01
SHORT_TERM_WEIGHT = 0.2
SLOW_RATIO = 2.0
DECREASE_FACTOR = 0.9
MIN_SHARE_OF_SLOTS = 0.5


class SlotLimit(Protocol):
    """How many calls may run at once, learnt from the calls that finished."""

    def get_limit(self) -> int:
        """Return the number of calls that may run at once, at least 1."""

    def observe(self, slowness: float, n_running: int) -> None:
        """Learn from a call; ``slowness`` is its time over the mean of its class.

        ``n_running`` counts the calls that ran when it began, itself included.
        """

    def set_slots(self, n_slots: int) -> None:
        """Take the slot count that the upstream announced."""


class FixedSlotLimit:
    """Limit that equals the announced slot count; the baseline to compare with."""

    def __init__(self, n_slots: int) -> None:
        self._n_slots = max(1, n_slots)

    def get_limit(self) -> int:
        """Return the announced slot count."""
        return self._n_slots

    def observe(self, slowness: float, n_running: int) -> None:
        """Ignore the observation."""

    def set_slots(self, n_slots: int) -> None:
        """Take the slot count that the upstream announced."""
        self._n_slots = max(1, n_slots)


class LatencySlotLimit:
    """Limit that shrinks while calls run slower than they used to.

    It multiplies the limit by ``DECREASE_FACTOR`` for each limit's worth of calls that
    were slower than ``SLOW_RATIO`` times the long-term mean, and adds one slot for each
    limit's worth of others. The limit stays between half of the announced slots and all
    of them: the announced count is a hint from above only.
    """

    def __init__(self, n_slots: int) -> None:
        self._n_slots = max(1, n_slots)
        self._limit = float(self._n_slots)
        self._long_term = 0.0
        self._short_term = 0.0
        self._n_since_change = 0

    def get_limit(self) -> int:
        """Return the number of calls that may run at once."""
        return max(1, int(self._limit))

    def set_slots(self, n_slots: int) -> None:
        """Take the slot count that the upstream announced."""
        if n_slots == self._n_slots:
            return
        self._n_slots = max(1, n_slots)
        self._limit = float(self._n_slots)

    def observe(self, slowness: float, n_running: int) -> None:
        """Learn from a finished call."""
        if self._long_term == 0.0:
            self._long_term = slowness
            self._short_term = slowness
            return
        self._long_term += LONG_TERM_WEIGHT * (slowness - self._long_term)
        self._short_term += SHORT_TERM_WEIGHT * (slowness - self._short_term)
        self._n_since_change += 1
        if self._n_since_change < self._limit:
            return
        self._n_since_change = 0
        if self._short_term > SLOW_RATIO * self._long_term:
            floor = max(1.0, math.ceil(self._n_slots * MIN_SHARE_OF_SLOTS))
            self._limit = max(floor, self._limit * DECREASE_FACTOR)
            return
        self._limit = min(float(self._n_slots), self._limit + 1.0)
