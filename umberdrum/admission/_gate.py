"""Interface of admission gates, and the gate that refuses calls early."""

import heapq
import itertools
import math
from typing import NamedTuple, Protocol

import expression
import trio

from umberdrum import errors
from umberdrum.admission import _limit, _rate_limit

MAX_QUEUED_PER_SLOT = 8
MAX_EXPECTED_WAIT_SHARE = 0.8
EWMA_WEIGHT = 0.1
LONG_CLASS_TARGET_RATIO = 4.0
LONG_CLASS_SLOT_SHARE = 0.67
CLASS_ACTIVE_SECONDS = 10.0
MIN_RETRY_AFTER_MS = 50
MS_PER_SECOND = 1000.0
RATE_LIMIT_DETAIL = "the upstream's rate limit allows no call now"
# Waits shorter than the clock's resolution would be repeated without end.
MIN_RECHECK_SECONDS = 0.001


class AdmissionRequest(NamedTuple):
    """Properties of a call on which its admission depends.

    ``deadline`` and ``target_at`` are in seconds of the daemon's monotonic clock; at
    ``target_at`` the call misses its latency target. ``target_latency_ms`` orders the
    queue and ``max_queue_ms`` bounds the wait. ``priority`` 0 goes first.
    ``is_last_resort`` says that no other endpoint is left to try, ``is_hedge`` that
    another attempt of the call is running. ``account`` is the client account, empty if
    there is none, and ``account_weight`` its weight among others, 0 if unknown.
    """

    class_name: str
    target_latency_ms: int
    max_queue_ms: int
    deadline: float
    priority: int = 0
    target_at: float = 0.0
    is_last_resort: bool = True
    is_hedge: bool = False
    account: str = ""
    account_weight: float = 0.0


class SlotTicket(NamedTuple):
    """Right to run one call in a slot, returned with ``Gate.release``.

    ``began_at`` is in seconds of the monotonic clock. ``n_running`` counts the calls
    that were running when this one began, itself included. ``pace`` is the expected
    pace of the upstream at that moment, as a multiple of its usual service time.
    """

    class_name: str
    began_at: float
    n_running: int = 0
    pace: float = 1.0


class _Waiter:
    """A queued call; ``event`` is set when it gets a slot or is refused."""

    __slots__ = ("event", "failure", "is_abandoned", "request")

    def __init__(self, request: AdmissionRequest) -> None:
        self.request = request
        self.event = trio.Event()
        self.failure: errors.Failure | None = None
        self.is_abandoned = False


class _ClassState:
    """Running calls and mean service time of one class at this endpoint."""

    __slots__ = ("last_seen_at", "mean_seconds", "n_running", "target_latency_ms")

    def __init__(self, target_latency_ms: int) -> None:
        self.n_running = 0
        self.mean_seconds = 0.0
        self.target_latency_ms = target_latency_ms
        self.last_seen_at = 0.0


