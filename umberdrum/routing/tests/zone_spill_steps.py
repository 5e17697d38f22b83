"""Steps on calls that leave their zone, simulated against other policies."""

import random
import statistics

import behave
from behave import runner

from umberdrum import routing
from umberdrum.routing.tests import zone_simulation

POLICIES = ("finish_time", "nearest_first", "zone_spill")
SEEDS = (1, 2, 3)
USUAL = zone_simulation.USUAL_PER_SECOND
STEADY_FROM = 20  # tenths of a second


def simulate(
    pattern: zone_simulation.Pattern, policies: tuple[str, ...] = POLICIES
) -> dict[str, list[zone_simulation.Result]]:
    results: dict[str, list[zone_simulation.Result]] = {}
    for policy in policies:
        results[policy] = [
            zone_simulation.ZoneSimulation(policy, pattern, seed).run()
            for seed in SEEDS
        ]
    return results


def get_mean(results: list[zone_simulation.Result]) -> float:
    return statistics.mean(row.in_time for row in results)


def count_left(results: list[zone_simulation.Result]) -> int:
    return sum(sum(row.n_left) for row in results)


@behave.when(
    "one of three zones gets {factor:g} times its usual calls, and loads are told "
    "every {seconds:g} s"
)
def run_uneven(context: runner.Context, factor: float, seconds: float) -> None:
    pattern = zone_simulation.Pattern(
        (4, 4, 4), (USUAL * factor, USUAL, USUAL), report_seconds=seconds
    )
    context.results = simulate(pattern)


@behave.when(
    "one of three zones gets {factor:g} times its usual calls, with a target of "
    "{seconds:g} s"
)
def run_tight_target(context: runner.Context, factor: float, seconds: float) -> None:
    pattern = zone_simulation.Pattern(
        (4, 4, 4), (USUAL * factor, USUAL, USUAL), target_seconds=seconds
    )
    context.results = simulate(pattern, ("late_only", *POLICIES))


@behave.then('more calls are in time than with "{policy}"')
def check_in_time(context: runner.Context, policy: str) -> None:
    spill = get_mean(context.results["zone_spill"])
    other = get_mean(context.results[policy])
    assert spill > other, (policy, other, spill)


@behave.then("fewer calls leave their zone than with the policy that compares times")
def check_fewer_left(context: runner.Context) -> None:
    spill = count_left(context.results["zone_spill"])
    today = count_left(context.results["finish_time"])
    assert spill < today, (spill, today)


@behave.then("the share does not swing by more than {limit:g} after 2 s")
def check_swing(context: runner.Context, limit: float) -> None:
    for result in context.results["zone_spill"]:
        steady = result.shares[STEADY_FROM:]
        mean = statistics.mean(steady)
        swing = max(abs(share - mean) for share in steady)
        assert swing <= limit, (swing, mean)


@behave.when("the load comes back to its usual half way")
def run_returning(context: runner.Context) -> None:
    pattern = zone_simulation.Pattern(
        (4, 4, 4), (USUAL * 2.4, USUAL, USUAL), (USUAL, USUAL, USUAL)
    )
    context.results = simulate(pattern, ("zone_spill",))


@behave.then("the share ends below {limit:g}, having been above {least:g}")
def check_return(context: runner.Context, limit: float, least: float) -> None:
    for result in context.results["zone_spill"]:
        half = len(result.shares) // 2
        assert max(result.shares[:half]) >= least, result.shares
        assert result.shares[-1] <= limit, result.shares[-5:]


@behave.when("all three zones are full")
def run_full(context: runner.Context) -> None:
    pattern = zone_simulation.Pattern((4, 4, 4), (USUAL * 2.2,) * 3)
    context.results = simulate(pattern, ("zone_spill",))


@behave.then("at most {share:g} of the calls leave their zone as its share")
def check_full(context: runner.Context, share: float) -> None:
    for result in context.results["zone_spill"]:
        assert statistics.mean(result.shares[STEADY_FROM:]) <= share, result.shares


@behave.then(
    "the share is 0 without loads, and never above what the others have room for"
)
def check_share(context: runner.Context) -> None:
    spill = routing.SpillShare()
    none = routing.ZoneLoad(0.0, 0.0)
    full = routing.ZoneLoad(40.0, 20.0)
    free = routing.ZoneLoad(2.0, 20.0)
    for step in range(100):
        assert spill.update(none, free, step * 0.1) == 0.0
    for step in range(100, 200):
        assert spill.update(full, full, step * 0.1) == 0.0
    for step in range(200, 400):
        spill.update(full, free, step * 0.1)
    assert 0.1 < spill.share <= 0.9, spill.share


def build_candidates() -> list[routing.Candidate]:
    candidates: list[routing.Candidate] = []
    for zone in ("a", "b"):
        for index in range(4):
            key = f"{zone}{index}"
            candidates.append(routing.Candidate(key, zone, "r1", 5, False, False))
    return candidates


@behave.then(
    "the share of the calls leaves a full zone, also if none would be late there"
)
def check_leaving(context: runner.Context) -> None:
    router = routing.build_router("zone_spill", "a", "r1", random.Random(1))
    candidates = build_candidates()
    # No call is late within this time.
    attributes = routing.CallAttributes(0, 60.0)
    n_left = 0
    for step in range(600):
        now = step * 0.05
        decision = router.choose("lookup", candidates, frozenset(), now, attributes)
        assert decision is not None
        if step >= 200 and decision.leaves_zone_for == "home-full":
            n_left += 1
        for row in candidates:
            n_running = 5 if row.availability_zone == "a" else 0
            router.record_load(row.key, routing.LoadReport(n_running, 0, 5), now)
    # The home zone holds 1.4 times what it serves in time, and the other has room.
    assert 0.2 <= n_left / 400 <= 0.9, n_left


@behave.then("a call leaves it that is late there, 1 s after the last reports")
def check_old_reports(context: runner.Context) -> None:
    router = routing.build_router("zone_spill", "a", "r1", random.Random(1))
    candidates = build_candidates()
    # A call takes 0.01 s at an idle endpoint, until the router has seen others.
    attributes = routing.CallAttributes(0, 0.02)
    now = 0.0
    # The first choice creates the statistics, the second is past the first seconds.
    for now in (0.0, 10.0):
        router.choose("lookup", candidates, frozenset(), now, attributes)
    for row in candidates:
        n_queued = 5 if row.availability_zone == "a" else 0
        router.record_load(row.key, routing.LoadReport(n_queued, n_queued, 5), now)
    for _ in range(20):
        decision = router.choose(
            "lookup", candidates, frozenset(), now + 1.0, attributes
        )
        assert decision is not None
        assert decision.leaves_zone_for == "late-at-home", decision


@behave.then(
    "a slowness of {small:g} counts as at most {most:g}, and one of {large:g} as at "
    "least {least:g}"
)
def check_slowness(
    context: runner.Context, small: float, most: float, large: float, least: float
) -> None:
    spread = routing.ZoneSpillRouter.slowness_spread
    for slowness, low, high in ((small, 1.0, most), (large, least, large)):
        stats = routing.EndpointStats(0.0, 0.0)
        for _ in range(50):
            stats.observe_slowness(slowness, 0.0)
        counted = stats.get_slowness(0.0, spread)
        assert low <= counted <= high, (slowness, counted)
        assert stats.get_slowness(0.0) > 0.99 * slowness
