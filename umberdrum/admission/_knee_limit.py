"""Slot limit at the knee, where more concurrency stops raising throughput."""

from umberdrum.admission import _limit

PRIOR_KNEE_SHARE = 0.8
PRIOR_SLOWNESS_ABOVE_KNEE = 2.0
# Above the knee the prior counts as 2 observations: 16 trials outweigh it, and a
# single slow call does not.
N_PRIOR_ABOVE_KNEE = 2
N_PRIOR_BELOW_KNEE = 20
# Above 1, so that of two limits with similar throughput the faster one is chosen.
SLOWNESS_EXPONENT = 1.2
BASELINE_SLOT_SHARE = 0.5
MIN_EWMA_WEIGHT = 0.01
# Bounds the effect of calls that are slow because they wait for nested calls.
MAX_OBSERVED_SLOWNESS = 2.5
N_FIRST_TRIALS = 16
FIRST_TRIAL_INTERVAL_CALLS = 10
TRIAL_INTERVAL_CALLS = 200
LOW_LIMIT_TRIAL_INTERVAL_CALLS = 20


class KneeSlotLimit:
    """Concurrency limit at which the upstream completes the most calls per second.

    Load pattern: a burst fills all slots of an upstream that slows down when it is
    nearly full.

    For each number of concurrent calls, the limit keeps a moving average of their
    slowness, which is service time divided by undisturbed service time. The limit is
    the number with the best ratio of concurrent calls to slowness. Up to
    ``PRIOR_KNEE_SHARE`` of the slots, calls are assumed to be undisturbed until they
    are observed to be slow. Beyond that share, trial calls above the limit show whether
    a larger limit is better: one call in ``TRIAL_INTERVAL_CALLS``, and more at first. A
    limit below ``PRIOR_KNEE_SHARE`` of the slots gets trials more often, because a few
    calls that were slow for other reasons may have caused it.

    Calls that began with at most ``BASELINE_SLOT_SHARE`` of the slots in use count as
    undisturbed. A mean over all calls would be no usable baseline: under steady load
    nearly all calls begin at the limit, so calls at the limit would look undisturbed.
    """

    def __init__(self, n_slots: int) -> None:
        self._n_slots = 0
        self._slowness: list[float] = []
        self._n_observed: list[int] = []
        self._limit = 1
        self._n_calls_since_trial = 0
        self.set_slots(n_slots)

    def get_limit(self) -> int:
        """Return the maximum number of concurrent calls."""
        return self._limit

    def get_slowness(self, n_running: int) -> float:
        """Return the mean slowness of calls that begin as the last of ``n_running``."""
        return self._slowness[max(1, min(n_running, self._n_slots))]

    def claim_trial(self) -> bool:
        """Return whether this call may exceed the limit as a trial, and count it."""
        if self._limit >= self._n_slots:
            return False
        interval_calls = TRIAL_INTERVAL_CALLS
        if self._limit + 1 <= self._n_slots * PRIOR_KNEE_SHARE:
            interval_calls = LOW_LIMIT_TRIAL_INTERVAL_CALLS
        elif self._n_observed[self._limit + 1] < N_FIRST_TRIALS:
            interval_calls = FIRST_TRIAL_INTERVAL_CALLS
        if self._n_calls_since_trial < interval_calls:
            return False
        self._n_calls_since_trial = 0
        return True

    def set_slots(self, n_slots: int) -> None:
        """Set the announced slot count; a new count resets all observations."""
        n_slots = max(1, n_slots)
        if n_slots == self._n_slots:
            return
        self._n_slots = n_slots
        self._slowness = [1.0]
        self._n_observed = [0]
        for n_running in range(1, n_slots + 1):
            is_above_knee = n_running > n_slots * PRIOR_KNEE_SHARE
            self._slowness.append(PRIOR_SLOWNESS_ABOVE_KNEE if is_above_knee else 1.0)
            self._n_observed.append(
                N_PRIOR_ABOVE_KNEE if is_above_knee else N_PRIOR_BELOW_KNEE
            )
        self._choose_limit()

    def observe(self, slowness: float, n_running: int) -> None:
        """Record a finished call that began as the last of ``n_running``."""
        index = max(1, min(n_running, self._n_slots))
        self._n_calls_since_trial += 1
        if index <= self._n_slots * BASELINE_SLOT_SHARE:
            return
        bounded_slowness = min(slowness, MAX_OBSERVED_SLOWNESS)
        self._n_observed[index] += 1
        weight = max(MIN_EWMA_WEIGHT, 1.0 / self._n_observed[index])
        self._slowness[index] += weight * (bounded_slowness - self._slowness[index])
        self._choose_limit()

    def _choose_limit(self) -> None:
        best_limit = 1
        best_rate = 0.0
        for n_running in range(1, self._n_slots + 1):
            rate = n_running / self._slowness[n_running] ** SLOWNESS_EXPONENT
            if rate > best_rate:
                best_limit = n_running
                best_rate = rate
        self._limit = best_limit


class FixedOccupancyLimit(_limit.FixedSlotLimit):
    """Limit that equals the announced slot count and ignores slowness."""

    def get_slowness(self, n_running: int) -> float:
        """Return 1, because calls are assumed to be undisturbed."""
        return 1.0

    def claim_trial(self) -> bool:
        """Return False, because the limit already equals the announced slots."""
        return False
