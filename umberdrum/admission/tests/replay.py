"""Replay of load patterns on a gate, with a model of an upstream and its callers."""

import math
import random
from typing import NamedTuple

import trio
import trio.testing

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


class Pattern(NamedTuple):
    """Arrivals of calls and the behaviour of the neighbours of the upstream.

    From ``burst_from`` on, for ``burst_seconds``, ``burst_per_second`` calls arrive in
    place of ``per_second``. Neighbours slow the upstream ``slow_factor`` times during
    ``slow_share`` of the time, in episodes of ``slow_seconds`` on average.
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
}


class _Replay:
    """One run: callers, gate and upstream on a virtual clock."""

    def __init__(self, gate: admission.Gate, pattern: Pattern, seed: int) -> None:
        self._gate = gate
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._pace = 1.0
        self._n_running = 0
        self._credits: list[tuple[float, float]] = []
        self._n_in_time = 0

    async def run(self) -> Outcome:
        """Play the pattern to its end."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._change_pace)
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

    async def _change_pace(self) -> None:
        pattern = self._pattern
        while pattern.slow_share:
            usual = pattern.slow_seconds * (1 - pattern.slow_share) / pattern.slow_share
            await trio.sleep(self._rng.expovariate(1 / usual))
            self._pace = pattern.slow_factor
            await trio.sleep(self._rng.expovariate(1 / pattern.slow_seconds))
            self._pace = 1.0

    async def _call(self) -> None:
        """One caller: a try, and another one when it is told to come back."""
        began_at = trio.current_time()
        deadline = began_at + DEADLINE_SECONDS
        credit = 0.0
        for is_last in (False, True):
            request = admission.AdmissionRequest(
                class_name="look",
                target_latency_ms=int(TARGET_SECONDS * 1000),
                max_queue_ms=int(TARGET_SECONDS * 500),
                deadline=deadline,
                target_at=began_at + TARGET_SECONDS,
            )
            self._gate.note_pace(self._pace, trio.current_time())
            with trio.move_on_at(deadline):
                acquired = await self._gate.acquire(request)
                if acquired.is_ok():
                    credit = await self._run(acquired.ok, began_at)
                    break
                if not is_last:
                    left = deadline - trio.current_time()
                    asked = acquired.error.retry_after_ms / 1000
                    await trio.sleep(min(asked, left * MAX_RETURN_SHARE))
        self._credits.append((began_at, credit))

    async def _run(self, ticket: admission.SlotTicket, began_at: float) -> float:
        self._n_running += 1
        is_over_knee = self._n_running > N_SLOTS * KNEE_SHARE
        is_done = False
        try:
            seconds = WORK_SECONDS * self._pace
            seconds *= math.exp(self._rng.gauss(0.0, WORK_SPREAD))
            if self._pattern.has_knee and is_over_knee:
                seconds *= KNEE_FACTOR
            step_until = trio.current_time() + seconds
            while trio.current_time() < step_until:
                left = step_until - trio.current_time()
                await trio.sleep(min(left, PACE_STEP_SECONDS * 4))
                self._gate.note_pace(self._pace, trio.current_time())
            is_done = True
        finally:
            self._n_running -= 1
            self._gate.release(ticket, is_observed=is_done)
        if trio.current_time() - began_at <= TARGET_SECONDS:
            self._n_in_time += 1
            return 1.0
        return LATE_CREDIT

    def _find_worst_window(self) -> float:
        by_window: dict[int, list[float]] = {}
        for began_at, credit in self._credits:
            by_window.setdefault(int(began_at / WINDOW_SECONDS), []).append(credit)
        return min(
            sum(row) / len(row) for row in by_window.values() if len(row) >= N_SLOTS
        )


def replay(gate: admission.Gate, pattern: Pattern, seed: int) -> Outcome:
    """Return what callers get when ``pattern`` meets ``gate``."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_Replay(gate, pattern, seed).run, clock=clock)


def build_gate(policy: str) -> admission.Gate:
    """Return a gate with the policy named as in the settings."""
    if policy == "target":
        return admission.TargetGate(admission.KneeSlotLimit(N_SLOTS))
    return admission.AdmissionGate(admission.LatencySlotLimit(N_SLOTS))
