"""Endpoint service: admits calls to this daemon's upstream and runs them there."""

import math

import expression
import trio

from umberdrum import (
    admission,
    crashes,
    errors,
    logs,
    measuring,
    outcomes,
    routing,
    supervision,
)
from umberdrum.callpath import (
    _announcement,
    _body_buffer,
    _call,
    _crash_guard,
    _dialect,
    _notices,
    _prober,
    _recording,
    _upstream,
    _upstream_relay,
)

LOAD_REPORT_BYTES = 12
# An operator's drain of a zone has to be complete within 5 s.
ZONE_QUEUE_SECONDS = 1.0
MIN_SERVER_ERROR = 500

CallResult = expression.Result[_call.CallReport, errors.Failure]
AdmissionResult = expression.Result[admission.SlotTicket, errors.Failure]


class _DetachedCall:
    """Non-idempotent call that runs to its end even if its caller has gone."""

    def __init__(self, body: _body_buffer.DetachableBody) -> None:
        self.body = body
        self.done = trio.Event()
        self.result: CallResult | None = None


class EndpointService:
    """Runs calls at the one upstream of this daemon.

    All requests to that upstream pass through this service, so its counts are exact and
    a request that it refuses has not run. A non-idempotent call that has begun runs to
    its end even when its caller or the link is gone, and its outcome is recorded. The
    deadline is sent to the upstream. A response that is still missing
    ``RESPONSE_GRACE_SECONDS`` after the deadline counts as lost, and its slot is freed.
    The service never routes, and it never retries a request whose bytes may have
    reached the upstream. An upstream's 503 to an idempotent call is reported as load
    shedding, so that another endpoint may be tried.
    """

    def __init__(
        self,
        gate: admission.Gate,
        record: outcomes.OutcomeRecord,
        pool: _upstream.UpstreamPool,
        budget: measuring.MeasuringBudget,
        log: logs.EventLog,
        tasks: supervision.TaskStarter,
        dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
        prober: _prober.UpstreamProber | None = None,
        registry: crashes.CrashRegistry | None = None,
    ) -> None:
        self._dialect = dialect
        self._prober = prober
        self.service = ""
        self.gate = gate
        self.record = record
        self.pool = pool
        self._budget = budget
        self._log = log
        self._tasks = tasks
        self._request_buffer = _body_buffer.BodyBuffer()
        if registry is None:
            registry = crashes.CrashRegistry()
        self.crash_guard = _crash_guard.CrashGuard(registry, pool, dialect, log)
        self.notices = _notices.UpstreamNotices(gate.rate_limiter, dialect, log)
        self.relay = _upstream_relay.UpstreamRelay(
            gate, pool, self.build_load_report, log, dialect, self.notices
        )
        self.state = _announcement.EndpointState.ABSENT
        self.is_zone_drained = False
        self.n_zone_refusals = 0
        self.n_in_progress = 0
        # Calls with later deadlines are refused. It is set while the daemon stops.
        self.ends_at = math.inf
        self._idle_event = trio.Event()

    def set_state(self, state: _announcement.EndpointState) -> None:
        """Change the state; queued calls are refused once it is draining or absent."""
        if state is self.state:
            return
        self.state = state
        if state in (
            _announcement.EndpointState.DRAINING,
            _announcement.EndpointState.ABSENT,
        ):
            self.gate.refuse_all(self._build_leaving_failure())

    def set_zone_drained(self, is_drained: bool) -> None:
        """Take the endpoint out of service, or back, with its availability zone.

        Calls that run are not disturbed. Queued calls may still start for
        ``ZONE_QUEUE_SECONDS``; then they are refused, to be sent to another zone.
        """
        if is_drained is self.is_zone_drained:
            return
        self.is_zone_drained = is_drained
        if is_drained:
            self._tasks.start_soon(self._end_queue_of_drained_zone)

    async def _end_queue_of_drained_zone(self) -> None:
        await trio.sleep(ZONE_QUEUE_SECONDS)
        if self.is_zone_drained:
            self.gate.refuse_all(_build_zone_failure())

    async def run(
        self, call: _call.Call, body: _call.RequestBody, sink: _call.ResponseSink
    ) -> CallResult:
        """Run ``call`` at the upstream and write the response to ``sink``.

        Returns the report once the whole response was written. Otherwise returns a
        failure that states whether the request may have run.
        """
        self.notices.adopt(call.notice)
        if self.state is not _announcement.EndpointState.SERVING:
            return expression.Error(self._build_leaving_failure())
        if self.is_zone_drained:
            self.n_zone_refusals += 1
            return expression.Error(_build_zone_failure())
        if call.deadline > self.ends_at:
            detail = "the daemon may end before the deadline"
            return expression.Error(
                errors.fail(errors.ErrorKind.ENDPOINT_LEAVING, detail)
            )
        if call.service and self.service and call.service != self.service:
            detail = f"expected service {call.service}, found {self.service}"
            return expression.Error(
                errors.fail(errors.ErrorKind.STALE_INCARNATION, detail)
            )
        self.n_in_progress += 1
        try:
            if not body.is_complete:
                return await self._run_buffered(call, body, sink)
            return await self._run_by_idempotency(call, body, sink)
        finally:
            self.n_in_progress -= 1
            if self.n_in_progress == 0:
                self._idle_event.set()

    async def _run_by_idempotency(
        self, call: _call.Call, body: _call.RequestBody, sink: _call.ResponseSink
    ) -> CallResult:
        call = self.crash_guard.identify(call, body)
        entered = await self.crash_guard.enter(call)
        if entered.is_error():
            return expression.Error(entered.error)
        try:
            if call.is_idempotent:
                return await self._run_idempotent(call, body, sink)
            return await self._run_recorded(call, body, sink)
        finally:
            if entered.ok:
                self.crash_guard.leave()

    async def _run_buffered(
        self, call: _call.Call, body: _call.RequestBody, sink: _call.ResponseSink
    ) -> CallResult:
        """Receive the body, then admit the call and run it.

        A call that the gate would refuse now is refused before its body is received.
        Once the body was received here, the call can't be sent to another endpoint, so
        it is admitted as a last resort.
        """
        await self._refresh_pace()
        refusal = self.gate.find_refusal(_build_admission_request(call))
        if refusal is not None:
            return expression.Error(refusal)
        buffered: _call.RequestBody | None = None
        try:
            with trio.move_on_at(call.deadline):
                buffered = await self._request_buffer.read_ahead(body)
        except _call.BodyLostError as fault:
            return expression.Error(fault.failure)
        if buffered is None:
            detail = "the deadline passed before the body was received"
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
            return expression.Error(errors.fail(kind, detail))
        try:
            if self.state is not _announcement.EndpointState.SERVING:
                return expression.Error(self._build_leaving_failure())
            if self.is_zone_drained:
                self.n_zone_refusals += 1
                return expression.Error(_build_zone_failure())
            call = call._replace(is_last_resort=True)
            return await self._run_by_idempotency(call, buffered, sink)
        finally:
            self._request_buffer.release(body, buffered)

    async def wait_until_idle(self) -> None:
        """Return once no call is in progress."""
        while self.n_in_progress:
            self._idle_event = trio.Event()
            await self._idle_event.wait()

    def build_load_report(self, now: float) -> routing.LoadReport | None:
        """Return the current load, or None if the measuring budget is exhausted."""
        use = measuring.MeasuringUse.REPORT_ON_ANSWER
        if not self._budget.spend(use, LOAD_REPORT_BYTES, now):
            return None
        wait_seconds = self.gate.rate_limiter.assign_wait_seconds(
            self.gate.n_queued, now
        )
        return self._describe_load(wait_seconds)

    def build_gossip_load(self, now: float) -> routing.LoadReport | None:
        """Return the load to tell daemons that have not asked, or None.

        None is returned while the endpoint takes no calls, and if the measuring budget
        is exhausted. No time of a rate limit is assigned to the receiver.
        """
        if self.is_zone_drained or not self.state.is_serving:
            return None
        use = measuring.MeasuringUse.REPORT_ON_ANSWER
        if not self._budget.spend(use, LOAD_REPORT_BYTES, now):
            return None
        limiter = self.gate.rate_limiter
        return self._describe_load(limiter.get_wait_seconds(self.gate.n_queued, now))

    def _describe_load(self, wait_seconds: float) -> routing.LoadReport:
        return routing.LoadReport(
            self.gate.n_running,
            self.gate.n_queued,
            self.gate.slot_limit.get_limit(),
            self.gate.get_pace(),
            wait_seconds,
        )

    async def _admit(self, call: _call.Call) -> AdmissionResult:
        """Refresh the upstream's pace and return a slot for the call or the refusal.

        A last-resort call waits in the queue while the upstream is slow, so the prober
        is started to detect when the slow episode ends.
        """
        await self._refresh_pace()
        if self._prober is not None and call.is_last_resort and self.gate.is_slowed():
            self._prober.wake()
        return await self.gate.acquire(_build_admission_request(call))

    async def _refresh_pace(self) -> None:
        if self._prober is not None:
            await self._prober.refresh()

    async def _run_idempotent(
        self, call: _call.Call, body: _call.RequestBody, sink: _call.ResponseSink
    ) -> CallResult:
        """Run an idempotent call; its request is cancelled at the deadline."""
        with trio.move_on_at(call.deadline) as scope:
            return await self._run_admitted(call, body, sink, scope)
        detail = f"request {call.request_id} was cancelled at its deadline"
        return expression.Error(
            errors.fail(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                detail,
                errors.Execution.MAY_HAVE_RUN,
            )
        )

    async def _run_admitted(
        self,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _call.ResponseSink,
        scope: trio.CancelScope,
    ) -> CallResult:
        queued_at = trio.current_time()
        acquired = await self._admit(call)
        if acquired.is_error():
            return expression.Error(acquired.error)
        ticket = acquired.ok
        queue_seconds = ticket.began_at - queued_at
        return await self._run_with_ticket(
            call, body, sink, ticket, queue_seconds, scope
        )

    async def _run_recorded(
        self, call: _call.Call, body: _call.RequestBody, sink: _call.ResponseSink
    ) -> CallResult:
        """Run a non-idempotent call and record its outcome under its request id."""
        queued_at = trio.current_time()
        admitted = self.record.admit(call.request_id, queued_at)
        if admitted.is_error():
            return expression.Error(admitted.error)
        ticket: admission.SlotTicket | None = None
        try:
            acquired = await self._admit(call)
            if acquired.is_ok():
                ticket = acquired.ok
        finally:
            if ticket is None:
                now = trio.current_time()
                self.record.fail(call.request_id, errors.Execution.NOT_RUN, now)
        if ticket is None:
            return expression.Error(acquired.error)
        begun = self.record.begin(call.request_id, ticket.began_at)
        if begun.is_error():
            self.gate.release(ticket, is_observed=False)
            return expression.Error(begun.error)
        recording = _recording.RecordingSink(sink)
        detached = _DetachedCall(_body_buffer.DetachableBody(body))
        queue_seconds = ticket.began_at - queued_at
        self._tasks.start_soon(
            self._run_detached, call, recording, ticket, queue_seconds, detached
        )
        return await self._await_detached(call, recording, detached)

    async def _await_detached(
        self,
        call: _call.Call,
        recording: _recording.RecordingSink,
        detached: _DetachedCall,
    ) -> CallResult:
        try:
            with trio.move_on_at(call.deadline):
                await detached.done.wait()
            if recording.is_started and not detached.done.is_set():
                now = trio.current_time()
                with trio.move_on_at(_upstream_relay.get_response_deadline(call, now)):
                    await detached.done.wait()
        finally:
            if not detached.done.is_set():
                recording.detach()
                detached.body.detach()
        if detached.result is not None:
            return detached.result
        detail = f"request {call.request_id} was started and still runs at the upstream"
        return expression.Error(
            errors.fail(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                detail,
                errors.Execution.MAY_HAVE_RUN,
            )
        )

    async def _run_detached(
        self,
        call: _call.Call,
        recording: _recording.RecordingSink,
        ticket: admission.SlotTicket,
        queue_seconds: float,
        detached: _DetachedCall,
    ) -> None:
        self.n_in_progress += 1
        result: CallResult | None = None
        try:
            with trio.move_on_at(
                call.deadline + _upstream_relay.RESPONSE_GRACE_SECONDS
            ) as scope:
                result = await self._run_with_ticket(
                    call, detached.body, recording, ticket, queue_seconds, scope
                )
            if result is None:
                result = expression.Error(_upstream_relay.build_overdue_failure(call))
                self._log.warn("answer_lost", request=call.request_id)
            now = trio.current_time()
            if result.is_ok():
                self.record.finish(call.request_id, recording.get_response(), now)
            else:
                self.record.fail(call.request_id, result.error.execution, now)
            detached.result = result
        finally:
            if detached.result is None:
                detached.result = self._record_aborted(call)
            self.n_in_progress -= 1
            if self.n_in_progress == 0:
                self._idle_event.set()
            detached.done.set()

    def _record_aborted(self, call: _call.Call) -> CallResult:
        """Record that an error in this daemon ended the call; return the failure."""
        execution = errors.Execution.MAY_HAVE_RUN
        self.record.fail(call.request_id, execution, trio.current_time())
        detail = f"request {call.request_id} was aborted by an error in the daemon"
        return expression.Error(
            errors.fail(errors.ErrorKind.INTERNAL, detail, execution)
        )

    async def _run_with_ticket(
        self,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _call.ResponseSink,
        ticket: admission.SlotTicket,
        queue_seconds: float,
        scope: trio.CancelScope,
    ) -> CallResult:
        is_observed = False
        try:
            result = await self.relay.run(
                call, body, sink, ticket, queue_seconds, scope
            )
            is_observed = result.is_ok() and result.ok.status < MIN_SERVER_ERROR
            if is_observed:
                self.crash_guard.record_answer(call)
            elif result.is_error() and self._may_have_crashed(result.error):
                await self.crash_guard.record_break(call, self.notices.run_id)
            return result
        finally:
            self.gate.release(ticket, is_observed)

    def _may_have_crashed(self, failure: errors.Failure) -> bool:
        """Return whether a failure may come from an unplanned end of the upstream."""
        return (
            failure.kind is errors.ErrorKind.UPSTREAM_BROKE_OFF
            and failure.execution is errors.Execution.MAY_HAVE_RUN
            and self.state is _announcement.EndpointState.SERVING
        )

    def _build_leaving_failure(self) -> errors.Failure:
        return errors.fail(
            errors.ErrorKind.ENDPOINT_LEAVING, f"the endpoint is {self.state.value}"
        )


def _build_zone_failure() -> errors.Failure:
    detail = "the endpoint's availability zone is out of service"
    return errors.fail(errors.ErrorKind.ZONES_DRAINED, detail)


def _build_admission_request(call: _call.Call) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(
        call.class_name,
        call.target_latency_ms,
        call.max_queue_ms,
        call.deadline,
        call.priority,
        call.target_at,
        call.is_last_resort,
        call.is_hedge,
        call.account,
        call.account_weight,
    )
