"""Forwarding of an admitted call to the upstream and of its response back."""

from collections.abc import Callable

import expression
import trio

from umberdrum import admission, errors, logs, routing, sockets
from umberdrum.callpath import (
    _call,
    _dialect,
    _headers,
    _notices,
    _sending,
    _upstream,
    _upstream_load,
)

MS_PER_SECOND = 1000.0
SHED_STATUS = 503
MISDIRECTED_STATUS = 421
MIN_SERVER_ERROR = 500
MAX_BUFFERED_RESPONSE_BYTES = 65_536
RESPONSE_GRACE_SECONDS = 0.25
# An upstream that sheds at random is as likely to serve a call now as later, and an
# early retry leaves more time for the call to run. An upstream at capacity needs a
# short pause before a retry can succeed.
SHED_RETRY_SHARE = 0.25
MIN_SHED_RETRY_SECONDS = 0.05
MAX_SHED_RETRY_SECONDS = 3600.0

CallResult = expression.Result[_call.CallReport, errors.Failure]
LoadBuilder = Callable[[float], routing.LoadReport | None]


class UpstreamRelay:
    """Sends admitted calls to the upstream and relays its responses.

    ``instance_id`` is the id that the upstream announced, empty if it announced none.
    The load that responses report is passed to the admission gate. ``on_misdirected``
    is called when a response shows that another upstream has taken over the address.
    """

    def __init__(
        self,
        gate: admission.Gate,
        pool: _upstream.UpstreamPool,
        build_load_report: LoadBuilder,
        log: logs.EventLog,
        dialect: _dialect.Dialect,
        notices: _notices.UpstreamNotices,
    ) -> None:
        self._gate = gate
        self._pool = pool
        self._build_load_report = build_load_report
        self._log = log
        self._dialect = dialect
        self._notices = notices
        self.instance_id = ""
        self.on_misdirected: Callable[[], None] | None = None

    async def run(
        self,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _call.ResponseSink,
        ticket: admission.SlotTicket,
        queue_seconds: float,
        scope: trio.CancelScope,
    ) -> CallResult:
        """Send one request and write the response to ``sink``.

        ``scope`` is the caller's scope with the deadline of the call. A short response
        that has started moves it to the end of its own time, so that only the deadline
        is put off: the end of the daemon, or of the caller, still cancels the call.
        """
        try:
            upstream = await self._pool.acquire(call.is_idempotent, call.request_id)
        except _upstream.UpstreamFailureError as fault:
            return expression.Error(fault.failure)
        is_clean = False
        try:
            result = await self._relay(
                call, body, sink, ticket, queue_seconds, scope, upstream
            )
            is_clean = True
            return result
        except _upstream.UpstreamFailureError as fault:
            if fault.failure.kind is errors.ErrorKind.UPSTREAM_BROKE_OFF:
                self._pool.record_loss(upstream)
            return expression.Error(fault.failure)
        except sockets.ConnectionLostError as fault:
            self._pool.record_loss(upstream)
            execution = errors.Execution.NOT_RUN
            if upstream.has_sent:
                execution = errors.Execution.MAY_HAVE_RUN
            return expression.Error(
                errors.fail(errors.ErrorKind.UPSTREAM_BROKE_OFF, str(fault), execution)
            )
        except _call.BodyLostError as fault:
            failure = fault.failure
            return expression.Error(
                failure._replace(execution=errors.Execution.MAY_HAVE_RUN)
            )
        except _call.SinkLostError as fault:
            return expression.Error(
                errors.fail(
                    errors.ErrorKind.CALLER_GONE, str(fault), errors.Execution.RAN
                )
            )
        finally:
            self._pool.release(upstream, is_clean)

    async def _relay(
        self,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _call.ResponseSink,
        ticket: admission.SlotTicket,
        queue_seconds: float,
        scope: trio.CancelScope,
        upstream: _upstream.UpstreamConnection,
    ) -> CallResult:
        sent_at = trio.current_time()
        remaining_ms = int((call.deadline - sent_at) * MS_PER_SECOND)
        if remaining_ms <= 0:
            detail = "the deadline passed before the request was sent to the upstream"
            return expression.Error(
                errors.fail(errors.ErrorKind.DEADLINE_EXCEEDED, detail)
            )
        await upstream.send_request(call, body, remaining_ms, self.instance_id)
        if body.is_complete:
            head = await upstream.receive_head(call.request_id)
        else:
            exchange = _sending.StreamedExchange(body, upstream, call.request_id)
            head = await exchange.run()
        refusal = self._find_upstream_refusal(call, head)
        invalid = None
        if refusal is None:
            invalid = self._find_invalid_response(head)
        if head.status != MISDIRECTED_STATUS:
            has_run = refusal is None and invalid is None
            self._notices.read_response(head, has_run)
        if refusal is not None:
            upstream.record_refusal(call.request_id)
            await upstream.discard_body()
            return expression.Error(refusal)
        if invalid is not None:
            return expression.Error(invalid)
        now = trio.current_time()
        load = self._record_upstream_load(head)
        self._log.write(
            "ran",
            request=call.request_id,
            cls=call.class_name,
            status=head.status,
            instance=self.instance_id or None,
            queue_ms=queue_seconds * MS_PER_SECOND,
            upstream_ms=(now - sent_at) * MS_PER_SECOND,
            running=self._gate.n_running,
            queued=self._gate.n_queued,
            limit=self._gate.slot_limit.get_limit(),
            start_pace=ticket.pace,
            start_running=ticket.n_running,
            pace=load.pace if load else None,
            upstream_running=load.n_running if load else None,
            upstream_queued=load.n_queued if load else None,
            rate_limit=self._gate.rate_limiter.rate_per_second,
        )
        report = _call.CallReport(
            head.status,
            now - sent_at,
            queue_seconds,
            self._build_load_report(now),
            ticket.pace,
            self._notices.get_notice(),
        )
        await sink.start(head, report)
        is_short = _fits_buffer(head)
        if is_short:
            # A short response that has started is delivered even if its end arrives up
            # to RESPONSE_GRACE_SECONDS after the deadline.
            scope.deadline = max(scope.deadline, get_response_deadline(call, now))
        await upstream.relay_body(sink, is_buffered=is_short)
        await sink.finish()
        return expression.Ok(report)

    def _find_invalid_response(
        self, head: _call.HttpResponseHead
    ) -> errors.Failure | None:
        """Return the failure for a response that must not be passed on, or None.

        Below 500 that is a response that may not be the application's. A status by
        which the caller would learn that its request has not run needs the upstream's
        statement: the software in front of an application sends 503 also after it has
        passed the request on.
        """
        name = self._dialect.signature
        is_signed = not name or _headers.get_header(head.headers, name) is not None
        if head.status < MIN_SERVER_ERROR and not is_signed:
            return _build_invalid_failure(head, "the application's signature")
        if self._dialect.not_run and errors.is_not_run_status(head.status):
            return _build_invalid_failure(head, "a statement that it has not run")
        return None

    def _record_upstream_load(
        self, head: _call.HttpResponseHead
    ) -> _upstream_load.UpstreamLoad | None:
        """Pass the load in a response to the gate; None if the response has none."""
        if not self._dialect.load_report:
            return None
        value = _headers.get_header(head.headers, self._dialect.load_report)
        if value is None:
            return None
        load = _upstream_load.parse_upstream_load(value)
        if load is not None:
            now = trio.current_time()
            self._gate.update_pace(load.pace, now)
            self._gate.update_upstream_running(load.n_running, now)
        return load

    def _find_upstream_refusal(
        self, call: _call.Call, head: _call.HttpResponseHead
    ) -> errors.Failure | None:
        """Return the failure if the upstream refused the request, or None.

        Without a "not run" header in the dialect, a 503 to an idempotent call counts as
        load shedding, after which the request may have run.
        """
        marker = self._dialect.not_run
        if not marker:
            if call.is_idempotent and head.status == SHED_STATUS:
                return _build_shed_failure(call, head, errors.Execution.MAY_HAVE_RUN)
            return None
        if self._is_misdirected(head):
            if self.on_misdirected is not None:
                self.on_misdirected()
            detail = f"the address belongs to another upstream than {self.instance_id}"
            return errors.fail(errors.ErrorKind.STALE_INCARNATION, detail)
        if _headers.get_header(head.headers, marker) is not None:
            return _build_shed_failure(call, head, errors.Execution.NOT_RUN)
        return None

    def _is_misdirected(self, head: _call.HttpResponseHead) -> bool:
        """Return whether another upstream than the expected one has refused a request.

        It states its own instance id, or that the request has not run.
        """
        if head.status != MISDIRECTED_STATUS:
            return False
        if _headers.get_header(head.headers, self._dialect.not_run) is not None:
            return True
        found = _headers.get_header(head.headers, self._dialect.instance_id)
        return found not in (None, self.instance_id.encode())


