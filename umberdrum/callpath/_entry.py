"""Entry service: matches a call with its class, routes its attempts and retries."""

import secrets
from typing import NamedTuple

import expression
import trio

from umberdrum import (
    accounts,
    allotments,
    classes,
    errors,
    logs,
    retries,
    routing,
    supervision,
)
from umberdrum.callpath import (
    _account_check,
    _attempt_sequence,
    _call,
    _dialect,
    _directory,
    _endpoint,
    _headers,
    _hedging,
    _matching,
    _notices,
    _peer_client,
    _route_wait,
    _sinks,
    _startup_period,
    _statistics,
    _stop_period,
)

MS_PER_SECOND = 1000.0
REQUEST_ID_BYTES = 16
ENDPOINT_FAULT_KINDS = frozenset(
    (
        errors.ErrorKind.LINK_BROKE,
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.UPSTREAM_BROKE_OFF,
        errors.ErrorKind.UPSTREAM_INVALID_ANSWER,
        errors.ErrorKind.OUTCOME_UNKNOWN,
    )
)
MIN_SERVER_ERROR = 500
# The priority of an account goes before that of a route.
PRIORITIES_PER_ACCOUNT_PRIORITY = 4


class IncomingRequest(NamedTuple):
    """Head of a caller's request, with header names in lower case.

    ``received_at`` is a time of the monotonic clock in seconds.
    """

    method: bytes
    target: bytes
    headers: _headers.HeaderFields
    fields: _headers.CallFields
    received_at: float


class _CallTarget(NamedTuple):
    """Class and client account of a request; the account is None if it needs none."""

    class_with_policy: classes.ClassWithPolicy
    account: accounts.Account | None


_TargetResult = expression.Result[_CallTarget, errors.Failure]


class EntryOutcome(NamedTuple):
    """Result of a call at its entry daemon."""

    result: _endpoint.CallResult
    request_id: str


