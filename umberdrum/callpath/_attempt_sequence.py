"""Attempts of one call, made in sequence or hedged, within its limit of attempts."""

from typing import Protocol

import expression
import trio

from umberdrum import classes, errors, retries, routing
from umberdrum.callpath import (
    _body_buffer,
    _call,
    _endpoint,
    _hedging,
    _sinks,
    _statistics,
    _stop_period,
)

MS_PER_SECOND = 1000.0
# After a power failure, daemons announce their endpoints 0.3 to 0.5 s after they start.
NO_ENDPOINT_RETRY_MS = 400
# Zones are returned to service by hand, so an earlier retry would meet the same.
ZONES_DRAINED_RETRY_MS = 1000
MAX_DETOURS = 3
DETOUR_KINDS = frozenset(
    (
        errors.ErrorKind.ENDPOINT_LEAVING,
        errors.ErrorKind.STALE_INCARNATION,
        errors.ErrorKind.LINK_BROKE,
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.UPSTREAM_SLOWED,
        errors.ErrorKind.RATE_LIMITED,
        errors.ErrorKind.DEADLINE_UNREACHABLE,
        errors.ErrorKind.RECORD_FULL,
        errors.ErrorKind.ZONES_DRAINED,
    )
)


class AttemptService(Protocol):
    """The part of the entry service that a sequence of attempts uses."""

    hedge_scheduler: _hedging.HedgeScheduler
    statistics: _statistics.CallStatistics
    stop_period: _stop_period.StopPeriod | None

    def get_budget(self, service: str) -> retries.RetryBudget:
        """Return the retry budget towards ``service``."""

    def is_drained(self, service: str) -> bool:
        """Return whether all endpoints of ``service`` are in drained zones."""

    def find_refusal(self, call: _call.Call) -> errors.Failure | None:
        """Return why the call may make no further attempt, None if it may."""

    def choose(
        self,
        service: str,
        class_name: str,
        excluded: frozenset[str],
        attributes: routing.CallAttributes,
    ) -> routing.RoutingDecision | None:
        """Return the endpoint for the next attempt of a call of the class."""

    async def attempt(
        self,
        call: _call.Call,
        decision: routing.RoutingDecision,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
        attempt_index: int,
    ) -> _endpoint.CallResult:
        """Make one attempt at the chosen endpoint."""


