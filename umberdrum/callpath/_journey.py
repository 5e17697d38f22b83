"""Attempts of one call: one after the other, or hedged, within its allowance."""

from typing import Protocol

import expression
import trio

from umberdrum import classes, errors, retries, routing
from umberdrum.callpath import _call, _endpoint, _hedging, _sinks, _statistics

MS_PER_SECOND = 1000.0
# After a loss of power daemons announce their endpoints 0.3 to 0.5 s after their start.
NO_ENDPOINT_RETRY_MS = 400
MAX_DETOURS = 3
DETOUR_KINDS = frozenset(
    (
        errors.ErrorKind.ENDPOINT_LEAVING,
        errors.ErrorKind.STALE_INCARNATION,
        errors.ErrorKind.LINK_BROKE,
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.UPSTREAM_SLOWED,
        errors.ErrorKind.DEADLINE_UNREACHABLE,
        errors.ErrorKind.RECORD_FULL,
    )
)


class AttemptMaker(Protocol):
    """What a journey needs of the entry service."""

    hedge_scheduler: _hedging.HedgeScheduler
    statistics: _statistics.CallStatistics

    def get_budget(self, service: str) -> retries.RetryBudget:
        """Return the retry budget towards ``service``."""

    def choose(
        self,
        service: str,
        class_name: str,
        excluded: frozenset[str],
        needs: routing.CallAttributes,
    ) -> routing.RoutingDecision | None:
        """Return the endpoint for the next attempt of a call of the class."""

    async def attempt(
        self,
        call: _call.Call,
        decision: routing.RoutingDecision,
        body: _call.RequestBody,
        sink: _sinks.CountingSink,
        attempt_index: int,
    ) -> _endpoint.CallResult:
        """Make one attempt at the chosen endpoint."""


class Journey:
    """One call at its entry daemon: its attempts, one after the other or hedged."""

    def __init__(
        self,
        entry: AttemptMaker,
        row: classes.ClassWithPolicy,
        call: _call.Call,
        body: _call.RequestBody,
        sink: _sinks.CountingSink,
    ) -> None:
        self._entry = entry
        self._row = row
        self._call = call
        self._body = body
        self._sink = sink
        self._service = row.request_class.service
        self._budget = entry.get_budget(self._service)
        n_extra = min(call.n_extra_attempts, row.policy.max_attempts - 1)
        self._allowance = retries.AttemptAllowance(n_extra)
        self._tried: set[str] = set()
        self.n_attempts = 0
        self.n_detours = 0
        self._may_have_run = False

    async def run(self) -> _endpoint.CallResult:
        """Return the end of the call: a report, or the failure that is final."""
        self._budget.record_call()
        last: _endpoint.CallResult | None = None
        while True:
            decision = self._choose()
            if decision is None:
                return last or expression.Error(self._explain_no_endpoint())
            result = await self._make_attempt(decision)
            if result.is_ok():
                return result
            result = self._join_execution(result.error)
            if not self._may_go_on(result.error):
                return result
            last = result

    def _choose(self) -> routing.RoutingDecision | None:
        excluded = frozenset(self._tried)
        needs = routing.CallAttributes(
            self._call.content_length or len(self._body.initial),
            self._call.target_at - trio.current_time(),
        )
        return self._entry.choose(self._service, self._call.class_name, excluded, needs)

    async def _make_attempt(
        self, decision: routing.RoutingDecision
    ) -> _endpoint.CallResult:
        """Make one attempt; a slow answer to an idempotent call brings in a second."""
        index = self.n_attempts
        self.n_attempts += 1
        self._tried.add(decision.candidate.key)
        call = self._call._replace(
            n_extra_attempts=self._allowance.get_nested_allowance(index),
            is_last_resort=decision.is_only_in_zone or self._is_last_resort(),
        )
        may_hedge = (
            self._row.policy.hedge_after_ms > 0
            and self._body.is_complete
            and self._allowance.allows(self.n_attempts)
        )
        if not may_hedge:
            return await self._entry.attempt(
                call, decision, self._body, self._sink, index
            )
        race = _hedging.Race(self._sink, self._start_hedge)
        due_at = trio.current_time() + self._get_hedge_delay()
        self._entry.hedge_scheduler.schedule(race, due_at)
        first = race.enter()
        try:
            with first.scope:
                result = await self._entry.attempt(
                    call, decision, self._body, first.sink, index
                )
                race.leave(first, result)
            return await race.wait_for_result(first)
        finally:
            race.close()

    def _is_last_resort(self) -> bool:
        """Return whether no other endpoint is left for a detour."""
        return self.n_detours >= MAX_DETOURS or self._choose() is None

    def _join_execution(self, failure: errors.Failure) -> _endpoint.CallResult:
        """Return the failure with what is known of all attempts together.

        The last attempt may be proven not run while an earlier one may have run.
        """
        if failure.execution is not errors.Execution.NOT_RUN:
            self._may_have_run = True
        elif self._may_have_run:
            failure = failure._replace(execution=errors.Execution.MAY_HAVE_RUN)
        return expression.Error(failure)

    def _get_hedge_delay(self) -> float:
        return self._row.policy.hedge_after_ms / MS_PER_SECOND

    async def _start_hedge(self, race: _hedging.Race) -> None:
        """Make a second attempt beside one that is slow, if the budget allows."""
        index = self.n_attempts
        if not self._allowance.allows(index):
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
        runner = race.enter()
        with runner.scope:
            result = await self._entry.attempt(
                call, decision, self._body, runner.sink, index
            )
            race.leave(runner, result)
            if result.is_error() and _is_detour(result.error):
                self._budget.refund()
        if runner.scope.cancelled_caught:
            race.leave(runner, None)

    def _may_go_on(self, failure: errors.Failure) -> bool:
        """Return whether another attempt is safe, allowed and paid for."""
        if self._sink.is_started or not self._body.can_be_sent_again:
            return False
        if not retries.may_retry(failure, self._call.is_idempotent):
            return False
        if trio.current_time() >= self._call.deadline:
            return False
        if _is_detour(failure) and self.n_detours < MAX_DETOURS:
            # No upstream has seen the request: it costs neither allowance nor budget.
            self.n_detours += 1
            self.n_attempts -= 1
            return True
        if not self._allowance.allows(self.n_attempts):
            return False
        if not self._budget.try_spend():
            return False
        self._entry.statistics.count_retry(self._call.class_name)
        return True

    def _explain_no_endpoint(self) -> errors.Failure:
        detail = f"no endpoint announces the service {self._service!r}"
        return errors.Failure(
            errors.ErrorKind.NO_ENDPOINT,
            errors.Execution.NOT_RUN,
            detail,
            NO_ENDPOINT_RETRY_MS,
        )


def _is_detour(failure: errors.Failure) -> bool:
    """Return whether the attempt ended before its request reached an upstream."""
    return (
        failure.kind in DETOUR_KINDS and failure.execution is errors.Execution.NOT_RUN
    )