class EntryService:
    """Routes callers' requests to endpoints and returns the result of each call.

    It makes every routing decision and every retry, within the number of extra attempts
    that the call allows and the retry budget of the service. It never sends a
    non-idempotent request again unless the earlier attempt is proven not to have run.
    """

    def __init__(
        self,
        directory: _directory.EndpointDirectory,
        router: routing.Router,
        endpoint: _endpoint.EndpointService,
        peer_client: _peer_client.PeerClient,
        statistics: _statistics.CallStatistics,
        log: logs.EventLog,
        tasks: supervision.TaskStarter,
        matcher: _matching.CallMatcher,
        budgets: retries.RetryBudgetRegistry,
        dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
        caller_service: str = "",
        allotment_client: allotments.AllotmentClient | None = None,
    ) -> None:
        self._allotments = allotment_client
        self.account_usage = accounts.AccountUsage()
        self._matcher = matcher
        self._budgets = budgets
        self._dialect = dialect
        self.caller_service = caller_service
        self._longest_deadline_ms: dict[str, int] = {}
        self.router = router
        self.statistics = statistics
        self._directory = directory
        self._endpoint = endpoint
        self._peer_client = peer_client
        self._peer_notices = _notices.PeerNotices()
        self._log = log
        self.hedge_scheduler = _hedging.HedgeScheduler(tasks)
        self._startup_period = _startup_period.StartupPeriod(trio.current_time())
        # Set while the daemon stops.
        self.stop_period: _stop_period.StopPeriod | None = None

    async def handle(
        self,
        request: IncomingRequest,
        body: _call.RequestBody,
        sink: _call.ResponseSink,
    ) -> EntryOutcome:
        """Run one request and write the response to ``sink``.

        The result is a failure if no class matches or all attempts failed. A response
        that was started before the failure stays incomplete.
        """
        request_id = request.fields.request_id or secrets.token_hex(REQUEST_ID_BYTES)
        found = await self._find_target(request)
        if found.is_error():
            return self._refuse(request_id, found.error)
        class_with_policy, account = found.ok
        call = self._build_call(request, request_id, class_with_policy, account)
        guard = self._endpoint.crash_guard
        if guard.has_suspects:
            call = guard.identify(call, body)
            refusal = guard.find_refusal(call)
            if refusal is not None:
                self._log_refusal(request_id, refusal, call.account)
                return EntryOutcome(expression.Error(refusal), request_id)
        if not self._is_service_known(call.service):
            await self._startup_period.wait_until(
                lambda: self._is_service_known(call.service), call.deadline
            )
        taken = await self._take_allotment(account, call.deadline)
        if taken.is_error():
            self._count_account(call, expression.Error(taken.error))
            return self._refuse(request_id, taken.error, call.account)
        tracking = _sinks.TrackingSink(sink)
        sequence = _attempt_sequence.AttemptSequence(
            self, class_with_policy, call, body, tracking
        )
        result: _endpoint.CallResult | None = None
        try:
            result = await sequence.run()
        finally:
            self._log_end(call, sequence, result, request.received_at)
            self._count_account(call, result)
        if _has_not_run(result):
            self._give_back(taken.ok)
        self.statistics.record(
            class_with_policy.request_class,
            trio.current_time() - request.received_at,
            result,
        )
        return EntryOutcome(result, request_id)

    async def _find_target(self, request: IncomingRequest) -> _TargetResult:
        """Return the class and the client account of the request.

        Right after a start, wait for routes; later, wait for newer ones that are known
        if those in force match nothing or have no account with the request's key.
        """
        found = self._match(request)
        deadline = request.received_at + _get_timeout_seconds(request.fields)
        if _has_failed_as(found, errors.ErrorKind.NO_ROUTES_YET):
            await self._startup_period.wait_until(self._has_routes, deadline)
        elif _has_failed_as(found, errors.ErrorKind.ROUTES_OUTDATED):
            outdated = errors.ErrorKind.ROUTES_OUTDATED
            await _route_wait.wait_until(
                lambda: not _has_failed_as(self._match(request), outdated), deadline
            )
        else:
            return found
        return self._match(request)

    def _match(self, request: IncomingRequest) -> _TargetResult:
        """Return the class and the account of the request by the routes in force."""
        method = request.method.decode("ascii")
        matched = self._matcher.match(request.fields, method, request.target)
        if matched.is_error():
            return expression.Error(matched.error)
        table = self._matcher.accounts
        if table is None:
            return expression.Ok(_CallTarget(matched.ok, None))
        identified = _account_check.identify_account(
            table, request.headers, matched.ok.policy.is_public
        )
        if identified.is_error():
            return expression.Error(
                _matching.explain_mismatch(identified.error, self._matcher.is_outdated)
            )
        return expression.Ok(_CallTarget(matched.ok, identified.ok))

    async def _take_allotment(
        self, account: accounts.Account | None, deadline: float
    ) -> allotments.TakeResult:
        """Take one request of the account's allotment, if it has one."""
        if account is None or self._allotments is None:
            return expression.Ok(None)
        return await self._allotments.take(account, deadline)

    def _give_back(self, ticket: allotments.Ticket | None) -> None:
        if ticket is not None and self._allotments is not None:
            self._allotments.give_back(ticket)

    def record_unread(self, failure: errors.Failure) -> None:
        """Count and log a request that was refused while it was read."""
        self._refuse("", failure)

    def _refuse(
        self, request_id: str, failure: errors.Failure, account: str = ""
    ) -> EntryOutcome:
        """Count and log a request that was not routed; return its outcome."""
        self.statistics.count_unmatched(failure.kind)
        self._log_refusal(request_id, failure, account)
        return EntryOutcome(expression.Error(failure), request_id)

    def _apply_account(
        self, call: _call.Call, account: accounts.Account | None
    ) -> _call.Call:
        """Return the call with its account in place of the key, and its priority."""
        headers = _account_check.replace_key(call.headers, account, self._dialect)
        if account is None:
            return call._replace(headers=headers)
        return call._replace(
            headers=headers,
            account=account.name,
            account_weight=account.rate_per_second,
            priority=account.priority * PRIORITIES_PER_ACCOUNT_PRIORITY
            + min(call.priority, PRIORITIES_PER_ACCOUNT_PRIORITY - 1),
        )

    def _count_account(
        self, call: _call.Call, result: "_endpoint.CallResult | None"
    ) -> None:
        if not call.account:
            return
        outcome = accounts.AccountOutcome.FAILED
        if result is not None and result.is_ok():
            if result.ok.status < MIN_SERVER_ERROR:
                outcome = accounts.AccountOutcome.SERVED
        elif result is not None:
            if result.error.kind is errors.ErrorKind.ALLOTMENT_EXCEEDED:
                outcome = accounts.AccountOutcome.OVER_LIMIT
            elif result.error.execution is errors.Execution.NOT_RUN:
                outcome = accounts.AccountOutcome.REFUSED
        self.account_usage.record(call.account, outcome)

    def _is_service_known(self, service: str) -> bool:
        candidates = self._directory.list_candidates(service)
        return bool(candidates) or self._directory.is_drained(service)

    def _has_routes(self) -> bool:
        return self._matcher.version > 0

    def _log_refusal(
        self, request_id: str, failure: errors.Failure, account: str = ""
    ) -> None:
        self._log.write(
            "refused",
            request=request_id or None,
            account=account or None,
            version=self._matcher.version,
            kind=failure.kind.token,
            execution=failure.execution.token,
            detail=failure.detail,
        )

    def _log_end(
        self,
        call: _call.Call,
        sequence: _attempt_sequence.AttemptSequence,
        result: "_endpoint.CallResult | None",
        received_at: float,
    ) -> None:
        now = trio.current_time()
        retry_after_ms = None
        if result is not None and result.is_error():
            retry_after_ms = result.error.retry_after_ms
        self._log.write(
            "call_ended",
            request=call.request_id,
            cls=call.class_name,
            service=call.service,
            account=call.account or None,
            version=self._matcher.version,
            result=_describe_result(result),
            attempts=sequence.n_attempts,
            detours=sequence.n_detours,
            retry_after_ms=retry_after_ms,
            left_ms=(call.deadline - now) * MS_PER_SECOND,
            ms=(now - received_at) * MS_PER_SECOND,
        )

    async def find_allotment_refusal(
        self, account: accounts.Account
    ) -> errors.Failure | None:
        """Return how a call would be refused by its account's allotment, if it would.

        It is asked without taking anything of the allotment.
        """
        if self._allotments is None:
            return None
        return await self._allotments.find_refusal(account)

    def get_budget(self, service: str) -> retries.RetryBudget:
        """Return the retry budget towards ``service``."""
        return self._budgets.get_budget(service)

    def find_refusal(self, call: _call.Call) -> errors.Failure | None:
        """Return why the call may make no further attempt, None if it may."""
        if self.stop_period is None:
            return None
        return self.stop_period.find_refusal(call.deadline, trio.current_time())

    def is_drained(self, service: str) -> bool:
        """Return whether all endpoints of ``service`` are in drained zones."""
        return self._directory.is_drained(service)

    def choose(
        self,
        service: str,
        class_name: str,
        excluded: frozenset[str],
        attributes: routing.CallAttributes = routing.DEFAULT_ATTRIBUTES,
    ) -> routing.RoutingDecision | None:
        """Return the endpoint for the next attempt of a call of the class."""
        candidates = self._directory.list_candidates(service)
        return self.router.choose(
            class_name, candidates, excluded, trio.current_time(), attributes
        )

    async def attempt(
        self,
        call: _call.Call,
        decision: routing.RoutingDecision,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
        attempt_index: int,
    ) -> _endpoint.CallResult:
        """Make one attempt at the chosen endpoint and pass its result to the router."""
        candidate = decision.candidate
        began_at = trio.current_time()
        handle = self.router.start_attempt(candidate.key, call.class_name, began_at)
        result: _endpoint.CallResult | None = None
        sink.refusal_load = None
        try:
            result = await self._send(call, candidate, body, sink)
        finally:
            now = trio.current_time()
            if candidate.is_local and result is not None and result.is_error():
                sink.refusal_load = self._endpoint.build_load_report(now)
            observation = _build_observation(result, now - began_at, sink.refusal_load)
            self.router.end_attempt(handle, observation, now)
            self._log_attempt(call, decision, attempt_index, result, now - began_at)
        if result.is_error() and result.error.kind is errors.ErrorKind.LINK_BROKE:
            self._directory.mark_unreachable(candidate.key)
        return result

    async def _send(
        self,
        call: _call.Call,
        candidate: routing.Candidate,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
    ) -> _endpoint.CallResult:
        if candidate.is_local:
            return await self._endpoint.run(call, body, sink)
        peer = self._directory.get_peer(candidate.key)
        endpoint_id = str(peer.address)
        call = call._replace(notice=self._peer_notices.get(endpoint_id))
        try:
            return await self._peer_client.run(call, peer, body, sink)
        finally:
            if sink.report is not None:
                self._peer_notices.record(endpoint_id, sink.report.notice)

    def _log_attempt(
        self,
        call: _call.Call,
        decision: routing.RoutingDecision,
        attempt_index: int,
        result: "_endpoint.CallResult | None",
        seconds: float,
    ) -> None:
        self._log.write(
            "route",
            request=call.request_id,
            cls=call.class_name,
            endpoint=decision.candidate.key,
            zone=decision.candidate.availability_zone,
            policy=decision.policy,
            expected_ms=decision.expected_ms,
            considered=decision.n_considered,
            load_age_ms=decision.report_age_ms,
            leaves_zone_for=decision.leaves_zone_for,
            attempt=attempt_index,
            result=_describe_result(result),
            reason=result.error.detail if result and result.is_error() else None,
            ms=seconds * MS_PER_SECOND,
        )

    def _build_call(
        self,
        request: IncomingRequest,
        request_id: str,
        class_with_policy: classes.ClassWithPolicy,
        account: accounts.Account | None,
    ) -> _call.Call:
        fields = request.fields
        request_class, policy = class_with_policy
        deadline_ms = policy.deadline_ms
        if fields.deadline_ms >= 0:
            deadline_ms = min(fields.deadline_ms, classes.MAX_DEADLINE_MS)
        if policy.timeout_ms:
            deadline_ms = min(deadline_ms, policy.timeout_ms)
        n_extra = retries.DEFAULT_EXTRA_ATTEMPTS
        if fields.n_extra_attempts >= 0:
            n_extra = min(fields.n_extra_attempts, retries.MAX_EXTRA_ATTEMPTS)
        headers = _headers.filter_request_headers(
            request.headers, fields.service, self._dialect
        )
        if self._dialect.caller_service and self.caller_service:
            service = self.caller_service.encode()
            headers.append((self._dialect.caller_service, service))
        call = _call.Call(
            request_id=request_id,
            class_name=request_class.name,
            method=request.method,
            target=request.target,
            headers=headers,
            deadline=request.received_at + deadline_ms / MS_PER_SECOND,
            n_extra_attempts=n_extra,
            is_idempotent=request_class.is_idempotent,
            target_latency_ms=request_class.target.latency_ms,
            max_queue_ms=policy.max_queue_ms,
            content_length=fields.content_length,
            service=request_class.service,
            priority=policy.priority,
            target_at=self._get_target_time(request, class_with_policy, deadline_ms),
        )
        if self._matcher.accounts is None:
            return call
        return self._apply_account(call, account)

    def _get_target_time(
        self,
        request: IncomingRequest,
        class_with_policy: classes.ClassWithPolicy,
        deadline_ms: int,
    ) -> float:
        """Return the time at which the call misses its latency target.

        A caller that repeats a refused request has less time left than for its first
        try, while its latency target counts from that first try. The longest deadline
        seen for the class is taken as the initial one, as far as the time-out of the
        class allows it now. The difference to the deadline of this request is the time
        that has already passed.
        """
        request_class, policy = class_with_policy
        name = request_class.name
        longest_ms = max(deadline_ms, self._longest_deadline_ms.get(name, 0))
        self._longest_deadline_ms[name] = longest_ms
        if policy.timeout_ms:
            longest_ms = min(longest_ms, policy.timeout_ms)
        remaining_ms = request_class.target.latency_ms - (longest_ms - deadline_ms)
        return request.received_at + remaining_ms / MS_PER_SECOND


