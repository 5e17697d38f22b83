"""Steps for routers, run against simulated endpoints with fixed response times."""

import collections
import heapq
import random

import behave
from behave import runner

from umberdrum import routing

CLASS_NAME = "lookup"


def build_candidate(index: int, is_suspected: bool = False) -> routing.Candidate:
    return routing.Candidate(f"e{index}", "az1", "r1", 4, False, is_suspected)


class RouterSimulation:
    """Router under a steady load, with simulated time."""

    def __init__(self, policy: str, n_endpoints: int, seconds: float) -> None:
        self.router = routing.build_router(policy, "az1", "r1", random.Random(5))
        self.candidates = [build_candidate(index) for index in range(n_endpoints)]
        self.seconds = {endpoint.key: seconds for endpoint in self.candidates}
        self.failing: set[str] = set()
        self.reporting_idle: set[str] = set()
        self.now = 0.0
        self.chosen: list[tuple[float, str]] = []
        self._pending_ends: list[tuple[float, int, routing.OutstandingCall]] = []

    def run(self, seconds: float, calls_per_second: float) -> None:
        end_at = self.now + seconds
        while self.now < end_at:
            self._finish_due_calls()
            self._send_call()
            self.now += 1.0 / calls_per_second

    def choose(self) -> str:
        decision = self.router.choose(
            CLASS_NAME, self.candidates, frozenset(), self.now
        )
        assert decision is not None
        return decision.candidate.key

    def count_since(self, since: float) -> collections.Counter[str]:
        return collections.Counter(key for at, key in self.chosen if at >= since)

    def _send_call(self) -> None:
        key = self.choose()
        self.chosen.append((self.now, key))
        call = self.router.start_attempt(key, CLASS_NAME, self.now)
        seconds = 0.0 if key in self.failing else self.seconds[key]
        heapq.heappush(self._pending_ends, (self.now + seconds, len(self.chosen), call))

    def _finish_due_calls(self) -> None:
        while self._pending_ends and self._pending_ends[0][0] <= self.now:
            at, _, call = heapq.heappop(self._pending_ends)
            seconds = self.seconds[call.key]
            report = None
            if call.key in self.reporting_idle:
                report = routing.LoadReport(0, 0, 100)
            result = routing.AttemptResult.ANSWERED
            if call.key in self.failing:
                result = routing.AttemptResult.FAILED
            observation = routing.Observation(result, seconds, seconds, report)
            self.router.end_attempt(call, observation, at)


@behave.given(
    'the router "{policy}" over {n_endpoints:d} endpoints that answer in {ms:d} ms'
)
def build_simulation(
    context: runner.Context, policy: str, n_endpoints: int, ms: int
) -> None:
    context.simulation = RouterSimulation(policy, n_endpoints, ms / 1000)


@behave.given('the router "{policy}"')
def build_router(context: runner.Context, policy: str) -> None:
    context.simulation = RouterSimulation(policy, 6, 0.01)


@behave.then(
    "it never chooses excluded endpoints, and suspected ones only as a last resort"
)
def check_candidate_rules(context: runner.Context) -> None:
    router = context.simulation.router
    candidates = [build_candidate(index, is_suspected=index < 3) for index in range(6)]
    for _ in range(100):
        decision = router.choose(CLASS_NAME, candidates, frozenset(["e4"]), 1.0)
        assert decision is not None
        assert decision.candidate.key in ("e3", "e5"), decision
    unsuspected_keys = frozenset(["e3", "e4", "e5"])
    decision = router.choose(CLASS_NAME, candidates, unsuspected_keys, 1.0)
    assert decision is not None and decision.candidate.is_suspected
    all_keys = frozenset(endpoint.key for endpoint in candidates)
    assert router.choose(CLASS_NAME, candidates, all_keys, 1.0) is None
    assert router.choose(CLASS_NAME, [], frozenset(), 1.0) is None


