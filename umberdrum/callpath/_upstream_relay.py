"""Exchange of one admitted call with the upstream."""

from collections.abc import Callable

import expression
import trio

from umberdrum import admission, errors, logs, routing, sockets
from umberdrum.callpath import (
    _call,
    _dialect,
    _headers,
    _sending,
    _sinks,
    _upstream,
    _upstream_load,
)

MS_PER_SECOND = 1000.0
SHED_STATUS = 503
MISDIRECTED_STATUS = 421
MAX_HELD_ANSWER_BYTES = 65_536
OVERDUE_SECONDS = 0.25
# An upstream that sheds at random is as likely to serve a call now as later, so that a
# call which comes back early has time for its run; one that is full needs a moment.
SHED_RETURN_SHARE = 0.25
MIN_SHED_RETURN_SECONDS = 0.05

CallResult = expression.Result[_call.CallReport, errors.Failure]
LoadBuilder = Callable[[float], routing.LoadReport | None]


class UpstreamRelay:
    """Sends admitted calls to the upstream and relays its answers.

    ``instance_id`` is what the upstream calls itself, empty if it does not say. What
    answers tell of the upstream's load goes to the gate.
    """

    def __init__(
        self,
        gate: admission.Gate,
        pool: _upstream.UpstreamPool,
        build_load_report: LoadBuilder,
        log: logs.EventLog,
        dialect: _dialect.Dialect,
    ) -> None:
        self._gate = gate
        self._pool = pool
        self._build_load_report = build_load_report
        self._log = log
        self._dialect = dialect
        self.instance_id = ""
        self.on_misdirected: Callable[[], None] | None = None

    async def run(
        self,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _call.ResponseSink,
        ticket: admission.SlotTicket,
        queue_seconds: float,
    ) -> CallResult:
        """Send one request and write its answer to ``sink``."""
        try:
            upstream = await self._pool.acquire(call.is_idempotent)
        except _upstream.UpstreamFailureError as fault:
            return expression.Error(fault.failure)
        is_clean = False
        try:
            result = await self._relay(
                call, body, sink, ticket, queue_seconds, upstream
            )
            is_clean = True
            return result
        except _upstream.UpstreamFailureError as fault:
            if fault.failure.kind is errors.ErrorKind.UPSTREAM_BROKE_OFF:
                self._pool.note_lost(upstream)
            return expression.Error(fault.failure)
        except sockets.ConnectionLostError as fault:
            self._pool.note_lost(upstream)
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
        if refusal is not None:
            await upstream.relay_body(_sinks.DiscardingSink())
            return expression.Error(refusal)
        now = trio.current_time()
        load = self._take_upstream_load(head)
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
        )
        report = _call.CallReport(
            head.status,
            now - sent_at,
            queue_seconds,
            self._build_load_report(now),
            ticket.pace,
        )
        await sink.start(head, report)
        if not _is_short(head):
            await upstream.relay_body(sink)
            await sink.finish()
            return expression.Ok(report)
        # A ready answer is delivered, also when its last bytes come after the deadline.
        relay_until = get_overdue_time(call, now)
        with trio.CancelScope(shield=True, deadline=relay_until):
            await upstream.relay_body(sink, is_whole_wanted=True)
            await sink.finish()
            return expression.Ok(report)
        return expression.Error(report_overdue(call))

    def _take_upstream_load(
        self, head: _call.HttpResponseHead
    ) -> _upstream_load.UpstreamLoad | None:
        """Return the load that came with an answer, if the dialect has a field."""
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
        """Return the failure for an answer that says the request was not run."""
        marker = self._dialect.not_run
        if not marker:
            if call.is_idempotent and head.status == SHED_STATUS:
                return _describe_shedding(call, head, errors.Execution.MAY_HAVE_RUN)
            return None
        if head.status == MISDIRECTED_STATUS:
            if self.on_misdirected is not None:
                self.on_misdirected()
            detail = f"another upstream than {self.instance_id} has the address"
            return errors.fail(errors.ErrorKind.STALE_INCARNATION, detail)
        if _headers.get_header(head.headers, marker) is not None:
            return _describe_shedding(call, head, errors.Execution.NOT_RUN)
        return None


def get_overdue_time(call: _call.Call, now: float) -> float:
    """Return until when an answer whose head has come is waited for."""
    return max(now, call.deadline) + OVERDUE_SECONDS


def report_overdue(call: _call.Call) -> errors.Failure:
    """Return the failure of a call whose answer is missing after its deadline."""
    return errors.fail(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        f"the upstream did not end request {call.request_id} at its deadline",
        errors.Execution.MAY_HAVE_RUN,
    )


def _is_short(head: _call.HttpResponseHead) -> bool:
    """Return whether the whole answer fits into the bytes that are held back."""
    length = _headers.get_header(head.headers, b"content-length")
    return length is not None and int(length) <= MAX_HELD_ANSWER_BYTES


def _describe_shedding(
    call: _call.Call, head: _call.HttpResponseHead, execution: errors.Execution
) -> errors.Failure:
    """Return the failure for an upstream that sheds; another endpoint may answer.

    The caller comes back when the upstream says, else after a part of the time that is
    left until the target is missed.
    """
    left_seconds = call.target_at - trio.current_time()
    seconds = max(MIN_SHED_RETURN_SECONDS, SHED_RETURN_SHARE * left_seconds)
    for name, value in head.headers:
        if name == b"retry-after" and value.isdigit():
            seconds = float(value)
    return errors.Failure(
        errors.ErrorKind.UPSTREAM_SHED,
        execution,
        f"the upstream answered {head.status}",
        int(seconds * MS_PER_SECOND),
    )
