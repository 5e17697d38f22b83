"""Margins on the expected time of a call."""

from typing import Protocol

# Most calls end within this multiple of the expected time.
TIME_MARGIN_FACTOR = 1.3
# A call that has just arrived has about this share of its target left.
NEW_CALL_TARGET_SHARE = 0.95


class TimeMargin(Protocol):
    """Gives the time within which a call is assumed to end."""

    def get_conservative_seconds(
        self, expected_seconds: float, target_seconds: float
    ) -> float:
        """Return the seconds within which the call is assumed to end.

        ``expected_seconds`` is its expected time and ``target_seconds`` the full
        latency target of its class.
        """


class FixedTimeMargin:
    """Baseline that always uses the same multiple of the expected time."""

    def get_conservative_seconds(
        self, expected_seconds: float, target_seconds: float
    ) -> float:
        """Return the seconds within which most calls end."""
        return expected_seconds * TIME_MARGIN_FACTOR


class BoundedTimeMargin:
    """Same multiple, bounded by the time that a new call has for its target.

    Load pattern: upstreams that have just started are so slow that the expected time
    only just fits the target. With the full margin every call would count as late. Late
    calls may not use all slots, so part of the upstream would idle, although at least
    half of the calls would be in time.
    """

    def get_conservative_seconds(
        self, expected_seconds: float, target_seconds: float
    ) -> float:
        """Return the expected time with the margin, bounded by a new call's target."""
        max_seconds = max(expected_seconds, NEW_CALL_TARGET_SHARE * target_seconds)
        return min(expected_seconds * TIME_MARGIN_FACTOR, max_seconds)
