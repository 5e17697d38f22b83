"""Steps on allotments that hold across daemons."""

import random
from collections.abc import Awaitable, Callable

import behave
import trio
import trio.testing
from behave import runner

from umberdrum import accounts, allotments
from umberdrum.allotments.tests import fleet

WINDOW_SECONDS = 5.0
# What the users allow in a window beyond the allotment.
OVER_SHARE = 0.1
N_DAEMONS = 8
N_LARGE_FLEET = 64
HISTORY_SECONDS = 14.0
RATE = 40.0
BURST = 40.0
FAULT_INTERVAL_SECONDS = 1.2
# A fleet in operation: grantors have earned what the bursts allow.
SETTLE_SECONDS = 10.0

FleetTest = Callable[[fleet.Fleet], Awaitable[None]]


def build_account(name: str, rate: float, burst: float) -> accounts.Account:
    return accounts.Account(name, (), 0, rate, burst)


def run_fleet(
    test: FleetTest,
    account_list: list[accounts.Account],
    n_daemons: int = N_DAEMONS,
    seed: int = 1,
    has_faulty_links: bool = True,
) -> fleet.Fleet:
    """Run ``test`` on a fleet with a virtual clock, and return the fleet."""

    async def run() -> fleet.Fleet:
        async with trio.open_nursery() as nursery:
            rng = random.Random(seed)
            site = fleet.Fleet(nursery, rng, n_daemons, account_list, has_faulty_links)
            await test(site)
            nursery.cancel_scope.cancel()
        return site

    # No socket is used, so the clock need not wait for the kernel before it jumps.
    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


