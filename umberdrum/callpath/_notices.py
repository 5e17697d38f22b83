"""What an upstream says of itself in its responses: a rate limit, and its leaving."""

import collections
import re
from collections.abc import Callable

import trio

from umberdrum import admission, logs
from umberdrum.callpath import _call, _dialect, _headers

MAX_REMEMBERED_ENDPOINTS = 4096
LEAVING_VALUE = b"1"
_RATE_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,9})?")


class UpstreamNotices:
    """Notices of the upstream beside this daemon, as read from its responses.

    A limit is in force until a response to a call that ran no longer names it. Leaving
    is final for a run of the upstream: ``on_leaving`` is called once. It is called for
    each such response of an upstream whose announcements don't identify its run.

    An entry daemon that has passed on a response with a notice sends the notice with
    its further calls. From it a daemon that has started again learns what its
    predecessor knew. Until the upstream has announced itself, the daemon knows its
    instance from a probe, but not the start of its run. A limit is then adopted by the
    instance; leaving is not, since it would be final for a run that may be another.
    """

    def __init__(
        self,
        limiter: admission.RateLimiter,
        dialect: _dialect.Dialect,
        log: logs.EventLog,
    ) -> None:
        self._limiter = limiter
        self._dialect = dialect
        self._log = log
        self._run = ""
        self._instance_id = ""
        self._born_ms = 0
        self._is_identified = False
        self._has_responded = False
        self._is_leaving = False
        self._malformed = b""
        self.on_leaving: Callable[[], None] | None = None

    @property
    def run_id(self) -> str:
        """Identifier of the present run, empty if its upstream names none."""
        return self._run if self._is_identified else ""

    def start_run(self, instance_id: str, born_ms: int) -> bool:
        """Forget the notices of the previous run if another one has begun.

        Returns whether that is so. A run of which only the instance was known stays the
        same when its start is announced.
        """
        run = f"{instance_id}/{born_ms}"
        if run == self._run:
            return False
        is_same_run = self._is_unborn() and instance_id == self._instance_id
        self._run = run
        self._instance_id = instance_id
        self._born_ms = born_ms
        if is_same_run:
            return False
        self._is_identified = bool(instance_id)
        self._has_responded = False
        self._is_leaving = False
        self._lift_limit()
        return True

    def get_notice(self) -> _call.UpstreamNotice | None:
        """Return the notice to pass on with a response, None if there is none."""
        if not (self._is_leaving or self._limiter.is_limited):
            return None
        return _call.UpstreamNotice(
            self._run, self._limiter.rate_per_second, self._is_leaving
        )

    def read_response(self, head: _call.HttpResponseHead, has_run: bool) -> None:
        """Take over what a response says; ``has_run`` is False for a refusal."""
        if self._dialect.leaving:
            value = _headers.get_header(head.headers, self._dialect.leaving)
            if value == LEAVING_VALUE:
                self._set_leaving("response")
        if not self._dialect.rate_limit:
            return
        value = _headers.get_header(head.headers, self._dialect.rate_limit)
        if value is not None:
            self._read_limit(value)
        elif has_run:
            self._lift_limit()
        if has_run:
            self._has_responded = True

    def adopt(self, notice: _call.UpstreamNotice | None) -> None:
        """Take over a notice that an entry daemon got from this daemon's predecessor.

        What the run's own responses have said to this daemon is newer.
        """
        if notice is None or not self._is_identified:
            return
        is_same_run = notice.run == self._run
        if not is_same_run and not self._is_of_instance(notice.run):
            return
        if notice.is_leaving and is_same_run:
            self._set_leaving("peer")
        if notice.rate_limit is not None and not self._has_responded:
            self._set_limit(notice.rate_limit, "peer")

    def _is_unborn(self) -> bool:
        """Return whether only the instance of the present run is known."""
        return self._is_identified and not self._born_ms

    def _is_of_instance(self, run: str) -> bool:
        return self._is_unborn() and run.rpartition("/")[0] == self._instance_id

    def _read_limit(self, value: bytes) -> None:
        if _RATE_PATTERN.fullmatch(value):
            self._set_limit(float(value), "response")
            return
        if value != self._malformed:
            self._malformed = value
            self._log.warn(
                "rate_limit_refused",
                reason=f"expected a decimal number, found {value[:40]!r}",
            )

    def _set_limit(self, rate: float, source: str) -> None:
        previous = self._limiter.rate_per_second
        if rate == previous:
            return
        self._limiter.set_rate(rate, trio.current_time())
        self._log.write(
            "rate_limit_named",
            run=self._run,
            rate=rate,
            previous=previous,
            source=source,
        )

    def _lift_limit(self) -> None:
        if not self._limiter.is_limited:
            return
        previous = self._limiter.rate_per_second
        self._limiter.lift()
        self._log.write("rate_limit_ended", run=self._run, previous=previous)

    def _set_leaving(self, source: str) -> None:
        if self._is_leaving:
            return
        self._is_leaving = self._is_identified
        self._log.write("upstream_leaving", run=self._run, source=source)
        if self.on_leaving is not None:
            self.on_leaving()


class PeerNotices:
    """Last notices that an entry daemon has passed on, by endpoint.

    A response without a notice removes the one before it. The oldest endpoint is
    dropped beyond ``MAX_REMEMBERED_ENDPOINTS``.
    """

    def __init__(self) -> None:
        self._notices: collections.OrderedDict[str, _call.UpstreamNotice] = (
            collections.OrderedDict()
        )

    def record(self, endpoint_id: str, notice: _call.UpstreamNotice | None) -> None:
        """Store the notice that came with a response of the endpoint."""
        self._notices.pop(endpoint_id, None)
        if notice is None:
            return
        self._notices[endpoint_id] = notice
        if len(self._notices) > MAX_REMEMBERED_ENDPOINTS:
            self._notices.popitem(last=False)

    def get(self, endpoint_id: str) -> _call.UpstreamNotice | None:
        """Return the last notice of the endpoint, None if there is none."""
        return self._notices.get(endpoint_id)
