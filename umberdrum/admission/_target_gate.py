"""Gate that serves the calls which can still meet their target."""

import expression
import trio

from umberdrum import errors
from umberdrum.admission import (
    _gate,
    _limit,
    _pace,
    _return_schedule,
    _target_state,
    _time_margin,
)

MAX_QUEUED_PER_SLOT = 8
MEAN_WEIGHT = 0.1
INITIAL_SECONDS = 0.02
MIN_SECONDS = 1e-4
RANK_SECONDS = 0.1
LATE_WAIT_SHARE = 0.05
LONG_CLASS_RATIO = 4.0
LONG_CLASS_SLOT_SHARE = 0.67
CLASS_ACTIVE_SECONDS = 10.0
LATE_SLOT_SHARE = 0.75
RECHECK_SECONDS = 0.1
SETTLED_SECONDS = 0.05
MS_PER_SECOND = 1000.0

AcquireResult = expression.Result[_gate.SlotTicket, errors.Failure]


class TargetGate:
    """Aggregate that decides which calls run at an endpoint, and when.

    Load patterns and what answers them:

    - More calls than slots: those that can still meet their target run first, in the
      order in which their targets would be missed, moved by rank. Those that can't run
      when no other waits and a part of the slots is free, or are refused when that
      would take long: else every call would be late by the time that these took.
    - Neighbours slow the upstream for moments: a call is refused as not run while
      another endpoint can be tried; the last one waits for the end of the episode if
      that is expected to be faster than running slowly.
    - A call that can't meet its deadline any more is refused at once, also when it has
      begun to wait.
    - Refused callers are told to come back in the order of refusal, at the pace at
      which slots become free, so that they don't return together, and early enough to
      be in time yet.
    - Upstreams that have just started are slow for seconds: expected times follow their
      steady pace, only what is slower than that counts as a slow episode, and a call
      that has just come is not late as long as the expected time fits its target.
    - Answers get lost: calls that the upstream has stopped running hold no slot, though
      their callers still wait.
    - A class with long targets never holds every slot while one with short targets is
      active.

    Its counts are exact, since every call to the upstream passes through it. It never
    sends anything and knows nothing of connections.
    """

    def __init__(
        self,
        occupancy_limit: _target_state.OccupancyLimit,
        pace: _pace.PaceTracker | None = None,
        margin: _time_margin.TimeMargin | None = None,
    ) -> None:
        self.slot_limit: _limit.SlotLimit = occupancy_limit
        self._occupancy = occupancy_limit
        self.pace = pace or _pace.PaceTracker()
        self._margin = margin or _time_margin.BoundedTimeMargin()
        self.n_running = 0
        self._queue: list[_target_state.Waiter] = []
        self._began_at: list[float] = []
        self._n_lost = 0
        self._classes: dict[str, _target_state.ClassState] = {}
        self._mean_seconds = INITIAL_SECONDS
        self._returns = _return_schedule.ReturnSchedule()

    @property
    def n_queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def _n_occupied(self) -> int:
        """Slots that are in use at the upstream, as far as is known."""
        return self.n_running - self._n_lost

    def find_refusal(self, request: _gate.AdmissionRequest) -> errors.Failure | None:
        """Return why the call would be refused at once, None if it may run or wait."""
        now = trio.current_time()
        self._note_class(request, now)
        if self.pace.is_slowed(now) and not request.is_last_resort:
            detail = f"work takes {self.pace.ratio:.1f} times as long as usual"
            kind = errors.ErrorKind.UPSTREAM_SLOWED
            return self._refuse(kind, detail, request, now)
        if self._may_run_now(request, now):
            return None
        if request.is_hedge:
            detail = "a hedge runs only where a slot is free"
            kind = errors.ErrorKind.OVERLOADED
            return self._refuse(kind, detail, request, now)
        return self._find_refusal(request, now)

    async def acquire(self, request: _gate.AdmissionRequest) -> AcquireResult:
        """Return a ticket once the call may run, or the reason why it is refused."""
        now = trio.current_time()
        refusal = self.find_refusal(request)
        if refusal is not None:
            return expression.Error(refusal)
        if self._may_run_now(request, now):
            return expression.Ok(self._start(request, now))
        return await self._wait(request)

    def release(self, ticket: _gate.SlotTicket, is_observed: bool) -> None:
        """Give the slot back; ``is_observed`` says whether its time tells of load."""
        now = trio.current_time()
        state = self._classes[ticket.class_name]
        state.n_running -= 1
        self.n_running -= 1
        self._began_at.remove(ticket.began_at)
        self._n_lost = min(self._n_lost, self.n_running)
        if is_observed:
            self._observe(state, ticket, now - ticket.began_at)
        self._wake_waiters(now)

    def update_pace(self, pace: float, now: float) -> None:
        """Learn how long work takes at the upstream now, as a multiple of usual."""
        was_slowed = self.pace.is_slowed(now)
        self.pace.observe(pace, now)
        if was_slowed and not self.pace.is_slowed(now):
            self._wake_waiters(now)

    def update_upstream_running(self, n_running: int, now: float) -> None:
        """Take the number of calls that the upstream says it runs now.

        This gate is the only way to the upstream. Calls that began a while ago and that
        the upstream does not run any more have lost their answers; they hold no slot
        there.
        """
        n_settled = sum(1 for at in self._began_at if now - at > SETTLED_SECONDS)
        n_lost = max(0, n_settled - n_running)
        has_more_room = n_lost > self._n_lost
        self._n_lost = n_lost
        if has_more_room:
            self._wake_waiters(now)

    def get_pace(self) -> float:
        """Return how long work is expected to take now, as a multiple of usual."""
        return self.pace.get_pace(trio.current_time())

    def is_slowed(self) -> bool:
        """Return whether a call that begins now is expected to be slow."""
        return self.pace.is_slowed(trio.current_time())

    def has_fresh_pace(self) -> bool:
        """Return whether the upstream stated its pace a moment ago."""
        return self.pace.is_fresh(trio.current_time())

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuse every queued call with ``failure``, for an endpoint that leaves."""
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
                with trio.move_on_at(min(give_up_at, now + RECHECK_SECONDS)):
                    await waiter.event.wait()
                if not waiter.event.is_set():
                    # What is known of the pace may have become too old to wait for.
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
            self._refuse(errors.ErrorKind.OVERLOADED, detail, request, now)
        )

    def _leave_queue(self, waiter: _target_state.Waiter) -> None:
        """Take a waiter out, also when it was handed a slot in the same instant."""
        if waiter in self._queue:
            self._queue.remove(waiter)
            return
        if waiter.ticket is not None:
            self.release(waiter.ticket, is_observed=False)

    def _start(self, request: _gate.AdmissionRequest, now: float) -> _gate.SlotTicket:
        self._classes[request.class_name].n_running += 1
        self.n_running += 1
        self._began_at.append(now)
        pace = self.pace.get_pace(now)
        return _gate.SlotTicket(request.class_name, now, self._n_occupied, pace)

    def _wake_waiters(self, now: float) -> None:
        """Hand free slots to queued calls and refuse those that are hopeless now."""
        while self._queue:
            waiter = self._choose_next(now)
            if waiter is None:
                return
            self._queue.remove(waiter)
            waiter.ticket = self._start(waiter.request, now)
            waiter.event.set()

    def _choose_next(self, now: float) -> _target_state.Waiter | None:
        best: _target_state.Waiter | None = None
        best_key = (True, 0.0)
        for waiter in list(self._queue):
            request = waiter.request
            if now + self._get_own_seconds(request) > request.deadline:
                self._queue.remove(waiter)
                waiter.failure = self._explain_unreachable(request, 0.0, now)
                waiter.event.set()
                continue
            if not self._may_run(request, now):
                continue
            key = self._get_order(request, now)
            if best is None or key < best_key:
                best = waiter
                best_key = key
        return best

    def _get_order(
        self, request: _gate.AdmissionRequest, now: float
    ) -> tuple[bool, float]:
        """Return the place in the queue: calls that will be late come last."""
        if self._is_late(request, now):
            return (True, request.deadline)
        return (False, request.target_at + request.priority * RANK_SECONDS)

    def _is_late(self, request: _gate.AdmissionRequest, now: float) -> bool:
        """Return whether a call that begins now is likely to miss its target."""
        return now + self._get_safe_seconds(request) > request.target_at

    def _may_run_now(self, request: _gate.AdmissionRequest, now: float) -> bool:
        return not self._queue and self._may_run(request, now)

    def _may_run(self, request: _gate.AdmissionRequest, now: float) -> bool:
        limit = self.slot_limit.get_limit()
        n_occupied = self._n_occupied
        is_trial = n_occupied == limit and bool(self._queue)
        if n_occupied >= limit and not is_trial:
            return False
        state = self._classes[request.class_name]
        n_of_class = state.n_running - self._n_lost
        if n_of_class >= self._get_class_cap(state, limit, now):
            return False
        if self._is_late(request, now) and n_occupied >= LATE_SLOT_SHARE * limit:
            return False
        if self._is_worth_waiting(request, now):
            return False
        return not is_trial or self._occupancy.may_try_more()

    def _is_worth_waiting(self, request: _gate.AdmissionRequest, now: float) -> bool:
        """Return whether the end of a slow episode is nearer than the time it costs."""
        if not self.pace.is_slowed(now):
            return False
        lost_seconds = self._get_own_seconds(request) * (self.pace.ratio - 1.0)
        return lost_seconds > self.pace.mean_episode_seconds

    def _get_class_cap(
        self, state: _target_state.ClassState, limit: int, now: float
    ) -> int:
        """Return how many slots the class may hold while shorter classes are active."""
        for other in self._classes.values():
            if other is state or now - other.last_seen_at > CLASS_ACTIVE_SECONDS:
                continue
            if state.target_latency_ms >= LONG_CLASS_RATIO * other.target_latency_ms:
                return max(1, int(limit * LONG_CLASS_SLOT_SHARE))
        # A trial runs beyond the limit.
        return limit + 1

    def _find_refusal(
        self, request: _gate.AdmissionRequest, now: float
    ) -> errors.Failure | None:
        max_queued = self.slot_limit.get_limit() * MAX_QUEUED_PER_SLOT
        if len(self._queue) >= max_queued:
            detail = f"queue holds {len(self._queue)} of {max_queued} calls"
            return self._refuse(errors.ErrorKind.OVERLOADED, detail, request, now)
        wait_seconds = self._estimate_wait(request, now)
        finish_at = now + wait_seconds + self._get_own_seconds(request)
        if finish_at > request.deadline:
            return self._explain_unreachable(request, wait_seconds, now)
        safe_finish_at = now + wait_seconds + self._get_safe_seconds(request)
        is_late = safe_finish_at > request.target_at
        if is_late and wait_seconds > LATE_WAIT_SHARE * (request.deadline - now):
            detail = (
                f"expected wait {wait_seconds * MS_PER_SECOND:.0f} ms, target in "
                f"{(request.target_at - now) * MS_PER_SECOND:.0f} ms"
            )
            return self._refuse(errors.ErrorKind.OVERLOADED, detail, request, now)
        return None

    def _estimate_wait(self, request: _gate.AdmissionRequest, now: float) -> float:
        """Return the expected wait for a slot behind the calls that go first."""
        own_order = self._get_order(request, now)
        seconds = self._get_mean_seconds()
        for waiter in self._queue:
            if self._get_order(waiter.request, now) <= own_order:
                seconds += self._get_own_seconds(waiter.request)
        wait = seconds / self.slot_limit.get_limit()
        if self._is_worth_waiting(request, now):
            wait += self.pace.mean_episode_seconds
        return wait

    def _get_give_up_time(self, request: _gate.AdmissionRequest, now: float) -> float:
        """Return until when the call waits: while it may be in time, or a little."""
        late_until = now + LATE_WAIT_SHARE * (request.deadline - now)
        wanted = max(request.target_at - self._get_safe_seconds(request), late_until)
        return min(request.deadline - self._get_own_seconds(request), wanted)

    def _get_own_seconds(self, request: _gate.AdmissionRequest) -> float:
        """Return the expected time of the call when it runs at the limit."""
        slowness = self._occupancy.get_slowness(self.slot_limit.get_limit())
        slowness *= self.pace.steady.pace
        return self._classes[request.class_name].mean_seconds * slowness

    def _get_mean_seconds(self) -> float:
        """Return the expected time of a call of any class."""
        return self._mean_seconds * self.pace.steady.pace

    def _get_safe_seconds(self, request: _gate.AdmissionRequest) -> float:
        """Return the time within which a call is taken to end."""
        return self._margin.get_safe_seconds(
            self._get_own_seconds(request), request.target_latency_ms / MS_PER_SECOND
        )

    def _explain_unreachable(
        self, request: _gate.AdmissionRequest, wait_seconds: float, now: float
    ) -> errors.Failure:
        needed = wait_seconds + self._get_own_seconds(request)
        detail = (
            f"expected {needed * MS_PER_SECOND:.0f} ms, deadline in "
            f"{(request.deadline - now) * MS_PER_SECOND:.0f} ms"
        )
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        return self._refuse(kind, detail, request, now)

    def _refuse(
        self,
        kind: errors.ErrorKind,
        detail: str,
        request: _gate.AdmissionRequest,
        now: float,
    ) -> errors.Failure:
        """Return the failure with the time after which room is expected."""
        limit = self.slot_limit.get_limit()
        queued = sum(self._get_own_seconds(row.request) for row in self._queue)
        slot_seconds = self._get_mean_seconds() / limit
        seconds = self._returns.choose(
            now,
            now + queued / limit + slot_seconds,
            slot_seconds,
            request.target_at - self._get_safe_seconds(request),
            request.deadline,
        )
        return errors.Failure(
            kind, errors.Execution.NOT_RUN, detail, int(seconds * MS_PER_SECOND)
        )

    def _note_class(self, request: _gate.AdmissionRequest, now: float) -> None:
        state = self._classes.get(request.class_name)
        if state is None:
            state = _target_state.ClassState(request.target_latency_ms)
            self._classes[request.class_name] = state
        state.target_latency_ms = request.target_latency_ms
        state.last_seen_at = now

    def _observe(
        self, state: _target_state.ClassState, ticket: _gate.SlotTicket, seconds: float
    ) -> None:
        """Learn the class's undisturbed time and what its neighbours at work add."""
        paced_seconds = seconds / ticket.pace
        own_seconds = paced_seconds / self._occupancy.get_slowness(ticket.n_running)
        if state.mean_seconds == 0.0:
            state.mean_seconds = own_seconds
        slowness = paced_seconds / max(state.mean_seconds, MIN_SECONDS)
        self.slot_limit.observe(slowness, ticket.n_running)
        state.mean_seconds += MEAN_WEIGHT * (own_seconds - state.mean_seconds)
        self._mean_seconds += MEAN_WEIGHT * (paced_seconds - self._mean_seconds)
