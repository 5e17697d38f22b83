"""Aggregate that holds what became of each non-idempotent request of one endpoint."""

import collections
import enum
from typing import NamedTuple

import expression
import trio

from umberdrum import errors

RETENTION_SECONDS = 900.0
MAX_REQUESTS = 100_000
MAX_STORED_BODY_BYTES = 16_384
MAX_KEPT_BYTES = 8 << 20


class RequestState(enum.Enum):
    """Life of one request id; ``BARRED``, ``NOT_RUN`` and ``DONE`` are final."""

    WAITING = "waiting"
    BEGUN = "begun"
    DONE = "done"
    MAY_HAVE_RUN = "may-have-run"
    NOT_RUN = "not-run"
    BARRED = "barred"


class StoredResponse(NamedTuple):
    """Whole answer of an upstream, kept in case its delivery fails."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class OutcomeReport(NamedTuple):
    """What the record says of a request id; ``answer`` is set when it is still kept."""

    execution: errors.Execution
    is_running: bool
    response: StoredResponse | None


class _Entry:
    """State of one request id, with the event that is set when it becomes final."""

    __slots__ = ("changed_at", "finished", "response", "state")

    def __init__(self, state: RequestState, now: float) -> None:
        self.state = state
        self.changed_at = now
        self.response: StoredResponse | None = None
        self.finished = trio.Event()


_EXECUTIONS = {
    RequestState.WAITING: errors.Execution.NOT_RUN,
    RequestState.BEGUN: errors.Execution.MAY_HAVE_RUN,
    RequestState.DONE: errors.Execution.RAN,
    RequestState.MAY_HAVE_RUN: errors.Execution.MAY_HAVE_RUN,
    RequestState.NOT_RUN: errors.Execution.NOT_RUN,
    RequestState.BARRED: errors.Execution.NOT_RUN,
}


class OutcomeRecord:
    """Record of the non-idempotent requests of one incarnation of one endpoint.

    A request id is admitted once. A query for an id that has not begun bars it, so that
    "not run" stays true when the request arrives late. When the record is full new
    requests are refused, because forgetting an id early could run it twice. It never
    answers for another incarnation.

    Times are seconds of a monotonic clock, passed in by the caller.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._entries: collections.OrderedDict[str, _Entry] = collections.OrderedDict()
        self._max_requests = max_requests
        self._n_kept_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def admit(
        self, request_id: str, now: float
    ) -> expression.Result[None, errors.Failure]:
        """Enter ``request_id`` as waiting, or say why it must not run here.

        An id that was proven not run may be admitted again; a barred one may not.
        """
        self._forget_old(now)
        held = self._entries.get(request_id)
        if held is not None and held.state is not RequestState.NOT_RUN:
            return expression.Error(_explain_held(request_id, held))
        if held is None and len(self._entries) >= self._max_requests:
            detail = f"record holds {len(self._entries)} of {self._max_requests} ids"
            return expression.Error(errors.fail(errors.ErrorKind.RECORD_FULL, detail))
        self._entries[request_id] = _Entry(RequestState.WAITING, now)
        self._entries.move_to_end(request_id)
        return expression.Ok(None)

    def begin(
        self, request_id: str, now: float
    ) -> expression.Result[None, errors.Failure]:
        """Mark a waiting request as begun just before its first byte is sent."""
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not RequestState.WAITING:
            detail = f"request {request_id} was barred before it began"
            return expression.Error(
                errors.fail(errors.ErrorKind.REQUEST_BARRED, detail)
            )
        self._change(entry, RequestState.BEGUN, now)
        return expression.Ok(None)

    def finish(
        self, request_id: str, answer: StoredResponse | None, now: float
    ) -> None:
        """Mark a begun request as done and keep its answer where there is room."""
        entry = self._entries[request_id]
        self._change(entry, RequestState.DONE, now)
        if answer is not None and len(answer.body) <= MAX_STORED_BODY_BYTES:
            entry.response = answer
            self._n_kept_bytes += len(answer.body)
            self._drop_answers_over_bound()
        entry.finished.set()

    def fail(self, request_id: str, execution: errors.Execution, now: float) -> None:
        """Mark a request as ended without a whole answer."""
        entry = self._entries[request_id]
        if entry.state is RequestState.BARRED:
            return
        state = RequestState.MAY_HAVE_RUN
        if execution is errors.Execution.NOT_RUN:
            state = RequestState.NOT_RUN
        self._change(entry, state, now)
        entry.finished.set()

    async def query(
        self, request_id: str, wait_seconds: float, now: float
    ) -> OutcomeReport:
        """Return what became of ``request_id``; bar it if it has not begun.

        A request in progress is waited for, at most ``wait_seconds``.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            entry = _Entry(RequestState.BARRED, now)
            self._entries[request_id] = entry
        if entry.state in (RequestState.WAITING, RequestState.NOT_RUN):
            self._change(entry, RequestState.BARRED, now)
        if entry.state is RequestState.BEGUN:
            with trio.move_on_after(wait_seconds):
                await entry.finished.wait()
        return OutcomeReport(
            _EXECUTIONS[entry.state],
            entry.state is RequestState.BEGUN,
            entry.response,
        )

    def _change(self, entry: _Entry, state: RequestState, now: float) -> None:
        entry.state = state
        entry.changed_at = now

    def _drop_answers_over_bound(self) -> None:
        for entry in self._entries.values():
            if self._n_kept_bytes <= MAX_KEPT_BYTES:
                return
            if entry.response is None:
                continue
            self._n_kept_bytes -= len(entry.response.body)
            entry.response = None

    def _forget_old(self, now: float) -> None:
        """Forget final entries older than the retention, oldest first."""
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.state in (RequestState.WAITING, RequestState.BEGUN):
                return
            if now - entry.changed_at < RETENTION_SECONDS:
                return
            if entry.response is not None:
                self._n_kept_bytes -= len(entry.response.body)
            del self._entries[request_id]


def _explain_held(request_id: str, entry: _Entry) -> errors.Failure:
    if entry.state is RequestState.BARRED:
        detail = f"request {request_id} was barred by an outcome query"
        return errors.fail(errors.ErrorKind.REQUEST_BARRED, detail)
    detail = f"request {request_id} is already {entry.state.value} at this endpoint"
    execution = _EXECUTIONS[entry.state]
    if entry.state is RequestState.WAITING:
        execution = errors.Execution.MAY_HAVE_RUN
    return errors.fail(errors.ErrorKind.DUPLICATE_REQUEST, detail, execution)
