"""Outcome record of the non-idempotent requests at one endpoint."""

import collections
import enum
from typing import NamedTuple

import expression
import trio

from umberdrum import errors

RETENTION_SECONDS = 900.0
MAX_REQUESTS = 100_000
MAX_STORED_BODY_BYTES = 16_384
MAX_TOTAL_STORED_BYTES = 8 << 20


class RequestState(enum.Enum):
    """State of one request id. Only ``WAITING`` and ``BEGUN`` requests have not ended.

    A ``WAITING`` request has been admitted, and nothing of it has been sent to the
    upstream. A ``BEGUN`` request is in progress there. A request that is ``BARRED``
    must never run at this endpoint, because an outcome query has already reported it as
    not run.
    """

    WAITING = "waiting"
    BEGUN = "begun"
    DONE = "done"
    MAY_HAVE_RUN = "may-have-run"
    NOT_RUN = "not-run"
    BARRED = "barred"


class StoredResponse(NamedTuple):
    """Complete response of an upstream, stored in case its delivery fails."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class OutcomeReport(NamedTuple):
    """Outcome of a request id, with the response if it is still stored.

    ``is_running`` is set if the request has begun and not ended.
    """

    execution: errors.Execution
    is_running: bool
    response: StoredResponse | None


class _Entry:
    """State of one request id. ``finished`` is set when the request ends."""

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

    A request id is admitted only once, unless its request is known not to have run. An
    outcome query bars an id whose request has not begun or is known not to have run, so
    that the reported "not run" stays true if the request arrives later. A full record
    refuses new requests, because removing an id early could let its request run twice.
    The record doesn't cover other incarnations of the endpoint.

    Times are seconds of a monotonic clock and are passed in by the caller.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._entries: collections.OrderedDict[str, _Entry] = collections.OrderedDict()
        self._max_requests = max_requests
        self._n_stored_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def admit(
        self, request_id: str, now: float
    ) -> expression.Result[None, errors.Failure]:
        """Add ``request_id`` as waiting, or return why it must not run here.

        An id whose request is known not to have run may be admitted again. A barred id
        may not.
        """
        self._remove_expired(now)
        entry = self._entries.get(request_id)
        if entry is not None and entry.state is not RequestState.NOT_RUN:
            return expression.Error(_explain_refusal(request_id, entry))
        if entry is None and len(self._entries) >= self._max_requests:
            detail = f"record holds {len(self._entries)} of {self._max_requests} ids"
            return expression.Error(errors.fail(errors.ErrorKind.RECORD_FULL, detail))
        self._entries[request_id] = _Entry(RequestState.WAITING, now)
        self._entries.move_to_end(request_id)
        return expression.Ok(None)

    def begin(
        self, request_id: str, now: float
    ) -> expression.Result[None, errors.Failure]:
        """Mark a waiting request as begun, just before its first byte is sent.

        Fails if the request was barred in the meantime.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not RequestState.WAITING:
            detail = f"request {request_id} was barred before it began"
            return expression.Error(
                errors.fail(errors.ErrorKind.REQUEST_BARRED, detail)
            )
        self._set_state(entry, RequestState.BEGUN, now)
        return expression.Ok(None)

    def finish(
        self, request_id: str, response: StoredResponse | None, now: float
    ) -> None:
        """Mark a begun request as done and store its response if it is small enough."""
        entry = self._entries[request_id]
        self._set_state(entry, RequestState.DONE, now)
        if response is not None and len(response.body) <= MAX_STORED_BODY_BYTES:
            entry.response = response
            self._n_stored_bytes += len(response.body)
            self._evict_oldest_responses()
        entry.finished.set()

    def fail(self, request_id: str, execution: errors.Execution, now: float) -> None:
        """Mark a request as ended without a complete response.

        A barred request stays barred.
        """
        entry = self._entries[request_id]
        if entry.state is RequestState.BARRED:
            return
        state = RequestState.MAY_HAVE_RUN
        if execution is errors.Execution.NOT_RUN:
            state = RequestState.NOT_RUN
        self._set_state(entry, state, now)
        entry.finished.set()

    async def query(
        self, request_id: str, wait_seconds: float, now: float
    ) -> OutcomeReport:
        """Return the outcome of ``request_id``.

        If the request has begun and not ended, wait for its end for up to
        ``wait_seconds``. If it has not begun or is known not to have run, also after
        that wait, bar the id.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            entry = _Entry(RequestState.BARRED, now)
            self._entries[request_id] = entry
        if entry.state is RequestState.BEGUN:
            with trio.move_on_after(wait_seconds):
                await entry.finished.wait()
            # An id whose request ended as not run may have been admitted again.
            entry = self._entries.get(request_id, entry)
        if entry.state in (RequestState.WAITING, RequestState.NOT_RUN):
            self._set_state(entry, RequestState.BARRED, now)
        return OutcomeReport(
            _EXECUTIONS[entry.state],
            entry.state is RequestState.BEGUN,
            entry.response,
        )

    def _set_state(self, entry: _Entry, state: RequestState, now: float) -> None:
        entry.state = state
        entry.changed_at = now

    def _evict_oldest_responses(self) -> None:
        for entry in self._entries.values():
            if self._n_stored_bytes <= MAX_TOTAL_STORED_BYTES:
                return
            if entry.response is None:
                continue
            self._n_stored_bytes -= len(entry.response.body)
            entry.response = None

    def _remove_expired(self, now: float) -> None:
        """Remove entries older than ``RETENTION_SECONDS``, oldest first.

        Stops at the first entry that is younger or has not ended.
        """
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.state in (RequestState.WAITING, RequestState.BEGUN):
                return
            if now - entry.changed_at < RETENTION_SECONDS:
                return
            if entry.response is not None:
                self._n_stored_bytes -= len(entry.response.body)
            del self._entries[request_id]


def _explain_refusal(request_id: str, entry: _Entry) -> errors.Failure:
    if entry.state is RequestState.BARRED:
        detail = f"request {request_id} was barred by an outcome query"
        return errors.fail(errors.ErrorKind.REQUEST_BARRED, detail)
    detail = f"request {request_id} is already {entry.state.value} at this endpoint"
    execution = _EXECUTIONS[entry.state]
    if entry.state is RequestState.WAITING:
        execution = errors.Execution.MAY_HAVE_RUN
    return errors.fail(errors.ErrorKind.DUPLICATE_REQUEST, detail, execution)
