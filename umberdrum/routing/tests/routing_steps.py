"""Steps on routers, run against endpoints whose answers take fixed times."""

import collections
import heapq
import random

import behave
from behave import runner

from umberdrum import routing

CLASS_NAME = "look"


def build_candidate(index: int, is_suspected: bool = False) -> routing.Candidate:
    return routing.Candidate(f"e{index}", "az1", "r1", 4, False, is_suspected)


class RouterRun:
    """Router under a steady load on a clock of its own."""

    def __init__(self, policy: str, n_endpoints: int, seconds: float) -> None:
        self.router = routing.build_router(policy, "az1", "r1", random.Random(5))
        self.candidates = [build_candidate(index) for index in range(n_endpoints)]
        self.seconds = {row.key: seconds for row in self.candidates}
        self.failing: set[str] = set()
        self.lying: set[str] = set()
        self.now = 0.0
        self.chosen: list[tuple[float, str]] = []
        self._ends: list[tuple[float, int, routing.OutstandingCall]] = []

    def run(self, seconds: float, calls_per_second: float) -> None:
        end_at = self.now + seconds
        while self.now < end_at:
            self._finish_due()
            self._send()
            self.now += 1.0 / calls_per_second

    def choose(self) -> str:
        decision = self.router.choose(
            CLASS_NAME, self.candidates, frozenset(), self.now
        )
        assert decision is not None
        return decision.candidate.key

    def count_since(self, since: float) -> collections.Counter[str]:
        return collections.Counter(key for at, key in self.chosen if at >= since)

    def _send(self) -> None:
        key = self.choose()
        self.chosen.append((self.now, key))
        call = self.router.start_attempt(key, CLASS_NAME, self.now)
        seconds = 0.0 if key in self.failing else self.seconds[key]
        heapq.heappush(self._ends, (self.now + seconds, len(self.chosen), call))

    def _finish_due(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            at, _, call = heapq.heappop(self._ends)
            seconds = self.seconds[call.key]
            report = None
            if call.key in self.lying:
                report = routing.LoadReport(0, 0, 100)
            end = routing.AttemptResult.ANSWERED
            if call.key in self.failing:
                end = routing.AttemptResult.FAILED
            seen = routing.Observation(end, seconds, seconds, report)
            self.router.end_attempt(call, seen, at)


@behave.given(
    'the router "{policy}" over {n_endpoints:d} endpoints that answer in {ms:d} ms'
)
def build_run(context: runner.Context, policy: str, n_endpoints: int, ms: int) -> None:
    context.run = RouterRun(policy, n_endpoints, ms / 1000)


@behave.given('the router "{policy}"')
def build_router(context: runner.Context, policy: str) -> None:
    context.run = RouterRun(policy, 6, 0.01)


@behave.then(
    "it chooses only among allowed endpoints, and suspected ones only when alone"
)
def check_contract(context: runner.Context) -> None:
    router = context.run.router
    rows = [build_candidate(index, is_suspected=index < 3) for index in range(6)]
    for _ in range(100):
        decision = router.choose(CLASS_NAME, rows, frozenset(["e4"]), 1.0)
        assert decision is not None
        assert decision.candidate.key in ("e3", "e5"), decision
    only_suspected = frozenset(["e3", "e4", "e5"])
    decision = router.choose(CLASS_NAME, rows, only_suspected, 1.0)
    assert decision is not None and decision.candidate.is_suspected
    everything = frozenset(row.key for row in rows)
    assert router.choose(CLASS_NAME, rows, everything, 1.0) is None
    assert router.choose(CLASS_NAME, [], frozenset(), 1.0) is None


@behave.then("it forgets endpoints that are gone, but not calls in progress")
def check_forget(context: runner.Context) -> None:
    router = context.run.router
    busy = router.start_attempt("e1", CLASS_NAME, 1.0)
    idle = router.start_attempt("e2", CLASS_NAME, 1.0)
    seen = routing.Observation(routing.AttemptResult.ANSWERED, 0.01, 0.01)
    router.end_attempt(idle, seen, 2.0)
    router.prune_endpoints(frozenset())
    assert router.get_endpoint_stats("e2") is None
    assert router.get_endpoint_stats("e1") is not None
    router.end_attempt(busy, seen, 2.0)
    router.prune_endpoints(frozenset())
    assert router.get_endpoint_stats("e1") is None


@behave.when("endpoint 0 {behaviour}, for {seconds:d} s at {rate:d} calls a second")
def run_badly(context: runner.Context, behaviour: str, seconds: int, rate: int) -> None:
    run = context.run
    run.run(2.0, rate)
    if "never" in behaviour:
        run.seconds["e0"] = 1000.0
    elif "fails" in behaviour:
        run.failing.add("e0")
    else:
        run.seconds["e0"] = 0.1
    if "reports" in behaviour:
        run.lying.add("e0")
    run.run(seconds, rate)


@behave.then("endpoint 0 gets at most {share:d} % of the calls of the last 2 s")
def check_share(context: runner.Context, share: int) -> None:
    counts = context.run.count_since(context.run.now - 2.0)
    assert counts["e0"] * 100 <= share * counts.total(), counts


@behave.then("after {seconds:d} s of good answers it gets at least {share:d} % again")
def check_recovery(context: runner.Context, seconds: int, share: int) -> None:
    run = context.run
    run.failing.clear()
    run.lying.clear()
    run.seconds["e0"] = 0.005
    run._ends = [(min(at, run.now), n, call) for at, n, call in run._ends]
    heapq.heapify(run._ends)
    run.run(seconds, 200)
    counts = run.count_since(run.now - 2.0)
    assert counts["e0"] * 100 >= share * counts.total(), counts


@behave.when("endpoint 0 stalls while 1 call is outstanding for {ms:d} ms")
def stall(context: runner.Context, ms: int) -> None:
    run = context.run
    run.run(2.0, 200)
    run.now += 1.0
    run._finish_due()
    run.router.start_attempt("e0", CLASS_NAME, run.now)
    run.now += ms / 1000


@behave.then("the next {n_choices:d} choices avoid endpoint 0")
def check_avoided(context: runner.Context, n_choices: int) -> None:
    keys = {context.run.choose() for _ in range(n_choices)}
    assert "e0" not in keys, keys


@behave.when("it runs for {seconds:d} s at {rate:d} calls a second")
def run_steadily(context: runner.Context, seconds: int, rate: int) -> None:
    context.run.run(seconds, rate)


@behave.then("each endpoint gets {low:d} to {high:d} % of the calls")
def check_even(context: runner.Context, low: int, high: int) -> None:
    counts = context.run.count_since(0.0)
    for row in context.run.candidates:
        share = 100 * counts[row.key] / counts.total()
        assert low <= share <= high, counts


@behave.when("a fifth endpoint appears")
def add_fifth(context: runner.Context) -> None:
    run = context.run
    run.candidates.append(build_candidate(4))
    run.seconds["e4"] = 0.005
    context.appeared_at = run.now
    run.run(1.0, 200)


@behave.then("the fifth gets {low:d} to {high:d} % of the calls in the first second")
def check_ramp(context: runner.Context, low: int, high: int) -> None:
    counts = context.run.count_since(context.appeared_at)
    share = 100 * counts["e4"] / counts.total()
    assert low <= share <= high, counts


@behave.given(
    "an endpoint whose last report says {n_running:d} running of which 0 are ours"
)
def build_view(context: runner.Context, n_running: int) -> None:
    context.view = routing.EndpointStats(0.0, 0.001)
    context.view.take_report(routing.LoadReport(n_running, 0, 4), 10.0)


@behave.then("its load is {load:d} at once and the usual {usual:d} after 2 s")
def check_fading(context: runner.Context, load: int, usual: int) -> None:
    assert context.view.estimate_load(10.0, float(usual), 0.02) == load
    assert abs(context.view.estimate_load(12.0, float(usual), 0.02) - usual) < 0.01


@behave.given(
    'the router "finish_time" in zone az1 with one endpoint there and three in az2'
)
def build_zones(context: runner.Context) -> None:
    router = routing.build_router("finish_time", "az1", "r1", random.Random(3))
    rows = [build_candidate(index) for index in range(4)]
    for index in (1, 2, 3):
        rows[index] = rows[index]._replace(availability_zone="az2", n_slots=100)
    rows[0] = rows[0]._replace(n_slots=100)
    context.zones = (router, rows)


@behave.when(
    "the endpoint of az1 answers in {own:d} ms, the others in {other:d} ms, bodies "
    "have {n_bytes:d} bytes and targets are {slack_ms:d} ms away"
)
def route_bodies(
    context: runner.Context, own: int, other: int, n_bytes: int, slack_ms: int
) -> None:
    router, rows = context.zones
    now = 10.0
    # Every endpoint is known before the choices that count.
    for _ in range(20):
        for row in rows:
            seconds = (own if row.availability_zone == "az1" else other) / 1000
            call = router.start_attempt(row.key, CLASS_NAME, now)
            end = routing.AttemptResult.ANSWERED
            router.end_attempt(
                call, routing.Observation(end, seconds, seconds), now + seconds
            )
        now += 0.3
    context.n_own = 0
    for _ in range(100):
        needs = routing.CallAttributes(n_bytes, slack_ms / 1000)
        decision = router.choose(CLASS_NAME, rows, frozenset(), now, needs)
        assert decision is not None
        is_bound = n_bytes >= 16_384 and slack_ms > own
        assert decision.is_only_in_zone == is_bound
        context.n_own += decision.candidate.availability_zone == "az1"


@behave.then("{share} of the calls go to az1")
def check_zone_share(context: runner.Context, share: str) -> None:
    if share == "nearly all":
        assert context.n_own >= 95, context.n_own
    else:
        assert context.n_own <= 5, context.n_own


@behave.given(
    'the router "finish_time" in zone az1 with {n_endpoints:d} endpoints over '
    "{n_zones:d} zones"
)
def build_many_zones(context: runner.Context, n_endpoints: int, n_zones: int) -> None:
    run = RouterRun("finish_time", n_endpoints, 0.02)
    run.candidates = [
        row._replace(availability_zone=f"az{index % n_zones + 1}")
        for index, row in enumerate(run.candidates)
    ]
    context.run = run


@behave.when("the endpoints of az1 answer in {own:d} ms, all others in {other:d} ms")
def run_zones(context: runner.Context, own: int, other: int) -> None:
    run = context.run
    for row in run.candidates:
        ms = own if row.availability_zone == "az1" else other
        run.seconds[row.key] = ms / 1000
    run.run(5.0, 100.0)
    context.since = run.now
    run.run(20.0, 100.0)


@behave.then("{least:d} to {most:d} % of the calls go to az1, evenly to its endpoints")
def check_zones(context: runner.Context, least: int, most: int) -> None:
    run = context.run
    counts = run.count_since(context.since)
    near = [row.key for row in run.candidates if row.availability_zone == "az1"]
    n_near = [counts[key] for key in near]
    share = 100 * sum(n_near) / counts.total()
    assert least <= share <= most, share
    if least:
        assert max(n_near) <= 2 * min(n_near), n_near