@behave.then(
    "it drops statistics of removed endpoints, but not of those with outstanding calls"
)
def check_pruning(context: runner.Context) -> None:
    router = context.simulation.router
    busy = router.start_attempt("e1", CLASS_NAME, 1.0)
    idle = router.start_attempt("e2", CLASS_NAME, 1.0)
    observation = routing.Observation(routing.AttemptResult.ANSWERED, 0.01, 0.01)
    router.end_attempt(idle, observation, 2.0)
    router.prune_endpoints(frozenset())
    assert router.get_endpoint_stats("e2") is None
    assert router.get_endpoint_stats("e1") is not None
    router.end_attempt(busy, observation, 2.0)
    router.prune_endpoints(frozenset())
    assert router.get_endpoint_stats("e1") is None


@behave.when("endpoint 0 {behaviour}, for {seconds:d} s at {rate:d} calls a second")
def run_with_faulty_endpoint(
    context: runner.Context, behaviour: str, seconds: int, rate: int
) -> None:
    simulation = context.simulation
    simulation.run(2.0, rate)
    if "never" in behaviour:
        simulation.seconds["e0"] = 1000.0
    elif "fails" in behaviour:
        simulation.failing.add("e0")
    else:
        simulation.seconds["e0"] = 0.1
    if "reports" in behaviour:
        simulation.reporting_idle.add("e0")
    simulation.run(seconds, rate)


@behave.then("endpoint 0 gets at most {share:d} % of the calls of the last 2 s")
def check_share(context: runner.Context, share: int) -> None:
    counts = context.simulation.count_since(context.simulation.now - 2.0)
    assert counts["e0"] * 100 <= share * counts.total(), counts


@behave.then("after {seconds:d} s of fast answers it gets at least {share:d} % again")
def check_recovery(context: runner.Context, seconds: int, share: int) -> None:
    simulation = context.simulation
    simulation.failing.clear()
    simulation.reporting_idle.clear()
    simulation.seconds["e0"] = 0.005
    simulation._pending_ends = [
        (min(at, simulation.now), n, call) for at, n, call in simulation._pending_ends
    ]
    heapq.heapify(simulation._pending_ends)
    simulation.run(seconds, 200)
    counts = simulation.count_since(simulation.now - 2.0)
    assert counts["e0"] * 100 >= share * counts.total(), counts


@behave.when("endpoint 0 stalls while 1 call is outstanding for {ms:d} ms")
def stall_endpoint(context: runner.Context, ms: int) -> None:
    simulation = context.simulation
    simulation.run(2.0, 200)
    simulation.now += 1.0
    simulation._finish_due_calls()
    simulation.router.start_attempt("e0", CLASS_NAME, simulation.now)
    simulation.now += ms / 1000


@behave.then("the next {n_choices:d} choices avoid endpoint 0")
def check_avoided(context: runner.Context, n_choices: int) -> None:
    keys = {context.simulation.choose() for _ in range(n_choices)}
    assert "e0" not in keys, keys


@behave.when("it receives calls for {seconds:d} s at {rate:d} calls a second")
def run_steadily(context: runner.Context, seconds: int, rate: int) -> None:
    context.simulation.run(seconds, rate)


@behave.then("each endpoint gets {low:d} to {high:d} % of the calls")
def check_even_spread(context: runner.Context, low: int, high: int) -> None:
    counts = context.simulation.count_since(0.0)
    for endpoint in context.simulation.candidates:
        share = 100 * counts[endpoint.key] / counts.total()
        assert low <= share <= high, counts


@behave.when("a fifth endpoint is added")
def add_endpoint(context: runner.Context) -> None:
    simulation = context.simulation
    simulation.candidates.append(build_candidate(4))
    simulation.seconds["e4"] = 0.005
    context.added_at = simulation.now
    simulation.run(1.0, 200)


@behave.then(
    "the fifth endpoint gets {low:d} to {high:d} % of the calls in the first second"
)
def check_slow_start(context: runner.Context, low: int, high: int) -> None:
    counts = context.simulation.count_since(context.added_at)
    share = 100 * counts["e4"] / counts.total()
    assert low <= share <= high, counts


@behave.given(
    "an endpoint whose last report states {n_running:d} running calls, "
    "0 of them from this daemon"
)
def build_stats(context: runner.Context, n_running: int) -> None:
    context.stats = routing.EndpointStats(0.0, 0.001)
    context.stats.record_report(routing.LoadReport(n_running, 0, 4), 10.0)


