"""Replay of load patterns on a gate, with a model of an upstream and its callers."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

import trio
import trio.testing
from trio._core import _run as trio_run

from umberdrum import admission

N_SLOTS = 6
WORK_SECONDS = 0.06
WORK_SPREAD = 0.3
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
TARGET_SECONDS = 0.2
DEADLINE_SECONDS = 0.5
LATE_CREDIT = 0.1
MAX_RETURN_SHARE = 1 / 3
PACE_STEP_SECONDS = 0.005
WINDOW_SECONDS = 2


GateBuilder = Callable[[], admission.Gate]


class Pattern(NamedTuple):
    """Arrivals of calls and the behaviour of the neighbours of the upstream.

    From ``burst_from`` on, for ``burst_seconds``, ``burst_per_second`` calls arrive in
    place of ``per_second``. Neighbours slow the upstream ``slow_factor`` times during
    ``slow_share`` of the time, in episodes of ``slow_seconds`` on average. Upstreams
    that have just started are ``cold_factor`` times slower for ``cold_seconds``. Calls
    take ``work_seconds`` at the usual pace.
    """

    per_second: float
    seconds: float = 20.0
    burst_per_second: float = 0.0
    burst_from: float = 0.0
    burst_seconds: float = 0.0
    slow_share: float = 0.0
    slow_factor: float = 1.0
    slow_seconds: float = 0.15
    has_knee: bool = True
    n_upstreams: int = 1
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    work_seconds: float = WORK_SECONDS


class Outcome(NamedTuple):
    """What callers got: shares of calls, and the credit of the worst two seconds."""

    in_time: float
    served: float
    credit: float
    worst_window: float


PATTERNS = {
    "usual load": Pattern(35.0),
    "burst of 2.5 times the load": Pattern(
        35.0, burst_per_second=88.0, burst_from=8.0, burst_seconds=5.0
    ),
    "lasting load of 1.3 times what can be served": Pattern(87.0),
    "slow episodes of neighbours": Pattern(
        25.0, slow_share=0.25, slow_factor=5.0, slow_seconds=0.15
    ),
    "load between knee and all slots": Pattern(58.0),
    "all slots useful": Pattern(80.0, has_knee=False),
    "all upstreams have just started": Pattern(
        130.0,
        seconds=5.0,
        slow_share=0.25,
        slow_factor=5.0,
        n_upstreams=4,
        cold_seconds=4.0,
        cold_factor=2.0,
    ),
    "started upstreams and work that just fits": Pattern(
        100.0,
        seconds=5.0,
        slow_share=0.25,
        slow_factor=5.0,
        n_upstreams=4,
        cold_seconds=4.0,
        cold_factor=2.0,
        work_seconds=0.075,
    ),
}


class _Upstream:
    """One upstream with its gate, in a slow episode or not."""

    def __init__(
        self, gate: admission.Gate, pattern: Pattern, rng: random.Random
    ) -> None:
        self.gate = gate
        self._pattern = pattern
        self._rng = rng
        self._began_at = trio.current_time()
        self._episode_pace = 1.0
        self._n_running = 0

    @property
    def _pace(self) -> float:
        age = trio.current_time() - self._began_at
        is_cold = age < self._pattern.cold_seconds
        return self._episode_pace * (self._pattern.cold_factor if is_cold else 1.0)

    async def change_pace(self) -> None:
        """Begin and end slow episodes for ever."""
        pattern = self._pattern
        while pattern.slow_share:
            usual = pattern.slow_seconds * (1 - pattern.slow_share) / pattern.slow_share
            await trio.sleep(self._rng.expovariate(1 / usual))
            self._episode_pace = pattern.slow_factor
            await trio.sleep(self._rng.expovariate(1 / pattern.slow_seconds))
            self._episode_pace = 1.0

    def state_pace(self) -> None:
        """Tell the gate how long work takes now, as answers and probes do."""
        self.gate.update_pace(self._pace, trio.current_time())

    async def work(self, ticket: admission.SlotTicket) -> None:
        """Run one call to its end, at the pace of its beginning."""
        self._n_running += 1
        is_over_knee = self._n_running > N_SLOTS * KNEE_SHARE
        is_done = False
        try:
            seconds = self._pattern.work_seconds * self._pace
            seconds *= math.exp(self._rng.gauss(0.0, WORK_SPREAD))
            if self._pattern.has_knee and is_over_knee:
                seconds *= KNEE_FACTOR
            step_until = trio.current_time() + seconds
            while trio.current_time() < step_until:
                left = step_until - trio.current_time()
                await trio.sleep(min(left, PACE_STEP_SECONDS * 4))
                self.state_pace()
            is_done = True
        finally:
            self._n_running -= 1
            self.gate.release(ticket, is_observed=is_done)


class _Replay:
    """One run: callers, gates and upstreams on a virtual clock."""

    def __init__(self, build: GateBuilder, pattern: Pattern, seed: int) -> None:
        self._build = build
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._upstreams: list[_Upstream] = []
        self._credits: list[tuple[float, float]] = []
        self._n_in_time = 0

    async def run(self) -> Outcome:
        """Play the pattern to its end."""
        for _ in range(self._pattern.n_upstreams):
            upstream = _Upstream(self._build(), self._pattern, self._rng)
            self._upstreams.append(upstream)
        async with trio.open_nursery() as nursery:
            for upstream in self._upstreams:
                nursery.start_soon(upstream.change_pace)
            async with trio.open_nursery() as callers:
                until = trio.current_time() + self._pattern.seconds
                while trio.current_time() < until:
                    await trio.sleep(self._rng.expovariate(self._get_rate()))
                    callers.start_soon(self._call)
            nursery.cancel_scope.cancel()
        n_calls = len(self._credits)
        n_served = sum(1 for _, credit in self._credits if credit > 0)
        credit = sum(credit for _, credit in self._credits)
        return Outcome(
            self._n_in_time / n_calls,
            n_served / n_calls,
            credit / n_calls,
            self._find_worst_window(),
        )

    def _get_rate(self) -> float:
        pattern = self._pattern
        age = trio.current_time() - pattern.burst_from
        is_burst = pattern.burst_seconds and 0 <= age < pattern.burst_seconds
        return pattern.burst_per_second if is_burst else pattern.per_second

    async def _call(self) -> None:
        """One caller: a try, and another one when it is told to come back."""
        began_at = trio.current_time()
        deadline = began_at + DEADLINE_SECONDS
        credit = 0.0
        for is_last in (False, True):
            with trio.move_on_at(deadline):
                retry_after_ms = await self._try_all(began_at, deadline)
                if retry_after_ms is None:
                    credit = LATE_CREDIT
                    if trio.current_time() - began_at <= TARGET_SECONDS:
                        self._n_in_time += 1
                        credit = 1.0
                    break
                if not is_last:
                    left = deadline - trio.current_time()
                    asked = retry_after_ms / 1000
                    await trio.sleep(min(asked, left * MAX_RETURN_SHARE))
        self._credits.append((began_at, credit))

    async def _try_all(self, began_at: float, deadline: float) -> int | None:
        """Try one upstream after the other; return None once the call has run.

        Otherwise the time after which the last one tells the caller to come back.
        """
        order = self._rng.sample(self._upstreams, len(self._upstreams))
        retry_after_ms = 0
        for upstream in order:
            request = admission.AdmissionRequest(
                class_name="look",
                target_latency_ms=int(TARGET_SECONDS * 1000),
                max_queue_ms=int(TARGET_SECONDS * 500),
                deadline=deadline,
                target_at=began_at + TARGET_SECONDS,
                is_last_resort=upstream is order[-1],
            )
            upstream.state_pace()
            acquired = await upstream.gate.acquire(request)
            if acquired.is_ok():
                await upstream.work(acquired.ok)
                return None
            retry_after_ms = acquired.error.retry_after_ms
        return retry_after_ms

    def _find_worst_window(self) -> float:
        by_window: dict[int, list[float]] = {}
        for began_at, credit in self._credits:
            by_window.setdefault(int(began_at / WINDOW_SECONDS), []).append(credit)
        return min(
            sum(row) / len(row) for row in by_window.values() if len(row) >= N_SLOTS
        )


def replay(build: GateBuilder, pattern: Pattern, seed: int) -> Outcome:
    """Return what callers get when ``pattern`` meets gates that ``build`` returns."""
    # Trio has no public way to fix the order in which it runs tasks that are ready; it
    # does the same itself for hypothesis.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_Replay(build, pattern, seed).run, clock=clock)


def build_gate(policy: str) -> admission.Gate:
    """Return a gate with a policy: one of the settings, or a part taken back."""
    limit = admission.KneeSlotLimit(N_SLOTS)
    if policy == "target":
        return admission.TargetGate(limit)
    if policy == "target without steady pace":
        tracker = admission.PaceTracker(admission.ConstantSteadyPace())
        return admission.TargetGate(limit, tracker)
    if policy == "target with a fixed margin":
        return admission.TargetGate(limit, margin=admission.FixedTimeMargin())
    return admission.EarlyRefusalGate(admission.LatencySlotLimit(N_SLOTS))
