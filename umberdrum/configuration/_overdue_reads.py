"""When a daemon reads documents from the store that no peer delivers."""

import math
import random

# Half of the time within which users require a change to be in force. Fetches from up
# to four peers have failed by then.
OVERDUE_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 30.0


class OverdueReads:
    """Schedule of one daemon's reads of documents that it knows of and lacks.

    Load pattern: the daemons that have a change were stopped, or can no longer be
    reached, after they had told of it. Reads that do not help are repeated with growing
    pauses, which end with the document: the next one that is overdue is read at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._next_read_at = -math.inf

    def take_read(self, outdated_seconds: float, now: float) -> bool:
        """Return whether to read now, and set the time of the next read.

        ``outdated_seconds`` is for how long the daemon has lacked a document, 0 if it
        lacks none.
        """
        if outdated_seconds < OVERDUE_SECONDS:
            self._backoff_seconds = MIN_BACKOFF_SECONDS
            self._next_read_at = -math.inf
            return False
        if now < self._next_read_at:
            return False
        jitter = self._rng.uniform(0.5, 1.5)
        self._next_read_at = now + self._backoff_seconds * jitter
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, self._backoff_seconds * 2)
        return True