class Gate(Protocol):
    """Decides which calls run at an endpoint, and when.

    The pace of an upstream is its current service time as a multiple of the usual one:
    1 is usual, 2 takes twice as long. In a slow episode, neighbours (other workloads on
    its host) slow the upstream down for a short time.
    """

    slot_limit: _limit.SlotLimit
    rate_limiter: _rate_limit.RateLimiter
    n_running: int

    @property
    def n_queued(self) -> int:
        """Number of calls that wait for a slot."""

    def find_refusal(self, request: AdmissionRequest) -> errors.Failure | None:
        """Return the reason to refuse the call now, None if it may run or wait."""

    async def acquire(
        self, request: AdmissionRequest
    ) -> expression.Result[SlotTicket, errors.Failure]:
        """Wait for a slot; return its ticket, or the failure if the call is refused."""

    def release(self, ticket: SlotTicket, is_observed: bool) -> None:
        """Free the slot; the call's duration is recorded if ``is_observed``.

        ``is_observed`` is False if the duration says nothing about the load, for
        example because the call failed.
        """

    def update_pace(self, pace: float, now: float) -> None:
        """Record the pace that the upstream has just reported."""

    def set_cold_period(self, seconds: float, now: float) -> None:
        """Record how much longer the upstream, having just started, is slow."""

    def update_upstream_running(self, n_running: int, now: float) -> None:
        """Record how many running calls the upstream has just reported."""

    def get_pace(self) -> float:
        """Return the expected pace of a call that begins now."""

    def is_slowed(self) -> bool:
        """Return whether the upstream is assumed to be in a slow episode now."""

    def has_fresh_pace(self) -> bool:
        """Return whether the known pace is recent enough to need no probe."""

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuse every queued call with ``failure``, when the endpoint leaves."""


class EarlyRefusalGate:
    """Gate that refuses calls early when their expected wait is too long.

    Its counts are exact, because every call to the upstream passes through it. A call
    runs at once if a slot is free and no call waits. Others wait in a short queue,
    ordered by the moment at which they miss their target. A call that is not expected
    to meet its deadline, or to get a slot within the time that its class allows, is
    refused at once and reported as not run. A class with long targets never holds all
    slots while a class with short targets is active.

    The gate does no input or output and holds no connections.
    """

    def __init__(self, slot_limit: _limit.SlotLimit) -> None:
        self.slot_limit = slot_limit
        self.rate_limiter = _rate_limit.RateLimiter()
        self.n_running = 0
        self._queue: list[tuple[float, int, _Waiter]] = []
        self._n_queued = 0
        self._counter = itertools.count()
        self._classes: dict[str, _ClassState] = {}
        self._mean_seconds = 0.0

    @property
    def n_queued(self) -> int:
        """Number of calls that wait for a slot."""
        return self._n_queued

    @property
    def mean_service_seconds(self) -> float:
        """Moving average of the service time in seconds, over all classes."""
        return self._mean_seconds

    def get_class_mean_seconds(self, class_name: str) -> float:
        """Return the class's mean service time in seconds, 0 before its first call."""
        state = self._classes.get(class_name)
        return state.mean_seconds if state else 0.0

    def find_refusal(self, request: AdmissionRequest) -> errors.Failure | None:
        """Return the reason to refuse the call now, None if it may run or wait."""
        now = trio.current_time()
        self._update_class(request, now)
        if self._may_run_now(request, now):
            return None
        if not request.is_last_resort and not self.rate_limiter.may_start(now):
            return self._build_refusal(errors.ErrorKind.RATE_LIMITED, RATE_LIMIT_DETAIL)
        return self._find_queue_refusal(request, now)

    async def acquire(
        self, request: AdmissionRequest
    ) -> expression.Result[SlotTicket, errors.Failure]:
        """Wait for a slot; return its ticket, or the failure if the call is refused."""
        now = trio.current_time()
        refusal = self.find_refusal(request)
        if refusal is not None:
            return expression.Error(refusal)
        if self._may_run_now(request, now):
            state = self._classes[request.class_name]
            return expression.Ok(self._start_call(request.class_name, state, now))
        return await self._wait(request, now)

    def release(self, ticket: SlotTicket, is_observed: bool) -> None:
        """Free the slot; the call's duration is recorded if ``is_observed``."""
        now = trio.current_time()
        state = self._classes[ticket.class_name]
        state.n_running -= 1
        self.n_running -= 1
        if is_observed:
            self._record_service_time(state, now - ticket.began_at)
        self._wake_waiters(now)

    def update_pace(self, pace: float, now: float) -> None:
        """Ignore the reported pace; this gate does not use it."""

    def set_cold_period(self, seconds: float, now: float) -> None:
        """Ignore the slow start; this gate does not use the pace."""

    def update_upstream_running(self, n_running: int, now: float) -> None:
        """Ignore the reported number; this gate uses only its own count."""

    def get_pace(self) -> float:
        """Return the usual pace, because this gate ignores reported ones."""
        return 1.0

    def is_slowed(self) -> bool:
        """Return False, because this gate does not detect slow episodes."""
        return False

    def has_fresh_pace(self) -> bool:
        """Return True, because this gate does not use the pace."""
        return True

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuse every queued call with ``failure``, when the endpoint leaves."""
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
        target_missed_at = now + request.target_latency_ms / MS_PER_SECOND
        heapq.heappush(self._queue, (target_missed_at, next(self._counter), waiter))
        self._n_queued += 1
        wait_until = min(request.deadline, now + request.max_queue_ms / MS_PER_SECOND)
        try:
            await self._wait_for_slot(waiter, wait_until)
        except trio.Cancelled:
            self._abandon(waiter)
            raise
        if not waiter.event.is_set():
            self._abandon(waiter)
        if not waiter.event.is_set():
            detail = f"no slot became free within {request.max_queue_ms} ms"
            return expression.Error(
                self._build_refusal(errors.ErrorKind.OVERLOADED, detail)
            )
        if waiter.failure is not None:
            return expression.Error(waiter.failure)
        return expression.Ok(SlotTicket(request.class_name, trio.current_time()))

    async def _wait_for_slot(self, waiter: _Waiter, wait_until: float) -> None:
        """Wait until the call got a slot or was refused, at most to ``wait_until``."""
        while not waiter.event.is_set():
            now = trio.current_time()
            if now >= wait_until:
                return
            wake_at = get_rate_limit_wake_time(self.rate_limiter, now)
            with trio.move_on_at(min(wait_until, wake_at)):
                await waiter.event.wait()
            if not waiter.event.is_set():
                self._wake_waiters(trio.current_time())

    def _abandon(self, waiter: _Waiter) -> None:
        """Remove a waiter; free its slot if it got one in the same instant."""
        if not waiter.event.is_set():
            waiter.is_abandoned = True
            self._n_queued -= 1
            return
        if waiter.failure is None:
            ticket = SlotTicket(waiter.request.class_name, trio.current_time())
            self.release(ticket, is_observed=False)

    def _start_call(
        self, class_name: str, state: _ClassState, now: float
    ) -> SlotTicket:
        state.n_running += 1
        self.n_running += 1
        self.rate_limiter.record_start(now)
        return SlotTicket(class_name, now)

    def _wake_waiters(self, now: float) -> None:
        """Give free slots to queued calls in order, skipping classes at their cap."""
        skipped: list[tuple[float, int, _Waiter]] = []
        while self._queue and self.n_running < self.slot_limit.get_limit():
            if not self.rate_limiter.may_start(now):
                break
            entry = heapq.heappop(self._queue)
            waiter = entry[2]
            if waiter.is_abandoned:
                continue
            class_name = waiter.request.class_name
            if not self._may_run(class_name, now):
                skipped.append(entry)
                continue
            self._n_queued -= 1
            self._start_call(class_name, self._classes[class_name], now)
            waiter.event.set()
        for entry in skipped:
            heapq.heappush(self._queue, entry)

    def _may_run_now(self, request: AdmissionRequest, now: float) -> bool:
        return not self._queue and self._may_run(request.class_name, now)

    def _may_run(self, class_name: str, now: float) -> bool:
        limit = self.slot_limit.get_limit()
        if self.n_running >= limit or not self.rate_limiter.may_start(now):
            return False
        state = self._classes[class_name]
        if state.n_running < self._get_class_cap(state, limit, now):
            return True
        return False

    def _get_class_cap(self, state: _ClassState, limit: int, now: float) -> int:
        """Return the class's slot cap, lower while one with short targets is active."""
        for other in self._classes.values():
            if other is state:
                continue
            if now - other.last_seen_at > CLASS_ACTIVE_SECONDS:
                continue
            ratio = state.target_latency_ms / other.target_latency_ms
            if ratio >= LONG_CLASS_TARGET_RATIO:
                return max(1, int(limit * LONG_CLASS_SLOT_SHARE))
        return limit

    def _find_queue_refusal(
        self, request: AdmissionRequest, now: float
    ) -> errors.Failure | None:
        limit = self.slot_limit.get_limit()
        max_queued = limit * MAX_QUEUED_PER_SLOT
        if self._n_queued >= max_queued:
            detail = f"queue holds {self._n_queued} of {max_queued} calls"
            return self._build_refusal(errors.ErrorKind.OVERLOADED, detail)
        n_ahead = self._count_ahead(request, now)
        wait_seconds = max(
            (n_ahead + 1) * self._mean_seconds / limit,
            self.rate_limiter.get_wait_seconds(n_ahead, now),
        )
        if (
            wait_seconds * MS_PER_SECOND
            > request.max_queue_ms * MAX_EXPECTED_WAIT_SHARE
        ):
            detail = (
                f"expected wait {wait_seconds * MS_PER_SECOND:.0f} ms, class allows "
                f"{request.max_queue_ms} ms"
            )
            return self._build_refusal(errors.ErrorKind.OVERLOADED, detail)
        own_seconds = self._classes[request.class_name].mean_seconds
        if now + wait_seconds + own_seconds > request.deadline:
            remaining_ms = (request.deadline - now) * MS_PER_SECOND
            detail = (
                f"expected {(wait_seconds + own_seconds) * MS_PER_SECOND:.0f} ms, "
                f"deadline in {remaining_ms:.0f} ms"
            )
            return self._build_refusal(errors.ErrorKind.DEADLINE_UNREACHABLE, detail)
        return None

    def _count_ahead(self, request: AdmissionRequest, now: float) -> int:
        target_missed_at = now + request.target_latency_ms / MS_PER_SECOND
        n_ahead = 0
        for entry in self._queue:
            if entry[0] <= target_missed_at and not entry[2].is_abandoned:
                n_ahead += 1
        return n_ahead

    def _build_refusal(self, kind: errors.ErrorKind, detail: str) -> errors.Failure:
        limit = self.slot_limit.get_limit()
        drain_seconds = max(
            self._n_queued * self._mean_seconds / limit,
            self.rate_limiter.get_wait_seconds(self._n_queued, trio.current_time()),
        )
        return errors.Failure(
            kind,
            errors.Execution.NOT_RUN,
            detail,
            max(MIN_RETRY_AFTER_MS, int(drain_seconds * MS_PER_SECOND)),
        )

    def _update_class(self, request: AdmissionRequest, now: float) -> _ClassState:
        state = self._classes.get(request.class_name)
        if state is None:
            state = _ClassState(request.target_latency_ms)
            self._classes[request.class_name] = state
        state.target_latency_ms = request.target_latency_ms
        state.last_seen_at = now
        return state

    def _record_service_time(self, state: _ClassState, seconds: float) -> None:
        if state.mean_seconds == 0.0:
            state.mean_seconds = seconds
        self.slot_limit.observe(
            seconds / max(state.mean_seconds, 1e-6), self.n_running + 1
        )
        state.mean_seconds += EWMA_WEIGHT * (seconds - state.mean_seconds)
        if self._mean_seconds == 0.0:
            self._mean_seconds = seconds
        self._mean_seconds += EWMA_WEIGHT * (seconds - self._mean_seconds)


def get_rate_limit_wake_time(limiter: _rate_limit.RateLimiter, now: float) -> float:
    """Return when queued calls should look at the limit again, infinity without one."""
    if not limiter.is_limiting(now):
        return math.inf
    return now + max(MIN_RECHECK_SECONDS, limiter.get_wait_seconds(0, now))
