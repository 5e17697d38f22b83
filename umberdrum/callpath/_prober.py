"""Probes that measure the current pace of the upstream."""

from collections.abc import Callable

import trio

from umberdrum import admission, logs, measuring, sockets
from umberdrum.callpath import (
    _cold_start,
    _dialect,
    _headers,
    _upstream,
    _upstream_load,
)

PROBE_BYTES = 300
PROBE_TIMEOUT_SECONDS = 0.05
PROBE_INTERVAL_SECONDS = 0.02

HealthPathSource = Callable[[str], str]


class UpstreamProber:
    """Keeps the pace that the admission gate knows up to date while calls arrive.

    Responses to calls report the pace at no extra cost. A probe is sent only when a
    call is about to be admitted on a stale pace. Probes run one at a time and within
    the measuring budget. While calls wait for the end of a slow episode, probes are
    repeated. ``get_path`` returns the path on which upstreams of a service answer
    probes, empty while it is unknown.
    """

    def __init__(
        self,
        pool: _upstream.UpstreamPool,
        gate: admission.Gate,
        budget: measuring.MeasuringBudget,
        dialect: _dialect.Dialect,
        get_path: HealthPathSource,
        log: logs.EventLog,
        cold_start: _cold_start.ColdStart | None = None,
    ) -> None:
        self._cold_start = cold_start
        self._cold_field = dialect.cold_ms
        self._pool = pool
        self._gate = gate
        self._budget = budget
        self._load_field = dialect.load_report
        self._get_path = get_path
        self.service = ""
        self._log = log
        self._probe_done: trio.Event | None = None
        self._wake = trio.Event()
        self.n_probes = 0
        self.n_failed = 0

    def wake(self) -> None:
        """Start repeated probes, which end when no call waits for a slow upstream."""
        self._wake.set()

    async def run(self) -> None:
        """Probe repeatedly whenever ``wake`` was called, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while True:
                await trio.sleep(PROBE_INTERVAL_SECONDS)
                if not (self._gate.n_queued and self._gate.is_slowed()):
                    break
                await self.refresh()

    async def refresh(self) -> None:
        """Refresh a stale pace with a probe; returns at the latest at its timeout."""
        if not self._load_field or self._gate.has_fresh_pace():
            return
        if self._gate.rate_limiter.is_limited:
            # A probe would be one more request to an upstream in need.
            return
        path = self._get_path(self.service)
        if not path:
            return
        if self._probe_done is not None:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                await self._probe_done.wait()
            return
        use = measuring.MeasuringUse.PROBE
        if not self._budget.spend(use, PROBE_BYTES, trio.current_time()):
            return
        self._probe_done = trio.Event()
        try:
            await self._probe(path)
        finally:
            self._probe_done.set()
            self._probe_done = None

    async def _probe(self, path: str) -> None:
        self.n_probes += 1
        upstream: _upstream.UpstreamConnection | None = None
        is_clean = False
        try:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                upstream = await self._pool.acquire()
                head = await upstream.fetch_head(path)
                is_clean = True
                self._update_gate(head.headers)
        except (_upstream.UpstreamFailureError, sockets.ConnectionLostError) as fault:
            self._log.write("probe_failed", reason=str(fault))
        finally:
            if not is_clean:
                self.n_failed += 1
            if upstream is not None:
                self._pool.release(upstream, is_clean)

    def _update_gate(self, headers: _headers.HeaderFields) -> None:
        self._update_cold_start(headers)
        value = _headers.get_header(headers, self._load_field)
        load = _upstream_load.parse_upstream_load(value) if value else None
        if load is not None:
            now = trio.current_time()
            self._gate.update_pace(load.pace, now)
            self._gate.update_upstream_running(load.n_running, now)

    def _update_cold_start(self, headers: _headers.HeaderFields) -> None:
        if self._cold_start is None or not self._cold_field:
            return
        value = _headers.get_header(headers, self._cold_field)
        if value is None:
            # Some upstreams tell only in their announcements how long they stay cold.
            return
        seconds = _cold_start.parse_cold_ms(value)
        self._cold_start.update(self.service, seconds, trio.current_time())
