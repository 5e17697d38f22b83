"""Load, slowness and network time of one endpoint, as seen by one entry daemon.

The entry daemon accepts a call from the caller and chooses an endpoint for it. The
endpoint daemon runs next to the upstream and passes the call on to it.
"""

import math
from typing import NamedTuple

SLOWNESS_EWMA_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_SECONDS = 2.0
NETWORK_EWMA_WEIGHT = 0.1
MIN_REPORT_DECAY_SECONDS = 0.005
FAILURE_SLOWNESS = 50.0
SLOW_START_SECONDS = 5.0
MIN_SLOW_START_SHARE = 0.1
MAX_SLOWNESS = 1000.0
PACE_DECAY_SECONDS = 0.15


class LoadReport(NamedTuple):
    """Load of an endpoint at the time when its daemon sent the report.

    ``pace`` is the service time of the upstream at that time as a multiple of its usual
    service time: 1 is usual, 2 takes twice as long. ``limit_wait_seconds`` is how long
    the receiver's next call waits because of a rate limit that the upstream has named.
    """

    n_running: int
    n_queued: int
    slot_limit: int
    pace: float = 1.0
    limit_wait_seconds: float = 0.0

    @property
    def n_calls(self) -> int:
        """Calls at the endpoint, running and waiting."""
        return self.n_running + self.n_queued


class EndpointStats:
    """Statistics that one entry daemon keeps on one endpoint.

    They come from three sources:

    - the number of this daemon's outstanding calls, which is exact;
    - the last load report, whose weight decays with its age;
    - the slowness of responses, which is their time divided by the typical time of
      their class.

    The age of the oldest outstanding call is a lower bound on the slowness, so that a
    stalled endpoint is detected before it responds.

    Times are seconds of the daemon's monotonic clock.
    """

    __slots__ = (
        "_n_outstanding_at_report",
        "_next_call_number",
        "_outstanding",
        "_report",
        "_reported_at",
        "_slowness",
        "_slowness_at",
        "first_seen_at",
        "network_seconds",
    )

    def __init__(self, now: float, network_seconds: float) -> None:
        self.first_seen_at = now
        self.network_seconds = network_seconds
        self._outstanding: dict[int, tuple[float, float]] = {}
        self._next_call_number = 0
        self._report: LoadReport | None = None
        self._reported_at = now
        self._n_outstanding_at_report = 0
        self._slowness = 1.0
        self._slowness_at = now

    @property
    def n_outstanding(self) -> int:
        """Number of calls from this entry daemon that have not ended."""
        return len(self._outstanding)

    @property
    def report(self) -> LoadReport | None:
        """Last load report of the endpoint daemon, None before the first."""
        return self._report

    @property
    def reported_at(self) -> float | None:
        """Time when the last load report arrived, None before the first."""
        return self._reported_at if self._report is not None else None

    def start_call(self, now: float, typical_seconds: float) -> int:
        """Add an outstanding call and return its number."""
        call_number = self._next_call_number
        self._next_call_number += 1
        self._outstanding[call_number] = (now, typical_seconds)
        return call_number

    def end_call(self, call_number: int) -> float:
        """Remove an outstanding call and return the time when it was sent."""
        return self._outstanding.pop(call_number)[0]

    def observe_slowness(self, slowness: float, now: float) -> None:
        """Update the moving average with a response of ``slowness`` times typical."""
        slowness = min(MAX_SLOWNESS, max(slowness, 0.05))
        current = self._get_decayed_slowness(now)
        weight = SLOWNESS_EWMA_WEIGHT
        self._slowness = current + weight * (slowness - current)
        self._slowness_at = now

    def observe_failure(self, now: float) -> None:
        """Raise the slowness after a failed attempt, even if it failed quickly."""
        current = self._get_decayed_slowness(now)
        self._slowness = max(current, FAILURE_SLOWNESS)
        self._slowness_at = now

    def observe_network_time(self, seconds: float) -> None:
        """Update the moving average of the time spent outside the endpoint."""
        self.network_seconds += NETWORK_EWMA_WEIGHT * (seconds - self.network_seconds)

    def record_report(self, report: LoadReport, now: float) -> None:
        """Store the load report that came with a response or a refusal."""
        self._report = report
        self._reported_at = now
        self._n_outstanding_at_report = self.n_outstanding

    @property
    def n_other_calls(self) -> int:
        """Calls of other daemons at the endpoint by the last report, 0 without one."""
        if self._report is None:
            return 0
        return max(0, self._report.n_calls - self._n_outstanding_at_report)

    def get_slowness(self, now: float, spread: float = 0.0) -> float:
        """Return the expected service time as a multiple of the typical one.

        ``spread`` is the standard deviation of the logarithm of the slowness of an
        endpoint that is as fast as the others. Deviations of that size are mostly
        chance and count for less: with a spread of 0.2, 1.2 becomes 1.09 and 7 stays
        6.9. The age of the oldest outstanding call counts in full.
        """
        slowness = _discount_chance(self._get_decayed_slowness(now), spread)
        if self._outstanding:
            started_at, typical_seconds = next(iter(self._outstanding.values()))
            age_ratio = (now - started_at) / max(typical_seconds, 1e-4)
            slowness = max(slowness, age_ratio)
        return slowness

    def get_pace(self, now: float, mean_pace: float) -> float:
        """Return the expected pace of the upstream at ``now``.

        Neighbours (other workloads on its host) change the pace many times a second.
        The estimate therefore decays quickly from the last report to ``mean_pace``.
        """
        if self._report is None:
            return mean_pace
        weight = math.exp((self._reported_at - now) / PACE_DECAY_SECONDS)
        return float(weight * self._report.pace + (1.0 - weight) * mean_pace)

    def get_limit_wait_seconds(self, now: float) -> float:
        """Return how long a call would wait for the upstream's rate limit."""
        if self._report is None:
            return 0.0
        return max(0.0, self._reported_at + self._report.limit_wait_seconds - now)

    def get_slow_start_share(self, now: float, oldest_seen_at: float) -> float:
        """Return the share of choices for which the endpoint is eligible.

        The share of a new endpoint grows linearly with its age, for at most
        ``SLOW_START_SECONDS``. This time is never longer than the age of the oldest
        endpoint of the service, so that equally new endpoints get equal shares.
        """
        slow_start_seconds = min(SLOW_START_SECONDS, now - oldest_seen_at)
        age = now - self.first_seen_at
        if age >= slow_start_seconds:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age / slow_start_seconds)

    def estimate_load(
        self, now: float, mean_other_load: float, typical_seconds: float
    ) -> float:
        """Return the expected number of running and queued calls at the endpoint.

        ``mean_other_load`` is the average number of calls that other daemons have at
        one endpoint. The estimate decays from the last report to this average.
        """
        if self._report is None:
            return self.n_outstanding + mean_other_load
        weight = math.exp(
            (self._reported_at - now) / max(typical_seconds, MIN_REPORT_DECAY_SECONDS)
        )
        n_others = weight * self.n_other_calls + (1.0 - weight) * mean_other_load
        return self.n_outstanding + n_others

    def _get_decayed_slowness(self, now: float) -> float:
        age = now - self._slowness_at
        weight = 0.5 ** (age / SLOWNESS_HALF_LIFE_SECONDS)
        return float(1.0 + (self._slowness - 1.0) * weight)


def _discount_chance(slowness: float, spread: float) -> float:
    if not spread:
        return slowness
    deviation = math.log(slowness)
    weight = deviation**2 / (deviation**2 + spread**2)
    return math.exp(weight * deviation)
