"""Gate in front of the slots of one upstream: slots, queue and early refusal."""

import heapq
import itertools
from typing import NamedTuple, Protocol

import expression
import trio

from umberdrum import errors
from umberdrum.admission import _limit

MAX_QUEUED_PER_SLOT = 8
QUEUE_MARGIN = 0.8
MEAN_WEIGHT = 0.1
LONG_CLASS_RATIO = 4.0
LONG_CLASS_SLOT_SHARE = 0.67
CLASS_ACTIVE_SECONDS = 10.0
MIN_RETRY_AFTER_MS = 50
MS_PER_SECOND = 1000.0


class AdmissionRequest(NamedTuple):
    """What the gate needs to know of a call.

    ``deadline`` is in seconds of the daemon's monotonic clock. ``target_latency_ms``
    orders the queue; ``max_queue_ms`` bounds the wait. ``priority`` is its rank, 0
    first, ``target_at`` the moment at which the target is missed. ``is_last_resort``
    says that no other endpoint is left to try, ``is_hedge`` that another attempt of the
    call is running.
    """

    class_name: str
    target_latency_ms: int
    max_queue_ms: int
    deadline: float
    priority: int = 0
    target_at: float = 0.0
    is_last_resort: bool = True
    is_hedge: bool = False


class SlotTicket(NamedTuple):
    """Right to run one call; given back with ``Gate.release``.

    ``n_running`` counts the calls that ran when it began, itself included, and ``pace``
    is how long work took then, as a multiple of the usual time.
    """

    class_name: str
    began_at: float
    n_running: int = 0
    pace: float = 1.0


class _Waiter:
    """One queued call, woken when it gets a slot or is refused."""

    __slots__ = ("event", "failure", "is_abandoned", "request")

    def __init__(self, request: AdmissionRequest) -> None:
        self.request = request
        self.event = trio.Event()
        self.failure: errors.Failure | None = None
        self.is_abandoned = False


class _ClassState:
    """Running count and service time of one class at this endpoint."""

    __slots__ = ("last_seen_at", "mean_seconds", "n_running", "target_latency_ms")

    def __init__(self, target_latency_ms: int) -> None:
        self.n_running = 0
        self.mean_seconds = 0.0
        self.target_latency_ms = target_latency_ms
        self.last_seen_at = 0.0