async def inject_fault(site: fleet.Fleet) -> None:
    """Bring about one fault at random."""
    rng = site.rng
    names = list(site.daemons)
    seconds = rng.uniform(0.2, 4.0)
    kind = rng.choice(("kill", "suspend", "cut", "kill_all", "lower"))
    if kind == "kill":
        await site.kill(rng.choice(names), seconds)
    elif kind == "suspend":
        await site.suspend(rng.choice(names), seconds)
    elif kind == "cut":
        await site.cut(rng.sample(names, rng.randint(1, len(names) // 2)), seconds)
    elif kind == "kill_all":
        async with trio.open_nursery() as nursery:
            for name in names:
                if site.daemons[name].is_running:
                    nursery.start_soon(site.kill, name, rng.uniform(0.3, 1.5))


async def send_in_bursts(site: fleet.Fleet) -> None:
    """Send far more than the limit, and nothing in between, so that bursts fill up."""
    while True:
        busy_seconds = site.rng.uniform(0.3, 4.0)
        await site.send_calls("hot", RATE * 6, site.choose_any, busy_seconds)
        await trio.sleep(site.rng.uniform(0.0, 3.0))


def run_history(seed: int) -> int:
    """Run a history of kills, cuts, suspensions; return the most calls in a window."""

    async def test(site: fleet.Fleet) -> None:
        site.nursery.start_soon(send_in_bursts, site)
        ends_at = trio.current_time() + HISTORY_SECONDS
        while trio.current_time() < ends_at:
            await trio.sleep(site.rng.expovariate(1 / FAULT_INTERVAL_SECONDS))
            busy = [row for row in site.daemons.values() if row.is_suspended]
            dead = [row for row in site.daemons.values() if not row.is_running]
            if not busy and not dead and set(site.sides.values()) == {0}:
                site.nursery.start_soon(inject_fault, site)

    site = run_fleet(test, [build_account("hot", RATE, BURST)], seed=seed)
    return fleet.count_most_in_window(site.passed_at["hot"], WINDOW_SECONDS)


def get_bound(rate: float, burst: float) -> float:
    return (rate * WINDOW_SECONDS + burst) * (1 + OVER_SHARE) + fleet.N_SLACK_REQUESTS


@behave.when("{n_histories:d} histories of faults are run from seed {first:d} on")
def run_histories(context: runner.Context, n_histories: int, first: int) -> None:
    context.most = {
        seed: run_history(seed) for seed in range(first, first + n_histories)
    }


@behave.then("no window of 5 s has more calls than the allotment allows")
def check_histories(context: runner.Context) -> None:
    bound = get_bound(RATE, BURST)
    over = {seed: most for seed, most in context.most.items() if most > bound}
    assert not over, (over, bound)
    assert min(context.most.values()) > 0


@behave.when(
    "an account sends {share:g} of its limit to {n_entries:d} of {n_daemons:d} daemons "
    "for {seconds:g} s"
)
def send_below_limit(
    context: runner.Context,
    share: float,
    n_entries: int,
    n_daemons: int,
    seconds: float,
) -> None:
    async def test(site: fleet.Fleet) -> None:
        entries = list(site.daemons.values())[:n_entries]
        await trio.sleep(SETTLE_SECONDS)
        await site.send_calls(
            "steady", RATE * share, lambda: site.rng.choice(entries), seconds
        )
        await trio.sleep(1.0)

    context.fleet = run_fleet(
        test,
        [build_account("steady", RATE, BURST)],
        n_daemons,
        has_faulty_links=False,
    )


@behave.when(
    "the grantor of an account is killed while it sends {share:g} of its limit"
)
def kill_grantor(context: runner.Context, share: float) -> None:
    async def test(site: fleet.Fleet) -> None:
        await trio.sleep(SETTLE_SECONDS)
        grantors = site.daemons["d0"].grantee.list_grantors("steady")
        entries = [
            row for row in site.daemons.values() if row.member not in set(grantors)
        ]
        site.nursery.start_soon(
            site.send_calls,
            "steady",
            RATE * share,
            lambda: site.rng.choice(entries),
            8.0,
        )
        await trio.sleep(3.0)
        await site.kill(grantors[0].daemon_id, 4.0)
        await trio.sleep(2.0)

    context.fleet = run_fleet(
        test, [build_account("steady", RATE, BURST)], has_faulty_links=False
    )


@behave.then('at most {percent:d} in 100 of the calls of "{name}" are refused')
def check_refused(context: runner.Context, percent: int, name: str) -> None:
    n_passed = len(context.fleet.passed_at[name])
    n_refused = len(context.fleet.refused_at[name])
    assert n_passed > 50, n_passed
    assert n_refused <= percent / 100 * (n_passed + n_refused), (n_passed, n_refused)


@behave.when("the limit is lowered from {before:g} to {after:g} a second under load")
def lower_limit(context: runner.Context, before: float, after: float) -> None:
    async def test(site: fleet.Fleet) -> None:
        await trio.sleep(SETTLE_SECONDS)
        site.nursery.start_soon(
            site.send_calls, "hot", before * 3, site.choose_any, 14.0
        )
        await trio.sleep(4.0)
        site.accounts["hot"] = build_account("hot", after, after)
        context.lowered_at = trio.current_time()
        await trio.sleep(10.0)

    context.fleet = run_fleet(
        test, [build_account("hot", before, before)], has_faulty_links=False
    )
    context.rate_after = after


@behave.then("one window later no window has more than the lower limit allows")
def check_lowered(context: runner.Context) -> None:
    bound_from = context.lowered_at + WINDOW_SECONDS
    times = [at for at in context.fleet.passed_at["hot"] if at >= bound_from]
    most = fleet.count_most_in_window(times, WINDOW_SECONDS)
    rate = context.rate_after
    assert 0 < most <= get_bound(rate, rate), most


@behave.when("one of {n_accounts:d} accounts sends {factor:g} times its limit for 8 s")
def send_hot(context: runner.Context, n_accounts: int, factor: float) -> None:
    names = [f"a{index}" for index in range(n_accounts)]

    async def test(site: fleet.Fleet) -> None:
        await trio.sleep(SETTLE_SECONDS)
        async with trio.open_nursery() as nursery:
            for name in names[1:]:
                nursery.start_soon(
                    site.send_calls, name, RATE * 0.02, site.choose_any, 8.0
                )
            nursery.start_soon(
                site.send_calls, names[0], RATE * factor, site.choose_any, 8.0
            )
        await trio.sleep(1.0)

    rows = [build_account(names[0], RATE, BURST)]
    rows += [build_account(name, RATE * 0.04, 2.0) for name in names[1:]]
    context.fleet = run_fleet(test, rows, N_LARGE_FLEET, has_faulty_links=False)
    context.names = names


@behave.then(
    "the hot account gets its allotment and {percent:d} in 100 of others' pass"
)
def check_hot(context: runner.Context, percent: int) -> None:
    passed = context.fleet.passed_at
    refused = context.fleet.refused_at
    hot = context.names[0]
    most = fleet.count_most_in_window(passed[hot], WINDOW_SECONDS)
    assert RATE * WINDOW_SECONDS * 0.9 <= most <= get_bound(RATE, BURST), most
    n_passed = sum(len(passed[name]) for name in context.names[1:])
    n_refused = sum(len(refused[name]) for name in context.names[1:])
    assert n_passed >= percent / 100 * (n_passed + n_refused), (n_passed, n_refused)


@behave.then("a grantor without delegations grants nothing and refuses nothing")
def check_lone_grantor(context: runner.Context) -> None:
    account = build_account("a", RATE, BURST)
    grantor = allotments.AllotmentGrantor(lambda _name: account, lambda: 4)
    ask = allotments.AllotmentAsk(
        (), 1.2, 4, None, 0.0, (allotments.AccountAsk("a", 1),)
    )
    assert grantor.answer("d1", ask, 10.0).accounts == ()


@behave.then(
    "an ask that was under way for longer than its delegation delegates nothing"
)
def check_late_ask(context: runner.Context) -> None:
    account = build_account("a", RATE, BURST)
    grantor = allotments.AllotmentGrantor(lambda _name: account, lambda: 1)
    group = allotments.compute_group("a")
    ask = allotments.AllotmentAsk(((group, 0),), 1.2, 1, 10.0, 0.1, ())
    grantor.answer("d1", ask, 12.0)
    assert grantor.get_weight(group, 12.0) == 0.0
    grantor.answer("d1", ask, 10.5)
    assert grantor.get_weight(group, 10.5) == 0.5
    assert grantor.get_weight(group, 11.4) == 0.0


@behave.then("a half goes to another grantor only once its delegation has run out")
def check_handover(context: runner.Context) -> None:
    first = allotments.Member("d1", 1)
    second = allotments.Member("d2", 1)
    view = [first]
    placement = allotments.GrantorPlacement(lambda: view, lambda: view[0].process_id)
    grantee = allotments.AllotmentGrantee(placement, lambda: 2, 10.0)
    delegated = grantee.build_ask(first, (), 10.0)
    assert delegated.halves
    view[0] = second._replace(process_id=2)
    ends_at = 10.0 + delegated.delegation_seconds
    assert grantee.build_ask(view[0], (), 10.1).halves == ()
    assert grantee.build_ask(view[0], (), ends_at).halves == ()
    assert grantee.build_ask(view[0], (), ends_at * 1.1).halves == delegated.halves


@behave.then("a question takes no request and tells when one would be granted")
def check_question(context: runner.Context) -> None:
    account = build_account("a", 4.0, 2.0)
    grantor = allotments.AllotmentGrantor(lambda _name: account, lambda: 1)
    group = allotments.compute_group("a")
    halves = ((group, 0), (group, 1))
    ask = allotments.AllotmentAsk(halves, 9.0, 1, 10.0, 0.0, ())
    grantor.answer("d1", ask, 10.0)

    def get_answer(n_requests: int, now: float) -> tuple[int, float]:
        rows = (allotments.AccountAsk("a", n_requests),)
        plain = ask._replace(halves=(), accounts=rows)
        (row,) = grantor.answer("d2", plain, now).accounts
        return row.n_requests, row.wait_seconds

    # Two requests are left after 0.5 s at 4 a second.
    for _ in range(5):
        assert get_answer(0, 10.5) == (0, 0.0)
    assert get_answer(2, 10.5) == (2, 0.0)
    for _ in range(5):
        assert get_answer(0, 10.5) == (0, 0.25)
    assert get_answer(1, 10.5) == (0, 0.25)
    # The next token is promised.
    assert get_answer(0, 10.5) == (0, 0.5)
