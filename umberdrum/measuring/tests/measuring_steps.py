"""Steps for the measuring budget."""

import random

import behave
from behave import runner

from umberdrum import measuring

N_REQUESTS = 5000


@behave.when("bursts request far more than {limit:d} bytes a second")
def request_bursts(context: runner.Context, limit: int) -> None:
    rng = random.Random(3)
    budget = measuring.MeasuringBudget(limit)
    context.budget = budget
    context.spent = []
    now = 0.0
    for _ in range(N_REQUESTS):
        now += rng.choice((0.0, 0.0, 0.0001, 0.01, 0.3))
        n_bytes = rng.randrange(1, 200)
        use = rng.choice(list(measuring.MeasuringUse))
        if budget.spend(use, n_bytes, now):
            context.spent.append((now, n_bytes))


@behave.then("at most {limit:d} bytes are spent in any second")
def check_windows(context: runner.Context, limit: int) -> None:
    for start, _ in context.spent:
        n_bytes = sum(n for at, n in context.spent if start <= at < start + 1.0)
        assert n_bytes <= limit, (start, n_bytes)
    assert bool(context.spent) == (limit > 0)


@behave.then("the counted bytes equal the bytes that were allowed")
def check_counts(context: runner.Context) -> None:
    total_bytes = sum(context.budget.spent_bytes.values())
    assert total_bytes == sum(n for _, n in context.spent)


@behave.when("the limit is lowered from {high:d} to {low:d} bytes a second")
def lower_limit(context: runner.Context, high: int, low: int) -> None:
    budget = measuring.MeasuringBudget(high)
    use = measuring.MeasuringUse.POLL
    assert budget.spend(use, high, 0.0)
    budget.bytes_per_second = low
    # A step is 10 ms, so a second has 100 steps. The earlier bytes expire in step 50.
    context.spent_steps = [
        step for step in range(1, 400) if budget.spend(use, 10, 0.5 + step * 0.01)
    ]


@behave.then(
    "after the earlier bytes expire, at most {limit:d} bytes are spent in any second"
)
def check_lowered_limit(context: runner.Context, limit: int) -> None:
    assert min(context.spent_steps) >= 50, "spent before the earlier bytes expired"
    for start in context.spent_steps:
        n_bytes = sum(10 for step in context.spent_steps if start <= step < start + 100)
        assert n_bytes <= limit, n_bytes
