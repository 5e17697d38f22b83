"""Callers of a soak: kept connections, used until the daemon at their end is gone."""

import hashlib

import trio

from umberdrum_bench import caller, verdict
from umberdrum_bench.soak import _judgement, _site

DEADLINE_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 20.0
MS_PER_SECOND = 1000.0
LEAVE_SHARE = 0.03
LEAVE_AFTER_SECONDS = 0.02
LAG_PERIOD_SECONDS = 0.02
LAG_WINDOW_SECONDS = 5.0


class SoakLoad:
    """Sends calls at random moments to random daemons, whatever their state."""

    def __init__(self, site: _site.SoakSite) -> None:
        self._site = site
        self._rng = site.rng
        self._pool = caller.CallerPool()
        self._n_calls = 0
        self._lags: list[tuple[float, float]] = []
        self.calls: list[_judgement.SoakCall] = []

    async def send(self, seconds: float) -> None:
        """Send calls of all classes for a time and wait for their ends."""
        end_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for plan in _site.CLASS_PLANS:
                nursery.start_soon(self._send_class, plan, end_at)

    async def watch_lag(self) -> None:
        """Measure how late this process's own timers are, for ever."""
        while True:
            due_at = trio.current_time() + LAG_PERIOD_SECONDS
            await trio.sleep_until(due_at)
            now = trio.current_time()
            self._lags.append((now, now - due_at))

    def close(self) -> None:
        """Close all kept connections."""
        self._pool.close()

    async def _send_class(self, plan: _site.ClassPlan, end_at: float) -> None:
        next_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while next_at < end_at:
                await trio.sleep_until(next_at)
                nursery.start_soon(self._send_call, plan)
                next_at += self._rng.expovariate(plan.calls_per_second)

    async def _send_call(self, plan: _site.ClassPlan) -> None:
        self._n_calls += 1
        nonce = f"{plan.name}-{self._n_calls}"
        request = caller.CallerRequest(
            plan.service,
            plan.method,
            f"{plan.path}/{self._n_calls}",
            f"soak-{self._rng.getrandbits(64):016x}",
            nonce,
            self._rng.randbytes(plan.n_body_bytes),
            int(DEADLINE_SECONDS * MS_PER_SECOND),
        )
        entry = self._rng.choice(self._site.cluster.endpoints)
        has_left = self._rng.random() < LEAVE_SHARE
        timeout = LEAVE_AFTER_SECONDS if has_left else CALL_TIMEOUT_SECONDS
        began_at = trio.current_time()
        answer = await self._pool.call(entry.caller, request, timeout)
        now = trio.current_time()
        record = verdict.CallRecord(
            plan.name,
            nonce,
            plan.is_idempotent,
            hashlib.sha256(request.body).hexdigest(),
            answer,
            False,
        )
        self.calls.append(
            _judgement.SoakCall(
                record,
                entry.position,
                began_at,
                now,
                DEADLINE_SECONDS,
                has_left,
                self._find_lag(now),
            )
        )

    def _find_lag(self, now: float) -> float:
        """Return by how much timers were late in the time before ``now``."""
        worst = 0.0
        for at, seconds in reversed(self._lags):
            if at < now - LAG_WINDOW_SECONDS:
                break
            worst = max(worst, seconds)
        return worst
