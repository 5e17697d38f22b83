"""What one entry daemon knows of the load of one endpoint."""

import math
from typing import NamedTuple

SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_SECONDS = 2.0
NETWORK_WEIGHT = 0.1
MIN_REPORT_SECONDS = 0.005
ERROR_SLOWNESS = 50.0
RAMP_SECONDS = 5.0
MIN_WARM_SHARE = 0.1
MAX_SLOWNESS = 1000.0
PACE_MEMORY_SECONDS = 0.15


class LoadReport(NamedTuple):
    """Counts of an endpoint daemon, as they were when it sent an answer.

    ``pace`` is how long work took at the upstream then, as a multiple of the usual
    time.
    """

    n_running: int
    n_queued: int
    slot_limit: int
    pace: float = 1.0


class EndpointStats:
    """Load of one endpoint as seen from one entry daemon.

    It joins three kinds of knowledge: own outstanding calls, which are exact; the last
    report, which loses weight with age; and how slow answers were, compared with what
    is typical for their class. A call that is still outstanding counts as at least as
    slow as it is old, so that an endpoint that stalls is seen before it answers.

    Times are seconds of the daemon's monotonic clock.
    """

    __slots__ = (
        "_began_at",
        "_next_call",
        "_report",
        "_report_at",
        "_report_own",
        "_slowness",
        "_slowness_at",
        "first_seen_at",
        "network_seconds",
    )

    def __init__(self, now: float, network_seconds: float) -> None:
        self.first_seen_at = now
        self.network_seconds = network_seconds
        self._began_at: dict[int, tuple[float, float]] = {}
        self._next_call = 0
        self._report: LoadReport | None = None
        self._report_at = now
        self._report_own = 0
        self._slowness = 1.0
        self._slowness_at = now

    @property
    def n_outstanding(self) -> int:
        """Calls of this entry daemon that the endpoint has not answered."""
        return len(self._began_at)

    @property
    def report(self) -> LoadReport | None:
        """Last report of the endpoint's daemon."""
        return self._report

    @property
    def report_at(self) -> float | None:
        """Time of the last report, None before the first."""
        return self._report_at if self._report is not None else None

    def begin(self, now: float, typical_seconds: float) -> int:
        """Note a call that is sent and return its number."""
        call_number = self._next_call
        self._next_call += 1
        self._began_at[call_number] = (now, typical_seconds)
        return call_number

    def end(self, call_number: int) -> float:
        """Forget an outstanding call and return when it was sent."""
        return self._began_at.pop(call_number)[0]

    def observe_slowness(self, slowness: float, now: float) -> None:
        """Learn from an answer that took ``slowness`` times what is typical."""
        slowness = min(MAX_SLOWNESS, max(slowness, 0.05))
        current = self._get_decayed_slowness(now)
        weight = SLOWNESS_WEIGHT
        self._slowness = current + weight * (slowness - current)
        self._slowness_at = now

    def observe_error(self, now: float) -> None:
        """Learn from a failed attempt, however fast the failure came."""
        current = self._get_decayed_slowness(now)
        self._slowness = max(current, ERROR_SLOWNESS)
        self._slowness_at = now

    def observe_network(self, seconds: float) -> None:
        """Learn from the time that an answer spent outside the endpoint."""
        self.network_seconds += NETWORK_WEIGHT * (seconds - self.network_seconds)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Take the counts that came with an answer."""
        self._report = report
        self._report_at = now
        self._report_own = self.n_outstanding

    def get_slowness(self, now: float) -> float:
        """Return how much slower than typical the endpoint is expected to be."""
        slowness = self._get_decayed_slowness(now)
        if self._began_at:
            began_at, typical_seconds = next(iter(self._began_at.values()))
            age_ratio = (now - began_at) / max(typical_seconds, 1e-4)
            slowness = max(slowness, age_ratio)
        return slowness

    def get_pace(self, now: float, usual_pace: float) -> float:
        """Return how long work is expected to take now, in multiples of the usual.

        Neighbours of the upstream change it many times a second, so the last report
        fades fast towards ``usual_pace``.
        """
        if self._report is None:
            return usual_pace
        weight = math.exp((self._report_at - now) / PACE_MEMORY_SECONDS)
        return float(weight * self._report.pace + (1.0 - weight) * usual_pace)

    def get_warm_share(self, now: float, oldest_seen_at: float) -> float:
        """Return the share of choices in which a newly started endpoint takes part.

        It grows with age, measured against the oldest endpoint of the service, so that
        endpoints which are all equally new share the calls evenly.
        """
        ramp_seconds = min(RAMP_SECONDS, now - oldest_seen_at)
        age = now - self.first_seen_at
        if age >= ramp_seconds:
            return 1.0
        return max(MIN_WARM_SHARE, age / ramp_seconds)

    def estimate_load(
        self, now: float, usual_others: float, typical_seconds: float
    ) -> float:
        """Return the expected number of calls at the endpoint, running and queued.

        ``usual_others`` is the usual load that other daemons put on one endpoint; an
        old report fades towards it.
        """
        if self._report is None:
            return self.n_outstanding + usual_others
        reported = self._report.n_running + self._report.n_queued
        others = max(0, reported - self._report_own)
        weight = math.exp(
            (self._report_at - now) / max(typical_seconds, MIN_REPORT_SECONDS)
        )
        return self.n_outstanding + weight * others + (1.0 - weight) * usual_others

    def _get_decayed_slowness(self, now: float) -> float:
        age = now - self._slowness_at
        weight = 0.5 ** (age / SLOWNESS_HALF_LIFE_SECONDS)
        return float(1.0 + (self._slowness - 1.0) * weight)