@behave.then(
    "its estimated load is {load:d} immediately and the average of {mean:d} after 2 s"
)
def check_report_decay(context: runner.Context, load: int, mean: int) -> None:
    assert context.stats.estimate_load(10.0, float(mean), 0.02) == load
    assert abs(context.stats.estimate_load(12.0, float(mean), 0.02) - mean) < 0.01


@behave.given(
    'the router "finish_time" in zone az1 with one endpoint there and three in az2'
)
def build_zone_router(context: runner.Context) -> None:
    router = routing.build_router("finish_time", "az1", "r1", random.Random(3))
    candidates = [build_candidate(index) for index in range(4)]
    for index in (1, 2, 3):
        candidates[index] = candidates[index]._replace(
            availability_zone="az2", n_slots=100
        )
    candidates[0] = candidates[0]._replace(n_slots=100)
    context.zone_router = (router, candidates)


@behave.when(
    "the endpoint of az1 answers in {own:d} ms, the others in {other:d} ms, bodies "
    "have {n_bytes:d} bytes and targets are {slack_ms:d} ms away"
)
def route_bodies(
    context: runner.Context, own: int, other: int, n_bytes: int, slack_ms: int
) -> None:
    router, candidates = context.zone_router
    now = 10.0
    # Each endpoint has statistics before the choices that are counted.
    for _ in range(20):
        for endpoint in candidates:
            seconds = (own if endpoint.availability_zone == "az1" else other) / 1000
            call = router.start_attempt(endpoint.key, CLASS_NAME, now)
            result = routing.AttemptResult.ANSWERED
            router.end_attempt(
                call, routing.Observation(result, seconds, seconds), now + seconds
            )
        now += 0.3
    context.n_own_zone = 0
    for _ in range(100):
        attributes = routing.CallAttributes(n_bytes, slack_ms / 1000)
        decision = router.choose(CLASS_NAME, candidates, frozenset(), now, attributes)
        assert decision is not None
        must_stay_in_zone = n_bytes >= 16_384 and slack_ms > own
        assert decision.is_only_in_zone == must_stay_in_zone
        context.n_own_zone += decision.candidate.availability_zone == "az1"


@behave.then("{share} of the calls go to az1")
def check_zone_share(context: runner.Context, share: str) -> None:
    if share == "nearly all":
        assert context.n_own_zone >= 95, context.n_own_zone
    else:
        assert context.n_own_zone <= 5, context.n_own_zone


@behave.given(
    'the router "finish_time" in zone az1 with {n_endpoints:d} endpoints over '
    "{n_zones:d} zones"
)
def build_zones(context: runner.Context, n_endpoints: int, n_zones: int) -> None:
    simulation = RouterSimulation("finish_time", n_endpoints, 0.02)
    simulation.candidates = [
        endpoint._replace(availability_zone=f"az{index % n_zones + 1}")
        for index, endpoint in enumerate(simulation.candidates)
    ]
    context.simulation = simulation


@behave.when("the endpoints of az1 answer in {own:d} ms, all others in {other:d} ms")
def run_with_zones(context: runner.Context, own: int, other: int) -> None:
    simulation = context.simulation
    for endpoint in simulation.candidates:
        ms = own if endpoint.availability_zone == "az1" else other
        simulation.seconds[endpoint.key] = ms / 1000
    simulation.run(5.0, 100.0)
    context.since = simulation.now
    simulation.run(20.0, 100.0)


@behave.then("{least:d} to {most:d} % of the calls go to az1, evenly to its endpoints")
def check_zones(context: runner.Context, least: int, most: int) -> None:
    simulation = context.simulation
    counts = simulation.count_since(context.since)
    own_zone_keys = [
        endpoint.key
        for endpoint in simulation.candidates
        if endpoint.availability_zone == "az1"
    ]
    n_calls_by_key = [counts[key] for key in own_zone_keys]
    share = 100 * sum(n_calls_by_key) / counts.total()
    assert least <= share <= most, share
    if least:
        assert max(n_calls_by_key) <= 2 * min(n_calls_by_key), n_calls_by_key
