"""Hard limit on the bytes used for measuring load in any second."""

import collections
import enum
from typing import NamedTuple

WINDOW_SECONDS = 1.0


class MeasuringUse(enum.Enum):
    """Kinds of messages that use the budget."""

    REPORT_ON_ANSWER = "report_on_answer"
    POLL = "poll"
    PROBE = "probe"


class _WindowEntry(NamedTuple):
    """Bytes spent at the time ``at``, in seconds of a monotonic clock."""

    at: float
    n_bytes: int


class MeasuringBudget:
    """Limit of ``bytes_per_second`` for load reports, polls and probes together.

    The limit holds for every sliding window of one second, not only on average. A
    message is refused if its bytes and those spent in the last second together exceed
    the limit. The cost of measuring therefore doesn't grow when the load fluctuates
    more. With a limit of 0 nothing is ever spent.
    """

    def __init__(self, bytes_per_second: int) -> None:
        self.bytes_per_second = bytes_per_second
        self.spent_bytes: dict[MeasuringUse, int] = dict.fromkeys(MeasuringUse, 0)
        self.n_refused = 0
        self._window_entries: collections.deque[_WindowEntry] = collections.deque()
        self._n_window_bytes = 0

    def spend(self, use: MeasuringUse, n_bytes: int, now: float) -> bool:
        """Spend ``n_bytes`` and return True, or return False if over the limit."""
        self._expire_window(now)
        if self._n_window_bytes + n_bytes > self.bytes_per_second:
            self.n_refused += 1
            return False
        self._window_entries.append(_WindowEntry(now, n_bytes))
        self._n_window_bytes += n_bytes
        self.spent_bytes[use] += n_bytes
        return True

    def get_window_bytes(self, now: float) -> int:
        """Return the bytes spent in the second that ends at ``now``."""
        self._expire_window(now)
        return self._n_window_bytes

    def _expire_window(self, now: float) -> None:
        entries = self._window_entries
        while entries and now - entries[0].at >= WINDOW_SECONDS:
            self._n_window_bytes -= entries.popleft().n_bytes
