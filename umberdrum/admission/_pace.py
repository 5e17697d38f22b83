"""Pace of an upstream that its neighbours slow down for short episodes.

The pace is the current service time as a multiple of the usual one: 1 is usual, 2 takes
twice as long. Neighbours are other workloads on the upstream's host.
"""

import math
from typing import Protocol

SLOWED_RATIO = 1.5
MAX_FRESH_AGE_SECONDS = 0.03
MAX_TRUSTED_AGE_SECONDS = 0.25
INITIAL_EPISODE_SECONDS = 0.15
EPISODE_EWMA_WEIGHT = 0.1
MAX_EPISODE_SECONDS = 2.0
USUAL_PACE = 1.0
# More than three times the mean duration of a slow episode.
STEADY_WINDOW_SECONDS = 0.5
MIN_WINDOW_SAMPLES = 8


class SteadyPace(Protocol):
    """Estimate of the pace of an upstream outside slow episodes."""

    pace: float

    def observe(self, pace: float, now: float) -> None:
        """Record the pace that the upstream has just reported."""

    def set_cold_until(self, until: float) -> None:
        """Record until when the upstream, having just started, is slow."""


class ConstantSteadyPace:
    """Baseline that assumes the usual pace outside slow episodes."""

    def __init__(self) -> None:
        self.pace = USUAL_PACE

    def set_cold_until(self, until: float) -> None:
        """Ignore the start of the upstream."""

    def observe(self, pace: float, now: float) -> None:
        """Ignore the reported pace."""


class WindowMinimumSteadyPace:
    """Baseline: the minimum over the current and the previous window.

    Load pattern: upstreams that have just started are slow for seconds, and after a
    power failure all of them start at once. If that were treated as a slow episode,
    calls would wait or be refused while the upstreams idle. A pace counts as steady
    when nothing lower was reported for ``STEADY_WINDOW_SECONDS``. The first reported
    pace counts as steady at once.
    """

    def __init__(self) -> None:
        self.pace = USUAL_PACE
        self._previous_window_min = math.inf
        self._window_min = math.inf
        self._n_samples = 0
        self._window_began_at = 0.0

    def set_cold_until(self, until: float) -> None:
        """Ignore the announced start of the upstream."""

    def observe(self, pace: float, now: float) -> None:
        """Record the pace that the upstream has just reported."""
        if not self._n_samples:
            self._window_began_at = now
        self._n_samples += 1
        self._window_min = min(self._window_min, pace)
        self.pace = max(USUAL_PACE, min(self._window_min, self._previous_window_min))
        is_window_over = now - self._window_began_at >= STEADY_WINDOW_SECONDS
        if is_window_over and self._n_samples >= MIN_WINDOW_SAMPLES:
            self._previous_window_min = self._window_min
            self._window_min = math.inf
            self._n_samples = 0


class AnnouncedSteadyPace:
    """Usual pace, or the lowest recent pace while the upstream is starting.

    Load pattern: slow episodes last longer than ``STEADY_WINDOW_SECONDS``. The lowest
    recent pace then is the pace of the episode, and calls would start at several times
    their usual duration. An upstream announces how long its slow start lasts, so any
    slowness after that is an episode. Until it has announced that, the lowest recent
    pace is used too.
    """

    def __init__(self) -> None:
        self.pace = USUAL_PACE
        self._lowest_recent = WindowMinimumSteadyPace()
        self._cold_until: float | None = None

    def set_cold_until(self, until: float) -> None:
        """Record until when the upstream, having just started, is slow."""
        self._cold_until = until
        self.pace = USUAL_PACE

    def observe(self, pace: float, now: float) -> None:
        """Record the pace that the upstream has just reported."""
        self._lowest_recent.observe(pace, now)
        is_warm = self._cold_until is not None and now >= self._cold_until
        self.pace = USUAL_PACE if is_warm else self._lowest_recent.pace


class PaceTracker:
    """Tracks the current pace of an upstream and the length of its slow episodes.

    A call keeps the pace at which it begins. One that begins in a slow episode stays
    slow after the episode ends, so waiting for the end can be faster. ``pace`` is the
    last reported pace, ``steady`` the estimate outside slow episodes. Times are seconds
    of a monotonic clock.
    """

    def __init__(self, steady: SteadyPace | None = None) -> None:
        self.steady = steady or AnnouncedSteadyPace()
        self.pace = USUAL_PACE
        self.mean_episode_seconds = INITIAL_EPISODE_SECONDS
        self._observed_at = float("-inf")
        self._slowed_since: float | None = None

    @property
    def ratio(self) -> float:
        """Last reported pace divided by the steady pace."""
        return self.pace / self.steady.pace

    def observe(self, pace: float, now: float) -> None:
        """Record the pace that the upstream has just reported."""
        self.steady.observe(pace, now)
        self.pace = pace
        self._observed_at = now
        if self.ratio >= SLOWED_RATIO:
            if self._slowed_since is None:
                self._slowed_since = now
            return
        if self._slowed_since is not None:
            seconds = min(MAX_EPISODE_SECONDS, now - self._slowed_since)
            self._slowed_since = None
            deviation = seconds - self.mean_episode_seconds
            self.mean_episode_seconds += EPISODE_EWMA_WEIGHT * deviation

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report is ``MAX_FRESH_AGE_SECONDS`` old or newer."""
        return now - self._observed_at <= MAX_FRESH_AGE_SECONDS

    def is_slowed(self, now: float) -> bool:
        """Return whether a report that is still trusted shows a slow episode."""
        return (
            self.ratio >= SLOWED_RATIO
            and now - self._observed_at <= MAX_TRUSTED_AGE_SECONDS
        )

    def estimate_remaining_seconds(self, now: float) -> float:
        """Return how much longer the slow episode is expected to last.

        An episode that has already lasted longer than usual is expected to last as long
        again: the upstream itself may have become slow. 0 outside an episode.
        """
        if self._slowed_since is None:
            return 0.0
        return max(self.mean_episode_seconds, now - self._slowed_since)

    def get_pace(self, now: float) -> float:
        """Return the expected pace of a call that begins now."""
        return self.pace if self.is_slowed(now) else self.steady.pace