def get_response_deadline(call: _call.Call, now: float) -> float:
    """Return until when to wait for the rest of a response whose head has arrived."""
    return max(now, call.deadline) + RESPONSE_GRACE_SECONDS


def build_overdue_failure(call: _call.Call) -> errors.Failure:
    """Return the failure for a call whose response is missing after its deadline."""
    return errors.fail(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        f"the upstream did not finish request {call.request_id} by its deadline",
        errors.Execution.MAY_HAVE_RUN,
    )


def _build_invalid_failure(
    head: _call.HttpResponseHead, missing: str
) -> errors.Failure:
    return errors.fail(
        errors.ErrorKind.UPSTREAM_INVALID_ANSWER,
        f"upstream: status {head.status} without {missing}",
        errors.Execution.MAY_HAVE_RUN,
    )


def _fits_buffer(head: _call.HttpResponseHead) -> bool:
    """Return whether the response is short enough to be buffered until complete."""
    length = _headers.get_header(head.headers, b"content-length")
    return length is not None and int(length) <= MAX_BUFFERED_RESPONSE_BYTES


def _build_shed_failure(
    call: _call.Call, head: _call.HttpResponseHead, execution: errors.Execution
) -> errors.Failure:
    """Return the failure for a load-shedding upstream; another endpoint may be tried.

    The caller is asked to retry after the upstream's ``Retry-After``. Without that
    field it retries after a share of the time left until the latency target is missed.
    """
    left_seconds = call.target_at - trio.current_time()
    seconds = max(MIN_SHED_RETRY_SECONDS, SHED_RETRY_SHARE * left_seconds)
    for name, value in head.headers:
        if name == b"retry-after" and value.isdigit():
            seconds = min(float(value), MAX_SHED_RETRY_SECONDS)
    return errors.Failure(
        errors.ErrorKind.UPSTREAM_SHED,
        execution,
        f"the upstream returned status {head.status}",
        int(seconds * MS_PER_SECOND),
    )
