"""Steps on the measuring budget."""

import random

import behave
from behave import runner

from umberdrum import measuring

N_ASKED = 5000


@behave.when("bursts ask for far more than {cap:d} bytes a second")
def spend_in_bursts(context: runner.Context, cap: int) -> None:
    rng = random.Random(3)
    budget = measuring.MeasuringBudget(cap)
    context.budget = budget
    context.spent = []
    now = 0.0
    for _ in range(N_ASKED):
        now += rng.choice((0.0, 0.0, 0.0001, 0.01, 0.3))
        n_bytes = rng.randrange(1, 200)
        use = rng.choice(list(measuring.MeasuringUse))
        if budget.spend(use, n_bytes, now):
            context.spent.append((now, n_bytes))


@behave.then("no second spends more than {cap:d} bytes")
def check_windows(context: runner.Context, cap: int) -> None:
    for start, _ in context.spent:
        n_bytes = sum(n for at, n in context.spent if start <= at < start + 1.0)
        assert n_bytes <= cap, (start, n_bytes)
    assert bool(context.spent) == (cap > 0)


@behave.then("what is counted as spent is what was allowed")
def check_counts(context: runner.Context) -> None:
    total = sum(context.budget.spent_bytes.values())
    assert total == sum(n for _, n in context.spent)


@behave.when("the cap falls from {high:d} to {low:d} bytes a second")
def lower_cap(context: runner.Context, high: int, low: int) -> None:
    budget = measuring.MeasuringBudget(high)
    use = measuring.MeasuringUse.POLL
    assert budget.spend(use, high, 0.0)
    budget.bytes_per_second = low
    context.late = [
        at for at in range(1, 400) if budget.spend(use, 10, 0.5 + at * 0.01)
    ]


@behave.then(
    "no second after the change spends more than {cap:d} bytes beyond what was spent"
)
def check_lowered(context: runner.Context, cap: int) -> None:
    assert min(context.late) >= 50, "spent while the second was already full"
    for start in context.late:
        n_bytes = sum(10 for at in context.late if start <= at < start + 100)
        assert n_bytes <= cap, n_bytes
