"""Pace of an upstream whose neighbours slow it down for moments."""

SLOWED_PACE = 1.5
FRESH_SECONDS = 0.03
TRUSTED_SECONDS = 0.25
INITIAL_EPISODE_SECONDS = 0.15
EPISODE_WEIGHT = 0.1
MAX_EPISODE_SECONDS = 2.0
USUAL_PACE = 1.0


class PaceTracker:
    """How long work takes at the upstream now, and how long slow episodes last.

    A call takes the pace of the moment at which it begins, so one that begins in a slow
    episode stays slow after its end: waiting for the end can be faster. ``pace`` is a
    multiple of the usual time; times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self.pace = USUAL_PACE
        self.mean_episode_seconds = INITIAL_EPISODE_SECONDS
        self._seen_at = float("-inf")
        self._slowed_since: float | None = None

    def observe(self, pace: float, now: float) -> None:
        """Take the pace that the upstream has just stated."""
        self.pace = pace
        self._seen_at = now
        if pace >= SLOWED_PACE:
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
        """Return whether a call that begins now is expected to be slow."""
        return self.pace >= SLOWED_PACE and now - self._seen_at <= TRUSTED_SECONDS

    def get_pace(self, now: float) -> float:
        """Return the pace that a call which begins now is expected to take."""
        return self.pace if self.is_slowed(now) else USUAL_PACE
