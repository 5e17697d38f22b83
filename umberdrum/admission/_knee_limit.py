"""Slot limit that finds the point beyond which more calls at once finish fewer."""

from umberdrum.admission import _limit

FULL_SHARE = 0.8
FULL_SLOWNESS = 2.0
# Few enough that 16 trials outweigh the prior, enough that one slow call does not.
PRIOR_OBSERVATIONS = 2
FULL_PRIOR_OBSERVATIONS = 20
# Above 1: of two limits that finish about as many calls, the faster one is taken.
SLOWNESS_EXPONENT = 1.2
IDLE_SHARE = 0.5
OBSERVATION_WEIGHT = 0.01
# Calls that wait for calls of their own are slow for other reasons.
MAX_SLOWNESS = 2.5
FIRST_TRIALS = 16
FIRST_TRIAL_INTERVAL = 10
TRIAL_INTERVAL = 200
EARLY_TRIAL_INTERVAL = 20


class KneeSlotLimit:
    """Limit at which the upstream finishes the most calls a second.

    For every number of calls that run at once it learns how slow they are; the limit is
    the number with the best ratio of calls to slowness. Load pattern: a burst that
    fills all slots of an upstream which slows down when nearly full. Up to
    ``FULL_SHARE`` of the slots calls are taken for undisturbed until they are seen to
    be slow; beyond it, one call in ``TRIAL_INTERVAL``, and more at first, shows whether
    a larger limit would do. A limit below ``FULL_SHARE`` is tried again more often: it
    may come from a few calls that were slow for other reasons.

    Slowness is measured against calls that began with at most ``IDLE_SHARE`` of the
    slots in use. A mean over all calls would do no good: under steady load nearly all
    begin at the limit, and it would look undisturbed.
    """

    def __init__(self, n_slots: int) -> None:
        self._n_slots = 0
        self._slowness: list[float] = []
        self._n_observed: list[int] = []
        self._limit = 1
        self._n_since_trial = 0
        self.set_slots(n_slots)

    def get_limit(self) -> int:
        """Return the number of calls that may run at once."""
        return self._limit

    def get_slowness(self, n_running: int) -> float:
        """Return how slow a call is that begins as the last of ``n_running``."""
        return self._slowness[max(1, min(n_running, self._n_slots))]

    def may_try_more(self) -> bool:
        """Return whether this call may run beyond the limit, to learn from it."""
        if self._limit >= self._n_slots:
            return False
        interval = TRIAL_INTERVAL
        if self._limit + 1 <= self._n_slots * FULL_SHARE:
            interval = EARLY_TRIAL_INTERVAL
        elif self._n_observed[self._limit + 1] < FIRST_TRIALS:
            interval = FIRST_TRIAL_INTERVAL
        if self._n_since_trial < interval:
            return False
        self._n_since_trial = 0
        return True

    def set_slots(self, n_slots: int) -> None:
        """Take the slot count that the upstream announced."""
        n_slots = max(1, n_slots)
        if n_slots == self._n_slots:
            return
        self._n_slots = n_slots
        self._slowness = [1.0]
        self._n_observed = [0]
        for n_running in range(1, n_slots + 1):
            is_full = n_running > n_slots * FULL_SHARE
            self._slowness.append(FULL_SLOWNESS if is_full else 1.0)
            self._n_observed.append(
                PRIOR_OBSERVATIONS if is_full else FULL_PRIOR_OBSERVATIONS
            )
        self._choose_limit()

    def observe(self, slowness: float, n_running: int) -> None:
        """Learn from a finished call that began as the last of ``n_running``."""
        index = max(1, min(n_running, self._n_slots))
        self._n_since_trial += 1
        if index <= self._n_slots * IDLE_SHARE:
            return
        seen = min(slowness, MAX_SLOWNESS)
        self._n_observed[index] += 1
        weight = max(OBSERVATION_WEIGHT, 1.0 / self._n_observed[index])
        self._slowness[index] += weight * (seen - self._slowness[index])
        self._choose_limit()

    def _choose_limit(self) -> None:
        best = 1
        best_rate = 0.0
        for n_running in range(1, self._n_slots + 1):
            rate = n_running / self._slowness[n_running] ** SLOWNESS_EXPONENT
            if rate > best_rate:
                best = n_running
                best_rate = rate
        self._limit = best


class FixedOccupancyLimit(_limit.FixedSlotLimit):
    """Limit that equals the announced slot count and takes no call for slow."""

    def get_slowness(self, n_running: int) -> float:
        """Return 1: calls are taken for undisturbed."""
        return 1.0

    def may_try_more(self) -> bool:
        """Return False: nothing is to be learnt beyond the announced slots."""
        return False
