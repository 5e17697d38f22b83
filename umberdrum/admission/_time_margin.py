"""Margins on the expected service time of a call."""

from typing import Protocol

# Most calls end within this multiple of their expected service time.
TIME_MARGIN_FACTOR = 1.3
# A call that has just arrived has about this share of its target left.
NEW_CALL_TARGET_SHARE = 0.95


class TimeMargin(Protocol):
    """Estimates the service time that a call is assumed not to exceed."""

    def get_conservative_seconds(
        self, expected_seconds: float, target_seconds: float
    ) -> float:
        """Return the service time in seconds that the call is assumed not to exceed.

        ``expected_seconds`` is its expected service time and ``target_seconds`` the
        full latency target of its class.
        """


class FixedTimeMargin:
    """Baseline that always uses ``TIME_MARGIN_FACTOR`` times the expected time."""

    def get_conservative_seconds(
        self, expected_seconds: float, target_seconds: float
    ) -> float:
        """Return the service time in seconds that most calls don't exceed."""
        return expected_seconds * TIME_MARGIN_FACTOR


class BoundedTimeMargin:
    """``TIME_MARGIN_FACTOR``, bounded by the time that a new call has for its target.

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
