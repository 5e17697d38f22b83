"""Time that is reckoned for a call beyond the expected one."""

from typing import Protocol

# Most calls end within this multiple of the expected time.
TIME_MARGIN = 1.3
# A call that has just come has about this share of its target left.
FRESH_SHARE = 0.95


class TimeMargin(Protocol):
    """Says within what time a call is taken to end."""

    def get_safe_seconds(self, own_seconds: float, target_seconds: float) -> float:
        """Return the time for a call expected to take ``own_seconds``.

        ``target_seconds`` is the whole target of its class.
        """


class FixedTimeMargin:
    """Baseline: always the same multiple of the expected time."""

    def get_safe_seconds(self, own_seconds: float, target_seconds: float) -> float:
        """Return the time within which most calls end."""
        return own_seconds * TIME_MARGIN


class BoundedTimeMargin:
    """The same multiple, but no more than a call has that has just come.

    Load pattern: upstreams that have just started are so slow that the expected time
    just fits into the target. With the whole margin every call would be taken for late,
    late calls may not use all slots, and a part of the upstream would idle while half
    of the calls or more would be in time.
    """

    def get_safe_seconds(self, own_seconds: float, target_seconds: float) -> float:
        """Return the time within which a call is taken to end."""
        most = max(own_seconds, FRESH_SHARE * target_seconds)
        return min(own_seconds * TIME_MARGIN, most)