def _build_observation(
    result: "_endpoint.CallResult | None",
    total_seconds: float,
    refusal_load: routing.LoadReport | None,
) -> routing.Observation:
    """Return the router's observation; a result of None is a cancelled attempt."""
    if result is None:
        return routing.Observation(routing.AttemptResult.ABANDONED, total_seconds)
    if result.is_error():
        end = routing.AttemptResult.REFUSED
        if result.error.kind in ENDPOINT_FAULT_KINDS:
            end = routing.AttemptResult.FAILED
        return routing.Observation(end, total_seconds, report=refusal_load)
    report = result.ok
    end = routing.AttemptResult.ANSWERED
    if report.status >= MIN_SERVER_ERROR:
        end = routing.AttemptResult.FAILED
    return routing.Observation(
        end,
        total_seconds - report.queue_seconds,
        report.upstream_seconds / report.start_pace,
        report.load,
    )


def _has_not_run(result: "_endpoint.CallResult | None") -> bool:
    if result is None or result.is_ok():
        return False
    return result.error.execution is errors.Execution.NOT_RUN


def _has_failed_as(found: _TargetResult, kind: errors.ErrorKind) -> bool:
    return found.is_error() and found.error.kind is kind


def _get_timeout_seconds(fields: _headers.CallFields) -> float:
    """Return the deadline that the caller sent, else the longest allowed."""
    if fields.deadline_ms < 0:
        return classes.MAX_DEADLINE_MS / MS_PER_SECOND
    return fields.deadline_ms / MS_PER_SECOND


def _describe_result(result: "_endpoint.CallResult | None") -> str:
    if result is None:
        return "cancelled"
    if result.is_ok():
        return str(result.ok.status)
    return f"{result.error.kind.token}/{result.error.execution.token}"
