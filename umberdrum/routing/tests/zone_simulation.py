"""Simulation of routers in several zones, one of which gets more calls than usual."""

import heapq
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from umberdrum import routing
from umberdrum.routing import _tracking

CLASS_NAME = "lookup"
N_SLOTS = 5
SERVICE_SECONDS = 0.1
TARGET_SECONDS = 0.4
WITHIN_ZONE_SECONDS = 0.0005
BETWEEN_ZONES_SECONDS = 0.004
ENTRIES_PER_ZONE = 4
MAX_QUEUED = 40
# Before a pattern begins, each zone gets its usual calls for this time. It is longer
# than what a router needs to learn loads and service times.
WARM_UP_SECONDS = 6.0
USUAL_PER_SECOND = 100.0

Event = tuple[float, int, Callable[[], None]]


class Pattern(NamedTuple):
    """Endpoints and calls a second of each zone, and how old loads are when told.

    Each endpoint tells each entry daemon its load at random moments, with a mean pause
    of ``report_seconds``, or never if that is 0. The rates of ``later`` replace those
    of ``per_second`` half way. A call is in time if it ends within ``target_seconds``.
    """

    n_endpoints: Sequence[int]
    per_second: Sequence[float]
    later: Sequence[float] | None = None
    report_seconds: float = 1.0
    seconds: float = 12.0
    target_seconds: float = TARGET_SECONDS


class Result(NamedTuple):
    """Share of calls in time, calls that left their zone, and the spill shares.

    Calls that begin in the warm-up or after the pattern don't count. ``n_left`` counts
    them by the zone of their callers. ``shares`` holds the mean share of the first
    zone's routers, every 0.1 s.
    """

    in_time: float
    n_left: list[int]
    shares: list[float]