class AttemptSequence:
    """Makes the attempts of one call at its entry daemon, in sequence or hedged.

    A detour is an attempt that ended before its request reached an upstream. It is
    followed by another attempt that counts against neither the call's extra attempts
    nor the retry budget, up to ``MAX_DETOURS`` times.
    """

    def __init__(
        self,
        entry: AttemptService,
        class_with_policy: classes.ClassWithPolicy,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
    ) -> None:
        self._entry = entry
        self._class_with_policy = class_with_policy
        self._call = call
        self._body = body
        if not body.is_complete:
            self._body = _body_buffer.RefusableBody(body, self._find_upload_refusal)
        self._sink = sink
        self._service = class_with_policy.request_class.service
        self._budget = entry.get_budget(self._service)
        n_extra = min(call.n_extra_attempts, class_with_policy.policy.max_attempts - 1)
        self._allowance = retries.AttemptAllowance(n_extra)
        self._tried: set[str] = set()
        self.n_attempts = 0
        self.n_detours = 0
        self._may_have_run = False

    async def run(self) -> _endpoint.CallResult:
        """Return the report of the successful attempt, or the final failure."""
        if trio.current_time() >= self._call.deadline:
            return expression.Error(_build_missed_deadline_failure())
        self._budget.record_call()
        last_result: _endpoint.CallResult | None = None
        while True:
            refusal = self._entry.find_refusal(self._call)
            if refusal is not None:
                return self._merge_execution(refusal)
            decision = self._choose()
            if decision is None:
                return last_result or expression.Error(
                    self._build_no_endpoint_failure()
                )
            result = await self._make_attempt(decision)
            if result.is_ok():
                return result
            result = self._merge_execution(result.error)
            if not self._may_retry(result.error):
                return result
            last_result = result

    def _find_upload_refusal(self) -> errors.Failure | None:
        """Return why the call must not begin while its body arrives, or None."""
        period = self._entry.stop_period
        if period is None:
            return None
        expected_seconds = self._call.target_latency_ms / MS_PER_SECOND
        now = trio.current_time()
        return period.find_upload_refusal(self._call.deadline, expected_seconds, now)

    def _choose(self) -> routing.RoutingDecision | None:
        excluded = frozenset(self._tried)
        attributes = routing.CallAttributes(
            self._call.content_length or len(self._body.initial),
            self._call.target_at - trio.current_time(),
        )
        return self._entry.choose(
            self._service, self._call.class_name, excluded, attributes
        )

    async def _make_attempt(
        self, decision: routing.RoutingDecision
    ) -> _endpoint.CallResult:
        """Make one attempt, hedged by a second one when the response is slow.

        Only calls whose policy has a hedging delay and whose body is complete are
        hedged.
        """
        index = self.n_attempts
        self.n_attempts += 1
        self._tried.add(decision.candidate.key)
        call = self._call._replace(
            n_extra_attempts=self._allowance.get_nested_allowance(index),
            is_last_resort=(
                decision.is_only_in_zone
                or decision.are_all_limited
                or self._is_last_resort()
            ),
        )
        may_hedge = (
            self._class_with_policy.policy.hedge_after_ms > 0
            and self._body.is_complete
            and self._allowance.allows(self.n_attempts)
        )
        if not may_hedge:
            return await self._entry.attempt(
                call, decision, self._body, self._sink, index
            )
        hedged_call = _hedging.HedgedCall(self._sink, self._start_hedge)
        due_at = trio.current_time() + self._get_hedge_delay_seconds()
        self._entry.hedge_scheduler.schedule(hedged_call, due_at)
        first = hedged_call.add_attempt()
        try:
            with first.scope:
                result = await self._entry.attempt(
                    call, decision, self._body, first.sink, index
                )
                hedged_call.record_end(first, result)
            return await hedged_call.wait_for_result(first)
        finally:
            hedged_call.close()

    def _is_last_resort(self) -> bool:
        """Return whether the call has no detour left or no other endpoint to try."""
        return self.n_detours >= MAX_DETOURS or self._choose() is None

    def _merge_execution(self, failure: errors.Failure) -> _endpoint.CallResult:
        """Return the failure with the execution state of all attempts combined.

        The last attempt may be proven not to have run while an earlier one may have
        run. The call as a whole may then have run.
        """
        if failure.execution is not errors.Execution.NOT_RUN:
            self._may_have_run = True
        elif self._may_have_run:
            failure = failure._replace(execution=errors.Execution.MAY_HAVE_RUN)
        return expression.Error(failure)

    def _get_hedge_delay_seconds(self) -> float:
        return self._class_with_policy.policy.hedge_after_ms / MS_PER_SECOND

    async def _start_hedge(self, hedged_call: _hedging.HedgedCall) -> None:
        """Make a second attempt while the first one runs, if the budget allows it.

        An endpoint that the membership suspects of having failed gets no hedge.
        """
        index = self.n_attempts
        if not self._allowance.allows(index):
            return
        if self._entry.find_refusal(self._call) is not None:
            return
        decision = self._choose()
        if decision is None or decision.candidate.is_suspected:
            return
        if not self._budget.try_spend():
            return
        self.n_attempts += 1
        self._tried.add(decision.candidate.key)
        self._entry.statistics.count_hedge(self._call.class_name)
        call = self._call._replace(
            n_extra_attempts=self._allowance.get_nested_allowance(index),
            is_last_resort=False,
            is_hedge=True,
        )
        hedge = hedged_call.add_attempt()
        result: _endpoint.CallResult | None = None
        try:
            with hedge.scope:
                result = await self._entry.attempt(
                    call, decision, self._body, hedge.sink, index
                )
                if result.is_error() and _is_detour(result.error):
                    self._budget.refund()
        finally:
            hedged_call.record_end(hedge, result)

    def _may_retry(self, failure: errors.Failure) -> bool:
        """Return whether another attempt is safe and within the limits of retries."""
        if self._sink.is_started or not self._body.can_be_sent_again:
            return False
        if not retries.may_retry(failure, self._call.is_idempotent):
            return False
        if trio.current_time() >= self._call.deadline:
            return False
        if _is_detour(failure) and self.n_detours < MAX_DETOURS:
            # No upstream has received the request, so this attempt counts against
            # neither the call's extra attempts nor the retry budget.
            self.n_detours += 1
            self.n_attempts -= 1
            return True
        if not self._allowance.allows(self.n_attempts):
            return False
        if not self._budget.try_spend():
            return False
        self._entry.statistics.count_retry(self._call.class_name)
        return True

    def _build_no_endpoint_failure(self) -> errors.Failure:
        if self._entry.is_drained(self._service):
            return errors.Failure(
                errors.ErrorKind.ZONES_DRAINED,
                errors.Execution.NOT_RUN,
                f"all zones with endpoints of {self._service!r} are out of service",
                ZONES_DRAINED_RETRY_MS,
            )
        detail = f"no endpoint announces the service {self._service!r}"
        return errors.Failure(
            errors.ErrorKind.NO_ENDPOINT,
            errors.Execution.NOT_RUN,
            detail,
            NO_ENDPOINT_RETRY_MS,
        )


def _build_missed_deadline_failure() -> errors.Failure:
    detail = "the deadline passed before the request was read"
    return errors.fail(errors.ErrorKind.DEADLINE_EXCEEDED, detail)


def _is_detour(failure: errors.Failure) -> bool:
    """Return whether the attempt ended before its request reached an upstream."""
    return (
        failure.kind in DETOUR_KINDS and failure.execution is errors.Execution.NOT_RUN
    )
