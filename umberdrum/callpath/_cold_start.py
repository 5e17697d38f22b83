"""Bound on the calls to an upstream that is cold."""

from collections.abc import Callable

from umberdrum import admission, logs

MS_PER_SECOND = 1000.0
MAX_COLD_MS = 3_600_000

ColdRateSource = Callable[[str], float]


class ColdStart:
    """Passes on to the gate how long the upstream stays cold, and what it bears then.

    A cold upstream has just started, or has lost its caches. It is slow, and crashes
    under many more calls than its service's limit. It may turn cold at any moment, so
    both its announcements and its responses to probes count. ``get_rate`` returns the
    requests a second that a cold upstream of a service bears, 0 if that is not known.
    """

    def __init__(
        self, gate: admission.Gate, get_rate: ColdRateSource, log: logs.EventLog
    ) -> None:
        self._gate = gate
        self._get_rate = get_rate
        self._log = log

    def update(self, service: str, seconds_left: float, now: float) -> None:
        """Record that the upstream stays cold for ``seconds_left``, 0 if it is not."""
        self._gate.set_cold_period(seconds_left, now)
        rate = self._get_rate(service)
        was_limited = self._gate.rate_limiter.get_cold_seconds(now) > 0
        is_limited = rate > 0 and seconds_left > 0
        if not (was_limited or is_limited):
            return
        until = now + seconds_left if is_limited else now
        self._gate.rate_limiter.set_cold_rate(rate, until, now)
        if is_limited != was_limited:
            self._log.write(
                "upstream_cold",
                service=service,
                is_cold=is_limited,
                rate=rate,
                left_ms=seconds_left * MS_PER_SECOND,
            )


def parse_cold_ms(value: bytes) -> float:
    """Return the milliseconds in a header field as seconds, 0 if malformed."""
    if not value.isdigit() or len(value) > 9:
        return 0.0
    return min(int(value), MAX_COLD_MS) / MS_PER_SECOND