class NearestFirstRouter:
    """Baseline that stays at home as long as any endpoint there is left."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._inner = routing.build_router("finish_time", zone, "r1", rng)

    def choose(
        self,
        class_name: str,
        candidates: Sequence[routing.Candidate],
        excluded: frozenset[str],
        now: float,
        attributes: routing.CallAttributes = routing.DEFAULT_ATTRIBUTES,
    ) -> routing.RoutingDecision | None:
        home = [row for row in candidates if row.availability_zone == self._zone]
        return self._inner.choose(class_name, home, excluded, now, attributes)

    def __getattr__(self, name: str) -> object:
        return getattr(self._inner, name)


class LateOnlyRouter(routing.ZoneSpillRouter):
    """Baseline whose calls leave a full zone only if they may be late in it."""

    def _update_share(
        self, class_name: str, candidates: Sequence[routing.Candidate], now: float
    ) -> float:
        return 0.0


class _Endpoint:
    """Endpoint with slots and a queue in the order of arrival."""

    def __init__(self, simulation: "ZoneSimulation", key: str, zone: str) -> None:
        self._simulation = simulation
        self.candidate = routing.Candidate(key, zone, "r1", N_SLOTS, False, False)
        self.n_running = 0
        self.queue: list[Callable[[], None]] = []

    def report(self) -> routing.LoadReport:
        return routing.LoadReport(self.n_running, len(self.queue), N_SLOTS)

    def add(self, on_done: Callable[[], None]) -> None:
        if self.n_running < N_SLOTS:
            self._start(on_done)
        elif len(self.queue) < MAX_QUEUED:
            self.queue.append(on_done)

    def _start(self, on_done: Callable[[], None]) -> None:
        self.n_running += 1
        seconds = self._simulation.rng.lognormvariate(0.0, 0.3) * SERVICE_SECONDS

        def finish() -> None:
            self.n_running -= 1
            on_done()
            if self.queue:
                self._start(self.queue.pop(0))

        self._simulation.schedule(seconds, finish)


class ZoneSimulation:
    """Entry daemons with routers of one policy, endpoints, and calls."""

    def __init__(self, policy: str, pattern: Pattern, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._pattern = pattern
        self._events: list[Event] = []
        self._n_events = 0
        self._endpoints: dict[str, _Endpoint] = {}
        self._n_calls = 0
        self._n_in_time = 0
        self._n_left = [0] * len(pattern.n_endpoints)
        self._end_at = WARM_UP_SECONDS + pattern.seconds
        self._shares: list[float] = []
        for zone, n_endpoints in enumerate(pattern.n_endpoints):
            for index in range(n_endpoints):
                key = f"z{zone}e{index}"
                self._endpoints[key] = _Endpoint(self, key, f"z{zone}")
        self._candidates = [row.candidate for row in self._endpoints.values()]
        self._routers: list[list[routing.Router]] = []
        for zone in range(len(pattern.n_endpoints)):
            routers = [
                self._build_router(policy, f"z{zone}") for _ in range(ENTRIES_PER_ZONE)
            ]
            self._routers.append(routers)

    def _build_router(self, policy: str, zone: str) -> routing.Router:
        rng = random.Random(self.rng.random())
        if policy == "nearest_first":
            return NearestFirstRouter(zone, rng)  # type: ignore[return-value]
        if policy == "late_only":
            return LateOnlyRouter(_tracking.Locality(zone, "r1"), rng)
        return routing.build_router(policy, zone, "r1", rng)

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (self.now + seconds, self._n_events, action))

    def run(self) -> Result:
        for zone in range(len(self._routers)):
            self._schedule_call(zone)
            for router in self._routers[zone]:
                for endpoint in self._endpoints.values():
                    self._schedule_report(router, endpoint)
        self._run_until(WARM_UP_SECONDS)
        self.schedule(0.1, self._record_share)
        # The last calls have their whole target to end.
        self._run_until(self._end_at + self._pattern.target_seconds)
        return Result(self._n_in_time / self._n_calls, self._n_left, self._shares)

    def _run_until(self, end_at: float) -> None:
        while self._events and self.now < end_at:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _record_share(self) -> None:
        shares = [
            router.get_share(CLASS_NAME)
            for router in self._routers[0]
            if isinstance(router, routing.ZoneSpillRouter)
        ]
        if shares:
            self._shares.append(sum(shares) / len(shares))
        if self.now < self._end_at:
            self.schedule(0.1, self._record_share)

    def _schedule_report(self, router: routing.Router, endpoint: _Endpoint) -> None:
        if not self._pattern.report_seconds:
            return

        def tell() -> None:
            router.record_load(endpoint.candidate.key, endpoint.report(), self.now)
            self._schedule_report(router, endpoint)

        self.schedule(self.rng.expovariate(1 / self._pattern.report_seconds), tell)

    def _is_second_half(self) -> bool:
        return self.now > WARM_UP_SECONDS + self._pattern.seconds / 2

    def _schedule_call(self, zone: int) -> None:
        pattern = self._pattern
        rate = pattern.per_second[zone]
        if self.now < WARM_UP_SECONDS:
            rate = USUAL_PER_SECOND
        elif pattern.later is not None and self._is_second_half():
            rate = pattern.later[zone]

        def call() -> None:
            self._call(zone)
            self._schedule_call(zone)

        self.schedule(self.rng.expovariate(rate), call)

    def _call(self, zone: int) -> None:
        router = self.rng.choice(self._routers[zone])
        began_at = self.now
        is_counted = WARM_UP_SECONDS <= began_at < self._end_at
        target_seconds = self._pattern.target_seconds
        attributes = routing.CallAttributes(0, target_seconds)
        decision = router.choose(
            CLASS_NAME, self._candidates, frozenset(), self.now, attributes
        )
        assert decision is not None
        candidate = decision.candidate
        is_home = candidate.availability_zone == f"z{zone}"
        self._n_calls += is_counted
        self._n_left[zone] += is_counted and not is_home
        one_way = WITHIN_ZONE_SECONDS if is_home else BETWEEN_ZONES_SECONDS
        handle = router.start_attempt(candidate.key, CLASS_NAME, self.now)
        endpoint = self._endpoints[candidate.key]

        def arrive() -> None:
            arrived_at = self.now

            def done() -> None:
                served_seconds = self.now - arrived_at
                report = endpoint.report()

                def end() -> None:
                    total_seconds = self.now - began_at
                    is_in_time = total_seconds <= target_seconds
                    self._n_in_time += is_counted and is_in_time
                    observation = routing.Observation(
                        routing.AttemptResult.ANSWERED,
                        total_seconds,
                        served_seconds,
                        report,
                    )
                    router.end_attempt(handle, observation, self.now)

                self.schedule(one_way, end)

            endpoint.add(done)

        self.schedule(one_way, arrive)
