"""Gate that gives slots first to calls that can still meet their target."""

import expression
import trio

from umberdrum import errors
from umberdrum.admission import (
    _fair_share,
    _gate,
    _limit,
    _pace,
    _rate_limit,
    _retry_after,
    _target_state,
    _time_margin,
)

MAX_QUEUED_PER_SLOT = 8
EWMA_WEIGHT = 0.1
INITIAL_MEAN_SECONDS = 0.02
MIN_MEAN_SECONDS = 1e-4
PRIORITY_STEP_SECONDS = 0.1
MAX_LATE_WAIT_SHARE = 0.05
LONG_CLASS_TARGET_RATIO = 4.0
LONG_CLASS_SLOT_SHARE = 0.67
CLASS_ACTIVE_SECONDS = 10.0
LATE_CALL_SLOT_SHARE = 0.75
# A class is short if another active class takes this many times as long.
SHORT_CALL_RATIO = 4.0
QUEUE_RECHECK_SECONDS = 0.1
MIN_LOST_CALL_AGE_SECONDS = 0.05
MS_PER_SECOND = 1000.0

AcquireResult = expression.Result[_gate.SlotTicket, errors.Failure]


class TargetGate:
    """Gate that gives slots first to calls that can still meet their target.

    Load patterns and how the gate handles them:

    - More calls than slots: calls that can still meet their target run first, in the
      order in which they miss it, shifted by priority. A late call, which is expected
      to miss its target, runs when no other call waits and part of the slots is free.
      It is refused if that would take long. Without these rules, the time spent on late
      calls would make every other call late.
    - Neighbours slow the upstream for short episodes: a call is refused as not run
      while another endpoint can be tried. At the last endpoint the call waits for the
      end of the episode if that is expected to be faster than running slowly.
    - A call that can no longer meet its deadline is refused at once, also when it
      already waits.
    - Refused callers are given retry times in the order of refusal, at the rate at
      which slots become free, so that they don't retry together. The times are early
      enough for the calls to be in time.
    - Upstreams that have just started are slow for seconds: expected times follow their
      steady pace, and only a slower pace counts as a slow episode. A call that has just
      arrived is not late as long as the expected time fits its target.
    - Slow episodes last longer than usual, or an upstream stays slow: a call runs there
      once the episode is no longer expected to end before the call would.
    - Responses get lost: calls that the upstream no longer runs hold no slot, although
      their callers still wait.
    - Calls that run at upstreams make short calls of their own, and fail if these are
      refused. A call that is short beside others waits until its deadline where no
      other endpoint is left, instead of being refused as late: it delays them little.
    - The upstream names a rate limit: a call that it does not allow yet is refused as
      not run while another endpoint can be tried. At the last endpoint it waits for its
      turn if it can still be served in time.
    - One client account sends many times its usual: waiting calls are put back by the
      lead of their account over its fair share of the slots. Where the queue is full,
      the waiting call that would go last makes room for one that goes before it.
    - A class with long targets never holds all slots while a class with short targets
      is active.

    Its counts are exact, because every call to the upstream passes through it. It does
    no input or output and holds no connections.
    """

    def __init__(
        self,
        occupancy_limit: _target_state.OccupancyLimit,
        pace: _pace.PaceTracker | None = None,
        margin: _time_margin.TimeMargin | None = None,
        short_call_ratio: float = SHORT_CALL_RATIO,
    ) -> None:
        self._short_call_ratio = short_call_ratio
        self.slot_limit: _limit.SlotLimit = occupancy_limit
        self._occupancy_limit = occupancy_limit
        self.pace = pace or _pace.PaceTracker()
        self._margin = margin or _time_margin.BoundedTimeMargin()
        self.rate_limiter = _rate_limit.RateLimiter()
        self._fair_shares = _fair_share.FairShares()
        self.n_running = 0
        self._queue: list[_target_state.Waiter] = []
        self._start_times: list[float] = []
        self._n_lost_calls = 0
        self._classes: dict[str, _target_state.ClassState] = {}
        self._mean_seconds = INITIAL_MEAN_SECONDS
        self._retry_schedule = _retry_after.RetryAfterSchedule()

    @property
    def n_queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @property
    def _n_occupied(self) -> int:
        """Estimated number of slots in use at the upstream, without lost calls."""
        return self.n_running - self._n_lost_calls

    def find_refusal(self, request: _gate.AdmissionRequest) -> errors.Failure | None:
        """Return the reason to refuse the call now, None if it may run or wait."""
        now = trio.current_time()
        self._update_class(request, now)
        if request.account:
            self._fair_shares.record_arrival(
                request.account, request.account_weight, now
            )
        if self.pace.is_slowed(now) and not request.is_last_resort:
            detail = f"work takes {self.pace.ratio:.1f} times as long as usual"
            kind = errors.ErrorKind.UPSTREAM_SLOWED
            return self._build_refusal(kind, detail, request, now)
        if self._may_run_now(request, now):
            return None
        if request.is_hedge:
            detail = "a hedge runs only where a slot is free"
            kind = errors.ErrorKind.OVERLOADED
            return self._build_refusal(kind, detail, request, now)
        if not request.is_last_resort and not self.rate_limiter.may_start(now):
            return self._build_refusal(
                errors.ErrorKind.RATE_LIMITED, _gate.RATE_LIMIT_DETAIL, request, now
            )
        return self._find_queue_refusal(request, now)

    async def acquire(self, request: _gate.AdmissionRequest) -> AcquireResult:
        """Wait for a slot; return its ticket, or the failure if the call is refused."""
        now = trio.current_time()
        refusal = self.find_refusal(request)
        if refusal is not None:
            return expression.Error(refusal)
        if self._may_run_now(request, now):
            return expression.Ok(self._start_call(request, now))
        return await self._wait(request)

    def release(self, ticket: _gate.SlotTicket, is_observed: bool) -> None:
        """Free the slot; the call's duration is recorded if ``is_observed``."""
        now = trio.current_time()
        state = self._classes[ticket.class_name]
        state.n_running -= 1
        self.n_running -= 1
        self._start_times.remove(ticket.began_at)
        self._n_lost_calls = min(self._n_lost_calls, self.n_running)
        if is_observed:
            self._record_service_time(state, ticket, now - ticket.began_at)
        self._wake_waiters(now)

    def update_pace(self, pace: float, now: float) -> None:
        """Record the reported pace and wake queued calls when an episode ends."""
        was_slowed = self.pace.is_slowed(now)
        self.pace.observe(pace, now)
        if was_slowed and not self.pace.is_slowed(now):
            self._wake_waiters(now)

    def set_cold_period(self, seconds: float, now: float) -> None:
        """Record how much longer the upstream, having just started, is slow."""
        self.pace.steady.set_cold_until(now + seconds)

    def update_upstream_running(self, n_running: int, now: float) -> None:
        """Record the reported number of running calls and free slots of lost calls.

        All calls to the upstream pass through this gate. A call that began more than
        ``MIN_LOST_CALL_AGE_SECONDS`` ago and that the upstream no longer runs has lost
        its response and holds no slot there.
        """
        n_old_calls = sum(
            1 for at in self._start_times if now - at > MIN_LOST_CALL_AGE_SECONDS
        )
        n_lost_calls = max(0, n_old_calls - n_running)
        has_freed_slots = n_lost_calls > self._n_lost_calls
        self._n_lost_calls = n_lost_calls
        if has_freed_slots:
            self._wake_waiters(now)

    def get_pace(self) -> float:
        """Return the expected pace of a call that begins now."""
        return self.pace.get_pace(trio.current_time())

    def is_slowed(self) -> bool:
        """Return whether the upstream is assumed to be in a slow episode now."""
        return self.pace.is_slowed(trio.current_time())

    def has_fresh_pace(self) -> bool:
        """Return whether the last reported pace is recent enough to need no probe."""
        return self.pace.is_fresh(trio.current_time())

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuse every queued call with ``failure``, when the endpoint leaves."""
        for waiter in self._queue:
            waiter.failure = failure
            waiter.event.set()
        self._queue.clear()

    async def _wait(self, request: _gate.AdmissionRequest) -> AcquireResult:
        waiter = _target_state.Waiter(request)
        self._queue.append(waiter)
        give_up_at = self._get_give_up_time(request, trio.current_time())
        try:
            while not waiter.event.is_set():
                now = trio.current_time()
                if now >= give_up_at:
                    break
                wake_at = min(
                    now + QUEUE_RECHECK_SECONDS,
                    _gate.get_rate_limit_wake_time(self.rate_limiter, now),
                )
                with trio.move_on_at(min(give_up_at, wake_at)):
                    await waiter.event.wait()
                if not waiter.event.is_set():
                    # The last report of a slow episode may have become too old to wait.
                    self._wake_waiters(trio.current_time())
        except trio.Cancelled:
            self._leave_queue(waiter)
            raise
        if waiter.failure is not None:
            return expression.Error(waiter.failure)
        if waiter.ticket is not None:
            return expression.Ok(waiter.ticket)
        self._leave_queue(waiter)
        now = trio.current_time()
        detail = f"no slot became free; {len(self._queue)} calls wait"
        return expression.Error(
            self._build_refusal(errors.ErrorKind.OVERLOADED, detail, request, now)
        )

    def _leave_queue(self, waiter: _target_state.Waiter) -> None:
        """Remove a waiter; free its slot if it got one in the same instant."""
        if waiter in self._queue:
            self._queue.remove(waiter)
            return
        if waiter.ticket is not None:
            self.release(waiter.ticket, is_observed=False)

    def _start_call(
        self, request: _gate.AdmissionRequest, now: float
    ) -> _gate.SlotTicket:
        self._classes[request.class_name].n_running += 1
        self.n_running += 1
        self._start_times.append(now)
        self.rate_limiter.record_start(now)
        if request.account:
            self._fair_shares.record_start(
                request.account, self._get_expected_seconds(request)
            )
        pace = self.pace.get_pace(now)
        return _gate.SlotTicket(request.class_name, now, self._n_occupied, pace)

    def _wake_waiters(self, now: float) -> None:
        """Fill free slots from the queue; refuse calls that can't meet deadlines."""
        while self._queue:
            waiter = self._choose_next(now)
            if waiter is None:
                return
            self._queue.remove(waiter)
            waiter.ticket = self._start_call(waiter.request, now)
            waiter.event.set()

    def _choose_next(self, now: float) -> _target_state.Waiter | None:
        best: _target_state.Waiter | None = None
        best_key = (True, 0.0)
        for waiter in list(self._queue):
            request = waiter.request
            if now + self._get_expected_seconds(request) > request.deadline:
                self._queue.remove(waiter)
                waiter.failure = self._build_unreachable_refusal(request, 0.0, now)
                waiter.event.set()
                continue
            if not self._may_run(request, now):
                continue
            key = self._get_queue_key(request, now)
            if best is None or key < best_key:
                best = waiter
                best_key = key
        return best

    def _get_queue_key(
        self, request: _gate.AdmissionRequest, now: float
    ) -> tuple[bool, float]:
        """Return the sort key of a queued call; calls that will be late come last."""
        if self._is_late(request, now):
            return (True, request.deadline)
        due_at = request.target_at + request.priority * PRIORITY_STEP_SECONDS
        if request.account:
            due_at += self._fair_shares.get_lead_seconds(
                request.account, self.slot_limit.get_limit(), now
            )
        return (False, due_at)

    def _is_late(self, request: _gate.AdmissionRequest, now: float) -> bool:
        """Return whether the call is likely to miss its target if it begins now."""
        due_at = self._get_due_time(request, now)
        return now + self._get_conservative_seconds(request) > due_at

    def _get_due_time(self, request: _gate.AdmissionRequest, now: float) -> float:
        """Return the time by which the call should end, its target or its deadline."""
        if request.is_last_resort and self._is_short(request, now):
            return request.deadline
        return request.target_at

    def _is_short(self, request: _gate.AdmissionRequest, now: float) -> bool:
        """Return whether another active class takes many times as long."""
        seconds = (
            self._classes[request.class_name].mean_seconds * self._short_call_ratio
        )
        if not seconds:
            return False
        for other in self._classes.values():
            is_active = now - other.last_seen_at <= CLASS_ACTIVE_SECONDS
            if is_active and other.mean_seconds >= seconds:
                return True
        return False

    def _may_run_now(self, request: _gate.AdmissionRequest, now: float) -> bool:
        return not self._queue and self._may_run(request, now)

    def _may_run(self, request: _gate.AdmissionRequest, now: float) -> bool:
        if not self.rate_limiter.may_start(now):
            return False
        limit = self.slot_limit.get_limit()
        n_occupied = self._n_occupied
        is_trial = n_occupied == limit and bool(self._queue)
        if n_occupied >= limit and not is_trial:
            return False
        state = self._classes[request.class_name]
        n_class_running = state.n_running - self._n_lost_calls
        if n_class_running >= self._get_class_cap(state, limit, now):
            return False
        if self._is_late(request, now) and n_occupied >= LATE_CALL_SLOT_SHARE * limit:
            return False
        if self._should_wait_out_episode(request, now):
            return False
        return not is_trial or self._occupancy_limit.claim_trial()

    def _should_wait_out_episode(
        self, request: _gate.AdmissionRequest, now: float
    ) -> bool:
        """Return whether running now costs more time than waiting for the end."""
        if not self.pace.is_slowed(now):
            return False
        extra_seconds = self._get_expected_seconds(request) * (self.pace.ratio - 1.0)
        return extra_seconds > self.pace.estimate_remaining_seconds(now)

    def _get_class_cap(
        self, state: _target_state.ClassState, limit: int, now: float
    ) -> int:
        """Return the class's slot cap, lower while one with short targets is active."""
        for other in self._classes.values():
            if other is state or now - other.last_seen_at > CLASS_ACTIVE_SECONDS:
                continue
            if (
                state.target_latency_ms
                >= LONG_CLASS_TARGET_RATIO * other.target_latency_ms
            ):
                return max(1, int(limit * LONG_CLASS_SLOT_SHARE))
        # A trial call runs one above the limit.
        return limit + 1

    def _find_queue_refusal(
        self, request: _gate.AdmissionRequest, now: float
    ) -> errors.Failure | None:
        max_queued = self.slot_limit.get_limit() * MAX_QUEUED_PER_SLOT
        if len(self._queue) >= max_queued and not self._make_room(request, now):
            detail = f"queue holds {len(self._queue)} of {max_queued} calls"
            return self._build_refusal(
                errors.ErrorKind.OVERLOADED, detail, request, now
            )
        wait_seconds = self._estimate_wait(request, now)
        finish_at = now + wait_seconds + self._get_expected_seconds(request)
        if finish_at > request.deadline:
            return self._build_unreachable_refusal(request, wait_seconds, now)
        conservative_finish_at = (
            now + wait_seconds + self._get_conservative_seconds(request)
        )
        is_late = conservative_finish_at > self._get_due_time(request, now)
        if is_late and wait_seconds > MAX_LATE_WAIT_SHARE * (request.deadline - now):
            detail = (
                f"expected wait {wait_seconds * MS_PER_SECOND:.0f} ms, target in "
                f"{(request.target_at - now) * MS_PER_SECOND:.0f} ms"
            )
            return self._build_refusal(
                errors.ErrorKind.OVERLOADED, detail, request, now
            )
        return None

    def _make_room(self, request: _gate.AdmissionRequest, now: float) -> bool:
        """Refuse the queued call that goes last if it goes after ``request``."""
        if not request.account or not self._queue:
            return False
        last = max(
            self._queue, key=lambda waiter: self._get_queue_key(waiter.request, now)
        )
        if self._get_queue_key(last.request, now) <= self._get_queue_key(request, now):
            return False
        self._queue.remove(last)
        detail = "calls that go first have taken all places of the queue"
        kind = errors.ErrorKind.OVERLOADED
        last.failure = self._build_refusal(kind, detail, last.request, now)
        last.event.set()
        return True

    def _estimate_wait(self, request: _gate.AdmissionRequest, now: float) -> float:
        """Return the expected seconds of waiting behind calls that go first."""
        own_key = self._get_queue_key(request, now)
        seconds = self._get_mean_seconds()
        n_ahead = 0
        for waiter in self._queue:
            if self._get_queue_key(waiter.request, now) <= own_key:
                n_ahead += 1
                seconds += self._get_expected_seconds(waiter.request)
        wait = max(
            seconds / self.slot_limit.get_limit(),
            self.rate_limiter.get_wait_seconds(n_ahead, now),
        )
        if self._should_wait_out_episode(request, now):
            wait += self.pace.estimate_remaining_seconds(now)
        return wait

    def _get_give_up_time(self, request: _gate.AdmissionRequest, now: float) -> float:
        """Return when the call stops waiting.

        It waits while it can still meet its target, or, if that is longer, for
        ``MAX_LATE_WAIT_SHARE`` of the time to its deadline.
        """
        late_until = now + MAX_LATE_WAIT_SHARE * (request.deadline - now)
        latest_useful_start = max(
            self._get_due_time(request, now) - self._get_conservative_seconds(request),
            late_until,
        )
        return min(
            request.deadline - self._get_expected_seconds(request), latest_useful_start
        )

    def _get_expected_seconds(self, request: _gate.AdmissionRequest) -> float:
        """Return the expected service time in seconds when the limit is reached."""
        slowness = self._occupancy_limit.get_slowness(self.slot_limit.get_limit())
        slowness *= self.pace.steady.pace
        return self._classes[request.class_name].mean_seconds * slowness

    def _get_mean_seconds(self) -> float:
        """Return the expected service time of a call of any class, in seconds."""
        return self._mean_seconds * self.pace.steady.pace

    def _get_conservative_seconds(self, request: _gate.AdmissionRequest) -> float:
        """Return the service time in seconds that the call is assumed not to exceed."""
        return self._margin.get_conservative_seconds(
            self._get_expected_seconds(request),
            request.target_latency_ms / MS_PER_SECOND,
        )

    def _build_unreachable_refusal(
        self, request: _gate.AdmissionRequest, wait_seconds: float, now: float
    ) -> errors.Failure:
        needed = wait_seconds + self._get_expected_seconds(request)
        detail = (
            f"expected {needed * MS_PER_SECOND:.0f} ms, deadline in "
            f"{(request.deadline - now) * MS_PER_SECOND:.0f} ms"
        )
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        return self._build_refusal(kind, detail, request, now)

    def _build_refusal(
        self,
        kind: errors.ErrorKind,
        detail: str,
        request: _gate.AdmissionRequest,
        now: float,
    ) -> errors.Failure:
        """Return the failure with the time after which the caller should retry."""
        limit = self.slot_limit.get_limit()
        queued = sum(
            self._get_expected_seconds(waiter.request) for waiter in self._queue
        )
        slot_seconds = max(
            self._get_mean_seconds() / limit,
            self.rate_limiter.get_interval_seconds(now),
        )
        limit_seconds = self.rate_limiter.get_wait_seconds(len(self._queue), now)
        seconds = self._retry_schedule.schedule_retry(
            now,
            now + max(queued / limit + slot_seconds, limit_seconds),
            slot_seconds,
            request.target_at - self._get_conservative_seconds(request),
            request.deadline,
        )
        # An earlier retry would be refused again.
        seconds = max(seconds, limit_seconds)
        return errors.Failure(
            kind, errors.Execution.NOT_RUN, detail, int(seconds * MS_PER_SECOND)
        )

    def _update_class(self, request: _gate.AdmissionRequest, now: float) -> None:
        state = self._classes.get(request.class_name)
        if state is None:
            state = _target_state.ClassState(request.target_latency_ms)
            self._classes[request.class_name] = state
        state.target_latency_ms = request.target_latency_ms
        state.last_seen_at = now

    def _record_service_time(
        self, state: _target_state.ClassState, ticket: _gate.SlotTicket, seconds: float
    ) -> None:
        """Record the class's undisturbed time and the slowness of concurrent calls."""
        normalized_seconds = seconds / ticket.pace
        undisturbed_seconds = normalized_seconds / self._occupancy_limit.get_slowness(
            ticket.n_running
        )
        if state.mean_seconds == 0.0:
            state.mean_seconds = undisturbed_seconds
        slowness = normalized_seconds / max(state.mean_seconds, MIN_MEAN_SECONDS)
        self.slot_limit.observe(slowness, ticket.n_running)
        state.mean_seconds += EWMA_WEIGHT * (undisturbed_seconds - state.mean_seconds)
        self._mean_seconds += EWMA_WEIGHT * (normalized_seconds - self._mean_seconds)
