"""Hard cap on the bytes spent on measuring in any second."""

import collections
import enum
from typing import NamedTuple

WINDOW_SECONDS = 1.0


class MeasuringUse(enum.Enum):
    """What bytes of the budget are spent on."""

    REPORT_ON_ANSWER = "report_on_answer"
    POLL = "poll"
    PROBE = "probe"


class _Spending(NamedTuple):
    """Bytes spent at one moment, in seconds of a monotonic clock."""

    at: float
    n_bytes: int


class MeasuringBudget:
    """Cap of ``bytes_per_second`` for load reports, polls and probes together.

    The cap holds in every window of one second, not only on average: a spending is
    refused when it and those of the last second exceed the cap. So measuring gets no
    dearer when load swings harder. With a cap of 0 nothing is ever spent.
    """

    def __init__(self, bytes_per_second: int) -> None:
        self.bytes_per_second = bytes_per_second
        self.spent_bytes: dict[MeasuringUse, int] = dict.fromkeys(MeasuringUse, 0)
        self.n_refused = 0
        self._window: collections.deque[_Spending] = collections.deque()
        self._n_window_bytes = 0

    def spend(self, use: MeasuringUse, n_bytes: int, now: float) -> bool:
        """Spend ``n_bytes`` and return True; False when the cap forbids it."""
        self._leave_window(now)
        if self._n_window_bytes + n_bytes > self.bytes_per_second:
            self.n_refused += 1
            return False
        self._window.append(_Spending(now, n_bytes))
        self._n_window_bytes += n_bytes
        self.spent_bytes[use] += n_bytes
        return True

    def get_window_bytes(self, now: float) -> int:
        """Return the bytes spent in the second that ends at ``now``."""
        self._leave_window(now)
        return self._n_window_bytes

    def _leave_window(self, now: float) -> None:
        window = self._window
        while window and now - window[0].at >= WINDOW_SECONDS:
            self._n_window_bytes -= window.popleft().n_bytes
