"""Decision which calls a daemon that stops may still begin."""

from typing import NamedTuple

from umberdrum import errors

# A call that begins in this first share of the grace period is likely to end within the
# rest of it, whatever its deadline.
EARLY_SHARE = 0.5
# Callers have gone elsewhere by then, and allow the calls that they sent before to be
# cut at the end of the grace period.
MAX_EARLY_SECONDS = 3.0


class StopPeriod(NamedTuple):
    """Times of a stop in seconds of the monotonic clock.

    Load pattern: requests whose head or body arrives slowly, or that wait behind others
    on their connection, are read until the end of the grace period. A call that begins
    from ``late_from`` on must have its deadline by ``ends_at``, when the daemon cuts
    the calls that are in progress.
    """

    late_from: float
    ends_at: float

    def find_refusal(self, deadline: float, now: float) -> errors.Failure | None:
        """Return why a call must not begin now, None if it may."""
        if now < self.late_from or deadline <= self.ends_at:
            return None
        detail = "the daemon may end before the deadline"
        return errors.fail(errors.ErrorKind.ENDPOINT_LEAVING, detail)

    def find_upload_refusal(
        self, deadline: float, expected_seconds: float, now: float
    ) -> errors.Failure | None:
        """Return why a call whose body is still arriving must not begin, or None.

        Its caller has already sent a part of the body. The call may therefore begin
        later than others, as long as it can be expected to end within the period.
        """
        return self.find_refusal(min(deadline, now + expected_seconds), now)


def build_stop_period(now: float, grace_seconds: float) -> StopPeriod:
    """Return the times of a stop that begins now."""
    early_seconds = min(EARLY_SHARE * grace_seconds, MAX_EARLY_SECONDS)
    return StopPeriod(now + early_seconds, now + grace_seconds)