class Gate(Protocol):
    """Decides which calls run at an endpoint, and when."""

    slot_limit: _limit.SlotLimit
    n_running: int

    @property
    def n_queued(self) -> int:
        """Calls that wait for a slot."""

    def find_refusal(self, request: AdmissionRequest) -> errors.Failure | None:
        """Return why the call would be refused at once, None if it may run or wait."""

    async def acquire(
        self, request: AdmissionRequest
    ) -> expression.Result[SlotTicket, errors.Failure]:
        """Return a ticket once the call may run, or the reason why it is refused."""

    def release(self, ticket: SlotTicket, is_observed: bool) -> None:
        """Give the slot back; ``is_observed`` says whether its time tells of load."""

    def update_pace(self, pace: float, now: float) -> None:
        """Learn how long work takes at the upstream now, as a multiple of usual."""

    def update_upstream_running(self, n_running: int, now: float) -> None:
        """Take the number of calls that the upstream says it runs now."""

    def get_pace(self) -> float:
        """Return how long work is expected to take now, as a multiple of usual."""

    def is_slowed(self) -> bool:
        """Return whether a call that begins now is expected to be slow."""

    def has_fresh_pace(self) -> bool:
        """Return whether nothing more needs to be learnt about the pace now."""

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuse every queued call with ``failure``, for an endpoint that leaves."""


class EarlyRefusalGate:
    """Aggregate that decides which calls run at an endpoint, and when.

    Its counts are exact, since every call to the upstream passes through it. A call
    that finds a free slot runs at once. Others wait in a short queue, ordered by the
    moment at which their target would be missed; one that can't meet its deadline or
    would wait longer than its class allows is refused at once, truthfully as not run. A
    class with long targets never holds every slot while a class with short ones is
    active.

    It never sends anything and knows nothing of connections.
    """

    def __init__(self, slot_limit: _limit.SlotLimit) -> None:
        self.slot_limit = slot_limit
        self.n_running = 0
        self._queue: list[tuple[float, int, _Waiter]] = []
        self._n_queued = 0
        self._counter = itertools.count()
        self._classes: dict[str, _ClassState] = {}
        self._mean_seconds = 0.0

    @property
    def n_queued(self) -> int:
        """Calls that wait for a slot."""
        return self._n_queued

    @property
    def mean_service_seconds(self) -> float:
        """Mean time of recent calls at the upstream, over all classes."""
        return self._mean_seconds

    def get_class_mean_seconds(self, class_name: str) -> float:
        """Return the mean time of recent calls of the class; 0 before the first."""
        state = self._classes.get(class_name)
        return state.mean_seconds if state else 0.0

    def find_refusal(self, request: AdmissionRequest) -> errors.Failure | None:
        """Return why the call would be refused at once, None if it may run or wait."""
        now = trio.current_time()
        self._note_class(request, now)
        if self._may_run_now(request, now):
            return None
        return self._find_refusal(request, now)

    async def acquire(
        self, request: AdmissionRequest
    ) -> expression.Result[SlotTicket, errors.Failure]:
        """Return a ticket once the call may run, or the reason why it is refused."""
        now = trio.current_time()
        refusal = self.find_refusal(request)
        if refusal is not None:
            return expression.Error(refusal)
        if self._may_run_now(request, now):
            state = self._classes[request.class_name]
            return expression.Ok(self._start(request.class_name, state, now))
        return await self._wait(request, now)

    def release(self, ticket: SlotTicket, is_observed: bool) -> None:
        """Give the slot back; ``is_observed`` says whether its time tells of load."""
        now = trio.current_time()
        state = self._classes[ticket.class_name]
        state.n_running -= 1
        self.n_running -= 1
        if is_observed:
            self._observe(state, now - ticket.began_at)
        self._wake_waiters(now)

    def update_pace(self, pace: float, now: float) -> None:
        """Ignore how long work takes at the upstream now."""

    def update_upstream_running(self, n_running: int, now: float) -> None:
        """Ignore what the upstream says; only the own count holds."""

    def get_pace(self) -> float:
        """Return the usual pace, because this gate learns no other."""
        return 1.0

    def is_slowed(self) -> bool:
        """Return False, because this gate knows of no slow episodes."""
        return False

    def has_fresh_pace(self) -> bool:
        """Return True, because this gate makes no use of the pace."""
        return True

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuse every queued call with ``failure``, for an endpoint that leaves."""
        for _, _, waiter in self._queue:
            if waiter.is_abandoned:
                continue
            waiter.failure = failure
            waiter.event.set()
        self._queue.clear()
        self._n_queued = 0

    async def _wait(
        self, request: AdmissionRequest, now: float
    ) -> expression.Result[SlotTicket, errors.Failure]:
        waiter = _Waiter(request)
        must_start_by = now + request.target_latency_ms / MS_PER_SECOND
        heapq.heappush(self._queue, (must_start_by, next(self._counter), waiter))
        self._n_queued += 1
        wait_until = min(request.deadline, now + request.max_queue_ms / MS_PER_SECOND)
        try:
            with trio.move_on_at(wait_until):
                await waiter.event.wait()
        except trio.Cancelled:
            self._give_up(waiter)
            raise
        if not waiter.event.is_set():
            self._give_up(waiter)
        if not waiter.event.is_set():
            detail = f"no slot became free within {request.max_queue_ms} ms"
            return expression.Error(self._refuse(errors.ErrorKind.OVERLOADED, detail))
        if waiter.failure is not None:
            return expression.Error(waiter.failure)
        return expression.Ok(SlotTicket(request.class_name, trio.current_time()))

    def _give_up(self, waiter: _Waiter) -> None:
        """Take a waiter out, also when it was handed a slot in the same instant."""
        if not waiter.event.is_set():
            waiter.is_abandoned = True
            self._n_queued -= 1
            return
        if waiter.failure is None:
            ticket = SlotTicket(waiter.request.class_name, trio.current_time())
            self.release(ticket, is_observed=False)

    def _start(self, class_name: str, state: _ClassState, now: float) -> SlotTicket:
        state.n_running += 1
        self.n_running += 1
        return SlotTicket(class_name, now)

    def _wake_waiters(self, now: float) -> None:
        """Hand free slots to queued calls in order; classes at their cap wait on."""
        passed_over: list[tuple[float, int, _Waiter]] = []
        while self._queue and self.n_running < self.slot_limit.get_limit():
            row = heapq.heappop(self._queue)
            waiter = row[2]
            if waiter.is_abandoned:
                continue
            class_name = waiter.request.class_name
            if not self._may_run(class_name, now):
                passed_over.append(row)
                continue
            self._n_queued -= 1
            self._start(class_name, self._classes[class_name], now)
            waiter.event.set()
        for row in passed_over:
            heapq.heappush(self._queue, row)

    def _may_run_now(self, request: AdmissionRequest, now: float) -> bool:
        return not self._queue and self._may_run(request.class_name, now)

    def _may_run(self, class_name: str, now: float) -> bool:
        limit = self.slot_limit.get_limit()
        if self.n_running >= limit:
            return False
        state = self._classes[class_name]
        if state.n_running < self._get_class_cap(state, limit, now):
            return True
        return False

    def _get_class_cap(self, state: _ClassState, limit: int, now: float) -> int:
        """Return how many slots the class may hold while shorter classes are active."""
        for other in self._classes.values():
            if other is state:
                continue
            if now - other.last_seen_at > CLASS_ACTIVE_SECONDS:
                continue
            ratio = state.target_latency_ms / other.target_latency_ms
            if ratio >= LONG_CLASS_RATIO:
                return max(1, int(limit * LONG_CLASS_SLOT_SHARE))
        return limit

    def _find_refusal(
        self, request: AdmissionRequest, now: float
    ) -> errors.Failure | None:
        limit = self.slot_limit.get_limit()
        max_queued = limit * MAX_QUEUED_PER_SLOT
        if self._n_queued >= max_queued:
            detail = f"queue holds {self._n_queued} of {max_queued} calls"
            return self._refuse(errors.ErrorKind.OVERLOADED, detail)
        n_ahead = self._count_ahead(request, now)
        wait_seconds = (n_ahead + 1) * self._mean_seconds / limit
        if wait_seconds * MS_PER_SECOND > request.max_queue_ms * QUEUE_MARGIN:
            detail = (
                f"expected wait {wait_seconds * MS_PER_SECOND:.0f} ms, class allows "
                f"{request.max_queue_ms} ms"
            )
            return self._refuse(errors.ErrorKind.OVERLOADED, detail)
        own_seconds = self._classes[request.class_name].mean_seconds
        if now + wait_seconds + own_seconds > request.deadline:
            remaining_ms = (request.deadline - now) * MS_PER_SECOND
            detail = (
                f"expected {(wait_seconds + own_seconds) * MS_PER_SECOND:.0f} ms, "
                f"deadline in {remaining_ms:.0f} ms"
            )
            return self._refuse(errors.ErrorKind.DEADLINE_UNREACHABLE, detail)
        return None

    def _count_ahead(self, request: AdmissionRequest, now: float) -> int:
        must_start_by = now + request.target_latency_ms / MS_PER_SECOND
        n_ahead = 0
        for row in self._queue:
            if row[0] <= must_start_by and not row[2].is_abandoned:
                n_ahead += 1
        return n_ahead

    def _refuse(self, kind: errors.ErrorKind, detail: str) -> errors.Failure:
        limit = self.slot_limit.get_limit()
        drain_ms = int(self._n_queued * self._mean_seconds / limit * MS_PER_SECOND)
        return errors.Failure(
            kind,
            errors.Execution.NOT_RUN,
            detail,
            max(MIN_RETRY_AFTER_MS, drain_ms),
        )

    def _note_class(self, request: AdmissionRequest, now: float) -> _ClassState:
        state = self._classes.get(request.class_name)
        if state is None:
            state = _ClassState(request.target_latency_ms)
            self._classes[request.class_name] = state
        state.target_latency_ms = request.target_latency_ms
        state.last_seen_at = now
        return state

    def _observe(self, state: _ClassState, seconds: float) -> None:
        if state.mean_seconds == 0.0:
            state.mean_seconds = seconds
        self.slot_limit.observe(
            seconds / max(state.mean_seconds, 1e-6), self.n_running + 1
        )
        state.mean_seconds += MEAN_WEIGHT * (seconds - state.mean_seconds)
        if self._mean_seconds == 0.0:
            self._mean_seconds = seconds
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)
