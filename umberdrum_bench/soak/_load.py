"""Load generator of a soak; its callers reuse connections while their daemon runs."""

import hashlib
from collections.abc import Sequence

import trio

from umberdrum_bench import caller, checker
from umberdrum_bench.soak import (
    _checker,
    _documents,
    _environment,
    _processor,
    _requests,
)

CALL_TIMEOUT_SECONDS = 20.0
MS_PER_SECOND = 1000.0
EARLY_DISCONNECT_SHARE = 0.03
EARLY_DISCONNECT_SECONDS = 0.02
LAG_PERIOD_SECONDS = 0.02
LAG_WINDOW_SECONDS = 5.0


class SoakLoad:
    """Sends open-loop calls to random daemons, regardless of their state."""

    def __init__(self, environment: _environment.SoakEnvironment) -> None:
        self._environment = environment
        self._rng = environment.rng
        self._pool = caller.CallerPool()
        self._requests = _requests.RequestSource(
            environment.options.seed, _documents.CLASS_PLANS
        )
        self._lags: list[tuple[float, float]] = []
        self.calls: list[_checker.SoakCall] = []

    async def send(self, seconds: float) -> None:
        """Send calls of all classes for ``seconds`` and wait until all have ended."""
        end_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for plan in _documents.CLASS_PLANS:
                nursery.start_soon(self._send_class, plan, end_at)

    async def measure_timer_lag(self) -> None:
        """Measure how late the timers of this process fire, until cancelled."""
        while True:
            due_at = trio.current_time() + LAG_PERIOD_SECONDS
            await trio.sleep_until(due_at)
            now = trio.current_time()
            self._lags.append((now, now - due_at))

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def _send_class(self, plan: _documents.ClassPlan, end_at: float) -> None:
        next_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while next_at < end_at:
                await trio.sleep_until(next_at)
                nursery.start_soon(self._send_calls, plan)
                next_at += self._rng.expovariate(plan.calls_per_second)

    async def _send_calls(self, plan: _documents.ClassPlan) -> None:
        """Send a call, and those that follow it on its connection."""
        drawn = self._requests.draw_pipeline(plan)
        requests = [request for _, request in drawn]
        entry = self._rng.choice(self._environment.cluster.endpoints)
        has_disconnected = self._rng.random() < EARLY_DISCONNECT_SHARE
        timeout = EARLY_DISCONNECT_SECONDS if has_disconnected else CALL_TIMEOUT_SECONDS
        wait_before = self._read_wait(entry.position)
        began_at = trio.current_time()
        answers = await self._pool.call_pipelined(entry.caller, requests, timeout)
        now = trio.current_time()
        starved_seconds = _processor.count_starved_seconds(
            wait_before, self._read_wait(entry.position)
        )
        ends = list_ends(answers, now)
        deadline_ms = 0.0
        for index, (row, request) in enumerate(drawn):
            # Its answer has to wait for those of the calls before it.
            deadline_ms = max(deadline_ms, request.deadline_ms)
            record = checker.CallRecord(
                row.name,
                request.nonce,
                row.is_idempotent,
                hashlib.sha256(request.body).hexdigest(),
                answers[index],
                False,
            )
            self.calls.append(
                _checker.SoakCall(
                    record,
                    entry.position,
                    began_at,
                    ends[index],
                    deadline_ms / MS_PER_SECOND,
                    has_disconnected,
                    self._get_max_lag(now),
                    starved_seconds,
                    index > 0,
                )
            )

    def _read_wait(self, position: int) -> _processor.ProcessorWait:
        """Return how long the daemon that runs now has waited for a processor."""
        process = self._environment.cluster.endpoints[position].daemon_process
        return _processor.read_wait(process.pid)

    def _get_max_lag(self, now: float) -> float:
        """Return the largest timer lag in the ``LAG_WINDOW_SECONDS`` before ``now``."""
        max_lag = 0.0
        for at, seconds in reversed(self._lags):
            if at < now - LAG_WINDOW_SECONDS:
                break
            max_lag = max(max_lag, seconds)
        return max_lag


def list_ends(answers: Sequence[caller.CallerAnswer], now: float) -> list[float]:
    """Return when the calls of a connection ended, of which the last one ended now.

    They count from the end, since a call that is cut off may not seem to have ended
    before the fault that did it.

    Example: calls that took 0.4 and 1.0 s ended at 10.9 and 11.5 s, if it is 11.5 s.
    """
    return [now - (answers[-1].seconds - answer.seconds) for answer in answers]
