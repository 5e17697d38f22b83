"""Pace of an upstream whose neighbours slow it down for moments."""

import math
from typing import Protocol

SLOWED_RATIO = 1.5
FRESH_SECONDS = 0.03
TRUSTED_SECONDS = 0.25
INITIAL_EPISODE_SECONDS = 0.15
EPISODE_WEIGHT = 0.1
MAX_EPISODE_SECONDS = 2.0
USUAL_PACE = 1.0
# Over three times the mean length of a slow episode.
STEADY_SPAN_SECONDS = 0.5
MIN_SPAN_STATEMENTS = 8


class SteadyPace(Protocol):
    """Pace of an upstream outside of slow episodes."""

    pace: float

    def observe(self, pace: float, now: float) -> None:
        """Take the pace that the upstream has just stated."""


class UsualSteadyPace:
    """Baseline: outside of slow episodes an upstream always works as usual."""

    def __init__(self) -> None:
        self.pace = USUAL_PACE

    def observe(self, pace: float, now: float) -> None:
        """Learn nothing."""


class LowestSteadyPace:
    """Steady pace that is the lowest one stated of late.

    Load pattern: upstreams that have just started are slow for seconds, all at once
    after a loss of power. Taken for a slow episode, that time would be waited out and
    refused while the upstreams idle. A pace counts as steady when nothing lower was
    stated for ``STEADY_SPAN_SECONDS``, and from the first statement on when nothing was
    known before.
    """

    def __init__(self) -> None:
        self.pace = USUAL_PACE
        self._earlier_lowest = math.inf
        self._lowest = math.inf
        self._n_statements = 0
        self._began_at = 0.0

    def observe(self, pace: float, now: float) -> None:
        """Take the pace that the upstream has just stated."""
        if not self._n_statements:
            self._began_at = now
        self._n_statements += 1
        self._lowest = min(self._lowest, pace)
        self.pace = max(USUAL_PACE, min(self._lowest, self._earlier_lowest))
        is_old = now - self._began_at >= STEADY_SPAN_SECONDS
        if is_old and self._n_statements >= MIN_SPAN_STATEMENTS:
            self._earlier_lowest = self._lowest
            self._lowest = math.inf
            self._n_statements = 0


class PaceTracker:
    """How long work takes at the upstream now, and how long slow episodes last.

    A call takes the pace of the moment at which it begins, so one that begins in a slow
    episode stays slow after its end: waiting for the end can be faster. ``pace`` is a
    multiple of the usual time, ``steady`` tells it for the time outside of episodes;
    times are seconds of a monotonic clock.
    """

    def __init__(self, steady: SteadyPace | None = None) -> None:
        self.steady = steady or LowestSteadyPace()
        self.pace = USUAL_PACE
        self.mean_episode_seconds = INITIAL_EPISODE_SECONDS
        self._seen_at = float("-inf")
        self._slowed_since: float | None = None

    @property
    def ratio(self) -> float:
        """Last stated pace as a multiple of the steady one."""
        return self.pace / self.steady.pace

    def observe(self, pace: float, now: float) -> None:
        """Take the pace that the upstream has just stated."""
        self.steady.observe(pace, now)
        self.pace = pace
        self._seen_at = now
        if self.ratio >= SLOWED_RATIO:
            if self._slowed_since is None:
                self._slowed_since = now
            return
        if self._slowed_since is not None:
            seconds = min(MAX_EPISODE_SECONDS, now - self._slowed_since)
            self._slowed_since = None
            gap = seconds - self.mean_episode_seconds
            self.mean_episode_seconds += EPISODE_WEIGHT * gap

    def is_fresh(self, now: float) -> bool:
        """Return whether the pace was stated a moment ago."""
        return now - self._seen_at <= FRESH_SECONDS

    def is_slowed(self, now: float) -> bool:
        """Return whether a call that begins now meets a slow episode."""
        return self.ratio >= SLOWED_RATIO and now - self._seen_at <= TRUSTED_SECONDS

    def get_pace(self, now: float) -> float:
        """Return the pace that a call which begins now is expected to take."""
        return self.pace if self.is_slowed(now) else self.steady.pace
