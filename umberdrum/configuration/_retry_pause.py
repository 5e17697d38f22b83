"""Random pauses between attempts to reach the store."""

import random

MIN_PERIOD_SECONDS = 0.5
MIN_JITTER, MAX_JITTER = 0.6, 1.4
# Keeps daemons that lose the store together from calling it together.
MAX_START_JITTER_SECONDS = 0.1


class RetryPause:
    """Draws the pauses of one task that reaches for the store until it answers.

    Attempts begin at least one period apart. The period doubles up to
    ``max_period_seconds`` while attempts fail sooner than that, and starts anew after
    one that lasted longer. A lost watch and a call that timed out are therefore retried
    at once, and a store that refuses calls gets few of them.

    Example: after attempts that fail at once, the pauses are some 0.5, 1 and 2 s with a
    ``max_period_seconds`` of 2. After a call that took 2 s the pause is below 0.1 s.
    """

    def __init__(self, rng: random.Random, max_period_seconds: float) -> None:
        self._rng = rng
        self._max_period_seconds = max_period_seconds
        self._period_seconds = MIN_PERIOD_SECONDS

    def draw_seconds(self, attempt_seconds: float) -> float:
        """Return the pause after an attempt that lasted ``attempt_seconds``."""
        if attempt_seconds >= self._max_period_seconds:
            self._period_seconds = MIN_PERIOD_SECONDS
            return self._rng.uniform(0.0, MAX_START_JITTER_SECONDS)
        period = self._period_seconds * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._period_seconds = min(self._max_period_seconds, self._period_seconds * 2)
        return max(
            period - attempt_seconds, self._rng.uniform(0.0, MAX_START_JITTER_SECONDS)
        )
