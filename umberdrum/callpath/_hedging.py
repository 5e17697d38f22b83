"""Second attempts beside slow first ones; the first to answer wins."""

import heapq
import itertools
from collections.abc import Awaitable, Callable

import expression
import trio

from umberdrum import errors
from umberdrum.callpath import _call, _endpoint, _sinks


class Runner:
    """One attempt that takes part in a race."""

    def __init__(self, race: "Race", sink: _call.ResponseSink) -> None:
        self.scope = trio.CancelScope()
        self.sink = _sinks.CountingSink(_RaceSink(race, self, sink))


class Race:
    """Attempts for one call, of which the first that starts an answer wins.

    The winner's answer goes to the caller and the others are cancelled. When an attempt
    fails, the race goes on as long as another one runs.
    """

    def __init__(
        self,
        sink: _call.ResponseSink,
        start_second: "Callable[[Race], Awaitable[None]]",
    ) -> None:
        self._sink = sink
        self._start_second = start_second
        self._runners: list[Runner] = []
        self._n_running = 0
        self._result: _endpoint.CallResult | None = None
        self._may_have_run = False
        self._is_closed = False
        self._over = trio.Event()
        self.winner: Runner | None = None

    @property
    def is_open(self) -> bool:
        """Whether a second attempt may still help."""
        return not self._is_closed and self.winner is None and self._n_running > 0

    def enter(self) -> Runner:
        """Return a new runner of the race."""
        runner = Runner(self, self._sink)
        self._runners.append(runner)
        self._n_running += 1
        return runner

    def claim(self, runner: Runner) -> bool:
        """Make ``runner`` the winner if none is yet; return whether it is."""
        if self.winner is None:
            self.winner = runner
            for other in self._runners:
                if other is not runner:
                    other.scope.cancel()
        return self.winner is runner

    def leave(self, runner: Runner, result: "_endpoint.CallResult | None") -> None:
        """Note the end of a runner; None stands for one that was cancelled."""
        self._n_running -= 1
        if result is None or _may_have_run(result):
            self._may_have_run = True
        is_decisive = self.winner in (None, runner)
        if result is not None and is_decisive:
            self._result = result
        if self.winner is runner or self._n_running == 0:
            self._over.set()

    async def run_second(self) -> None:
        """Start the second attempt if it may still help."""
        if self.is_open:
            await self._start_second(self)

    async def wait_for_result(self, first: Runner) -> _endpoint.CallResult:
        """Return the result of the winner, or the last failure when none won.

        A failure says "not run" only if no attempt of the race may have run.
        """
        if first.scope.cancelled_caught:
            self.leave(first, None)
        await self._over.wait()
        result = self._result
        if result is None:
            detail = "every attempt was cancelled"
            result = expression.Error(errors.fail(errors.ErrorKind.INTERNAL, detail))
        if result.is_error() and self._may_have_run:
            execution = errors.Execution.MAY_HAVE_RUN
            return expression.Error(result.error._replace(execution=execution))
        return result

    def close(self) -> None:
        """Cancel whatever still runs or is due, because the call has ended."""
        self._is_closed = True
        for runner in self._runners:
            runner.scope.cancel()


class HedgeScheduler:
    """Starts second attempts when they are due.

    One task serves all calls of a daemon. A call that is answered in time costs one
    entry in a heap and no task or timer.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._due: list[tuple[float, int, Race]] = []
        self._counter = itertools.count()
        self._earlier = trio.Event()
        self._next_due_at = float("inf")

    def schedule(self, race: Race, due_at: float) -> None:
        """Start the second attempt of ``race`` at ``due_at`` unless it is over then."""
        heapq.heappush(self._due, (due_at, next(self._counter), race))
        if due_at < self._next_due_at:
            self._earlier.set()

    async def run(self) -> None:
        """Start second attempts for ever."""
        while True:
            self._start_due(trio.current_time())
            self._next_due_at = self._due[0][0] if self._due else float("inf")
            self._earlier = trio.Event()
            with trio.move_on_at(self._next_due_at):
                await self._earlier.wait()

    def _start_due(self, now: float) -> None:
        while self._due and (self._due[0][0] <= now or not self._due[0][2].is_open):
            race = heapq.heappop(self._due)[2]
            if race.is_open:
                self._nursery.start_soon(race.run_second)


class _RaceSink(_sinks.ForwardingSink):
    """Sink of one runner; only the winner's answer passes."""

    def __init__(self, race: Race, runner: Runner, sink: _call.ResponseSink) -> None:
        super().__init__(sink)
        self._race = race
        self._runner = runner

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Claim the race and pass the head on."""
        if not self._race.claim(self._runner):
            raise _call.SinkLostError("another attempt answered first")
        await self._sink.start(head, report)


def _may_have_run(result: _endpoint.CallResult) -> bool:
    if result.is_ok():
        return True
    return result.error.execution is not errors.Execution.NOT_RUN
