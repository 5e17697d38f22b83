"""Hedged requests: a second attempt for a slow first one; the first response wins."""

import heapq
import itertools
from collections.abc import Awaitable, Callable

import expression
import trio

from umberdrum import errors, supervision
from umberdrum.callpath import _call, _endpoint, _sinks


class HedgedAttempt:
    """One of the concurrent attempts of a hedged call."""

    def __init__(self, hedged_call: "HedgedCall", sink: _call.ResponseSink) -> None:
        self.scope = trio.CancelScope()
        self.sink = _sinks.TrackingSink(_HedgedSink(hedged_call, self, sink))


class HedgedCall:
    """Concurrent attempts of one call, of which the first to start a response wins.

    The winner's response goes to the caller and the other attempts are cancelled. When
    an attempt fails while another one still runs, the call waits for that one.
    """

    def __init__(
        self,
        sink: _call.ResponseSink,
        start_hedge: "Callable[[HedgedCall], Awaitable[None]]",
    ) -> None:
        self._sink = sink
        self._start_hedge = start_hedge
        self._attempts: list[HedgedAttempt] = []
        self._n_running = 0
        self._result: _endpoint.CallResult | None = None
        self._may_have_run = False
        self._is_closed = False
        self._decided = trio.Event()
        self.winner: HedgedAttempt | None = None

    @property
    def is_open(self) -> bool:
        """Whether a second attempt may still be started: one runs and none has won."""
        return not self._is_closed and self.winner is None and self._n_running > 0

    def add_attempt(self) -> HedgedAttempt:
        """Add an attempt to the call and return it."""
        attempt = HedgedAttempt(self, self._sink)
        self._attempts.append(attempt)
        self._n_running += 1
        return attempt

    def claim_response(self, attempt: HedgedAttempt) -> bool:
        """Make ``attempt`` the winner if there is none; return whether it has won.

        The other attempts are cancelled.
        """
        if self.winner is None:
            self.winner = attempt
            for other in self._attempts:
                if other is not attempt:
                    other.scope.cancel()
        return self.winner is attempt

    def record_end(
        self, attempt: HedgedAttempt, result: "_endpoint.CallResult | None"
    ) -> None:
        """Record the end of an attempt; a result of None is a cancelled attempt."""
        self._n_running -= 1
        if result is None or _may_have_run(result):
            self._may_have_run = True
        is_decisive = self.winner in (None, attempt)
        if result is not None and is_decisive:
            self._result = result
        if self.winner is attempt or self._n_running == 0:
            self._decided.set()

    async def run_hedge(self) -> None:
        """Run the second attempt unless the call was decided in the meantime."""
        if self.is_open:
            await self._start_hedge(self)

    async def wait_for_result(self, first: HedgedAttempt) -> _endpoint.CallResult:
        """Return the result of the winner, or the last failure if no attempt won.

        A failure is reported as not run only if none of the attempts may have run.
        """
        if first.scope.cancelled_caught:
            self.record_end(first, None)
        await self._decided.wait()
        result = self._result
        if result is None:
            detail = "every attempt was cancelled"
            result = expression.Error(errors.fail(errors.ErrorKind.INTERNAL, detail))
        if result.is_error() and self._may_have_run:
            execution = errors.Execution.MAY_HAVE_RUN
            return expression.Error(result.error._replace(execution=execution))
        return result

    def close(self) -> None:
        """Cancel attempts that are running or scheduled, because the call has ended."""
        self._is_closed = True
        for attempt in self._attempts:
            attempt.scope.cancel()


class HedgeScheduler:
    """Starts the second attempts of hedged calls when they are due.

    One task serves all calls of a daemon. A call that gets its response before its
    hedging delay has passed costs one heap entry and no task or timer.
    """

    def __init__(self, tasks: supervision.TaskStarter) -> None:
        self._tasks = tasks
        self._due: list[tuple[float, int, HedgedCall]] = []
        self._counter = itertools.count()
        self._rescheduled = trio.Event()
        self._next_due_at = float("inf")

    def schedule(self, hedged_call: HedgedCall, due_at: float) -> None:
        """Start the second attempt at ``due_at`` unless the call is decided by then."""
        heapq.heappush(self._due, (due_at, next(self._counter), hedged_call))
        if due_at < self._next_due_at:
            self._rescheduled.set()

    async def run(self) -> None:
        """Start second attempts when they are due, until cancelled."""
        while True:
            self._start_due(trio.current_time())
            self._next_due_at = self._due[0][0] if self._due else float("inf")
            self._rescheduled = trio.Event()
            with trio.move_on_at(self._next_due_at):
                await self._rescheduled.wait()

    def _start_due(self, now: float) -> None:
        while self._due and (self._due[0][0] <= now or not self._due[0][2].is_open):
            hedged_call = heapq.heappop(self._due)[2]
            if hedged_call.is_open:
                self._tasks.start_soon(hedged_call.run_hedge)


class _HedgedSink(_sinks.ForwardingSink):
    """Sink of one attempt that forwards the response only if the attempt wins."""

    def __init__(
        self, hedged_call: HedgedCall, attempt: HedgedAttempt, sink: _call.ResponseSink
    ) -> None:
        super().__init__(sink)
        self._hedged_call = hedged_call
        self._attempt = attempt

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Forward the head; raises ``SinkLostError`` if another attempt has won."""
        if not self._hedged_call.claim_response(self._attempt):
            raise _call.SinkLostError("another attempt returned a response first")
        await self._sink.start(head, report)


def _may_have_run(result: _endpoint.CallResult) -> bool:
    if result.is_ok():
        return True
    return result.error.execution is not errors.Execution.NOT_RUN
