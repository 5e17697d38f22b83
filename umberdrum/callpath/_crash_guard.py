"""Recognises requests under which the upstream ends, and refuses them."""

import secrets
from collections.abc import Callable
from typing import NamedTuple

import expression
import trio

from umberdrum import crashes, errors, logs, sockets
from umberdrum.callpath import _call, _dialect, _headers, _upstream

N_CONFIRMATIONS = 2
CONFIRMATION_SECONDS = 0.02
CONNECT_TIMEOUT_SECONDS = 0.1
TURN_RETRY_MS = 100
PROCESS_TOKEN_BYTES = 8
MS_PER_SECOND = 1000.0
MAX_BREAKS = 256
# An upstream that has crashed is started again, and announces itself, within seconds.
CONFIRM_SECONDS = 10.0

MarksListener = Callable[[list[crashes.CrashMark]], None]


class _Break(NamedTuple):
    """Broken connection of a call to a run that still seemed to accept others."""

    call: _call.Call
    run: str
    broke_at: float


class CrashGuard:
    """Refuses requests under which upstreams have ended, and marks new ones.

    An upstream that has ended refuses connections; one whose connections were cut
    accepts new ones. Only calls that were running when it ended are marked.

    Where another program holds the port of the upstream, it accepts connections also
    after the upstream's end. A cut is then taken for an end late, when another run of
    the upstream is announced within ``CONFIRM_SECONDS``, and if the run before has
    answered nothing since the cut. A machine that has lost power answers no connection
    at all, and takes its daemon with it; nothing is marked then.

    ``on_marks`` is called with marks that other daemons don't know yet.
    """

    def __init__(
        self,
        registry: crashes.CrashRegistry,
        pool: _upstream.UpstreamPool,
        dialect: _dialect.Dialect,
        log: logs.EventLog,
    ) -> None:
        self.registry = registry
        self._pool = pool
        self._dialect = dialect
        self._log = log
        self._turns = crashes.SuspectTurns()
        self._process_token = secrets.token_hex(PROCESS_TOKEN_BYTES)
        self._check_done: trio.Event | None = None
        self._has_ended: bool | None = None
        self.on_marks: MarksListener | None = None
        self._breaks: list[_Break] = []
        self.n_crashes = 0
        self.n_refused = 0

    @property
    def has_suspects(self) -> bool:
        """Whether any request is remembered that was running as an upstream ended."""
        return len(self.registry) > 0

    def identify(self, call: _call.Call, body: _call.RequestBody) -> _call.Call:
        """Return the call with its fingerprint, unless its body is not complete."""
        if call.fingerprint or not body.is_complete:
            return call
        parts = [call.method, call.target]
        names = [b"host", b"authorization", self._dialect.caller_service]
        if call.account:
            names.append(self._dialect.account)
        for name in names:
            parts.append(_headers.get_header(call.headers, name) or b"")
        parts.append(body.initial)
        return call._replace(fingerprint=crashes.compute_fingerprint(parts))

    def find_refusal(self, call: _call.Call) -> errors.Failure | None:
        """Return the failure for a request that is taken for the cause of crashes."""
        now = trio.current_time()
        if not self.registry.must_refuse(call.fingerprint, now):
            return None
        self.n_refused += 1
        n_crashes = self.registry.count_crashes(call.fingerprint, now)
        seconds = self.registry.get_seconds_to_expiry(call.fingerprint, now)
        return errors.Failure(
            errors.ErrorKind.REQUEST_CRASHES_UPSTREAMS,
            errors.Execution.NOT_RUN,
            f"{n_crashes} upstreams have ended while they ran this request",
            int(seconds * MS_PER_SECOND),
        )

    async def enter(self, call: _call.Call) -> expression.Result[bool, errors.Failure]:
        """Return whether the call holds the turn of a suspect, or why it is refused.

        A suspect waits while another one runs, at the last endpoint that is left to
        try. Elsewhere it is refused at once. ``leave`` gives the turn back.
        """
        if not self.registry.is_suspect(call.fingerprint, trio.current_time()):
            return expression.Ok(False)
        may_run = self._turns.is_free(call.fingerprint)
        if not may_run and call.is_last_resort:
            may_run = await self._turns.wait(call.fingerprint, call.deadline)
        refusal = self.find_refusal(call)
        if refusal is not None:
            return expression.Error(refusal)
        if may_run:
            self._turns.begin(call.fingerprint)
            return expression.Ok(True)
        return expression.Error(
            errors.Failure(
                errors.ErrorKind.OVERLOADED,
                errors.Execution.NOT_RUN,
                "another request under which an upstream has ended is running",
                TURN_RETRY_MS,
            )
        )

    def leave(self) -> None:
        """Give back the turn of a suspect that has run."""
        self._turns.end()

    def record_answer(self, call: _call.Call) -> None:
        """Clear a request that the upstream has answered; its run hasn't ended."""
        self._breaks.clear()
        if not call.fingerprint:
            return
        now = trio.current_time()
        self._publish(self.registry.record_answer(call.fingerprint, now))

    async def record_break(self, call: _call.Call, run_id: str) -> None:
        """Mark a call whose connection broke, if the upstream has ended.

        ``run_id`` identifies the run of the upstream; it is empty if that is not known.
        """
        if not call.fingerprint:
            return
        with trio.CancelScope(shield=True):
            has_ended = await self._check_upstream()
        if has_ended:
            self._mark(call, run_id or f"{self._process_token}/{self.n_crashes}")
        elif run_id and len(self._breaks) < MAX_BREAKS:
            self._breaks.append(_Break(call, run_id, trio.current_time()))

    def confirm_breaks(self, run_id: str) -> None:
        """Mark what broke shortly before another run is announced, named ``run_id``."""
        breaks, self._breaks = self._breaks, []
        now = trio.current_time()
        ended_runs: set[str] = set()
        for row in breaks:
            if row.run == run_id:
                self._breaks.append(row)
                continue
            if now - row.broke_at <= CONFIRM_SECONDS:
                ended_runs.add(row.run)
                self._mark(row.call, row.run)
        self.n_crashes += len(ended_runs)

    def _mark(self, call: _call.Call, run: str) -> None:
        now = trio.current_time()
        marks = self.registry.add_crash(call.fingerprint, run, now)
        if not marks:
            return
        self._log.warn(
            "upstream_crashed",
            request=call.request_id,
            fingerprint=call.fingerprint.hex(),
            run=run,
            crashes=self.registry.count_crashes(call.fingerprint, now),
        )
        self._publish(marks)

    def _publish(self, marks: list[crashes.CrashMark]) -> None:
        if marks and self.on_marks is not None:
            self.on_marks(marks)

    async def _check_upstream(self) -> bool:
        """Return whether the upstream has ended; calls that break together share it."""
        while self._check_done is not None:
            await self._check_done.wait()
            if self._has_ended is not None:
                return self._has_ended
        self._check_done = trio.Event()
        self._has_ended = None
        try:
            self._has_ended = await self._refuses_connections()
        finally:
            self._check_done.set()
            self._check_done = None
        if self._has_ended:
            self.n_crashes += 1
        return self._has_ended

    async def _refuses_connections(self) -> bool:
        """Return whether the upstream refuses connections.

        One answer could come from a listener that is just being closed, or opened by
        the next run. The one that is first given twice decides.
        """
        address = self._pool.address
        if address is None:
            return False
        n_refused = 0
        n_accepted = 0
        while True:
            try:
                connection = await sockets.connect(address, CONNECT_TIMEOUT_SECONDS)
            except sockets.PeerRefusedError:
                n_refused += 1
            except sockets.ConnectionLostError:
                return False
            else:
                n_accepted += 1
                connection.close()
            if N_CONFIRMATIONS in (n_refused, n_accepted):
                return n_refused > n_accepted
            await trio.sleep(CONFIRMATION_SECONDS)
