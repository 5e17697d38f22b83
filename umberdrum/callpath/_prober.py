"""Probes that ask the upstream how long work takes there now."""

from collections.abc import Callable

import trio

from umberdrum import admission, logs, measuring, sockets
from umberdrum.callpath import _dialect, _headers, _upstream, _upstream_load

PROBE_BYTES = 300
PROBE_TIMEOUT_SECONDS = 0.05
RECHECK_SECONDS = 0.02

HealthPathSource = Callable[[str], str]


class UpstreamProber:
    """Keeps the gate's knowledge of the upstream's pace fresh while calls arrive.

    Answers state the pace for free, so a probe goes out only when a call is about to be
    admitted on knowledge that is too old, one at a time and within the measuring
    budget. While calls wait for the end of a slow episode it asks again and again.
    ``get_path`` returns the path that upstreams of a service answer probes on, empty
    while it is not known.
    """

    def __init__(
        self,
        pool: _upstream.UpstreamPool,
        gate: admission.Gate,
        budget: measuring.MeasuringBudget,
        dialect: _dialect.Dialect,
        get_path: HealthPathSource,
        log: logs.EventLog,
    ) -> None:
        self._pool = pool
        self._gate = gate
        self._budget = budget
        self._field = dialect.load_report
        self._get_path = get_path
        self.service = ""
        self._log = log
        self._running: trio.Event | None = None
        self._wake = trio.Event()
        self.n_probes = 0
        self.n_failed = 0

    def wake(self) -> None:
        """Probe repeatedly while calls wait for the end of a slow episode."""
        self._wake.set()

    async def run(self) -> None:
        """Probe for calls that wait, for ever."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while True:
                await trio.sleep(RECHECK_SECONDS)
                if not (self._gate.n_queued and self._gate.is_slowed()):
                    break
                await self.refresh()

    async def refresh(self) -> None:
        """Return once the pace is known, or can't be found out in time."""
        if not self._field or self._gate.has_fresh_pace():
            return
        path = self._get_path(self.service)
        if not path:
            return
        if self._running is not None:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                await self._running.wait()
            return
        use = measuring.MeasuringUse.PROBE
        if not self._budget.spend(use, PROBE_BYTES, trio.current_time()):
            return
        self._running = trio.Event()
        try:
            await self._probe(path)
        finally:
            self._running.set()
            self._running = None

    async def _probe(self, path: str) -> None:
        self.n_probes += 1
        upstream: _upstream.UpstreamConnection | None = None
        is_clean = False
        try:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                upstream = await self._pool.acquire()
                head = await upstream.fetch_head(path)
                is_clean = True
                self._take(head.headers)
        except (_upstream.UpstreamFailureError, sockets.ConnectionLostError) as fault:
            self._log.write("probe_failed", reason=str(fault))
        finally:
            if not is_clean:
                self.n_failed += 1
            if upstream is not None:
                self._pool.release(upstream, is_clean)

    def _take(self, headers: _headers.HeaderFields) -> None:
        value = _headers.get_header(headers, self._field)
        load = _upstream_load.parse_upstream_load(value) if value else None
        if load is not None:
            now = trio.current_time()
            self._gate.update_pace(load.pace, now)
            self._gate.update_upstream_running(load.n_running, now)
