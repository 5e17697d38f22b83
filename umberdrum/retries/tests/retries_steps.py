"""Steps for retry rules, retry budgets and attempt allowances."""

import behave
from behave import runner

from umberdrum import errors, retries


@behave.then(
    'after "{kind}" with "{execution}" a "{request}" request may be retried: {answer}'
)
def check_rule(
    context: runner.Context, kind: str, execution: str, request: str, answer: str
) -> None:
    failure = errors.fail(errors.ErrorKind[kind], "", errors.Execution[execution])
    is_retryable = retries.may_retry(failure, request == "idempotent")
    assert is_retryable == (answer == "yes"), failure


def _count_leaf_calls(depth: int, n_extra: int) -> int:
    if depth == 0:
        return 1
    allowance = retries.AttemptAllowance(n_extra)
    n_calls = 0
    index = 0
    while allowance.allows(index):
        n_calls += _count_leaf_calls(depth - 1, allowance.get_nested_allowance(index))
        index += 1
    return n_calls


@behave.when(
    "every call of a chain of depth {depth:d} fails and is retried as often as allowed"
)
def run_chain(context: runner.Context, depth: int) -> None:
    context.n_calls = _count_leaf_calls(depth, retries.DEFAULT_EXTRA_ATTEMPTS)


@behave.then("the last service gets at most {n_calls:d} calls for one call at the top")
def check_chain(context: runner.Context, n_calls: int) -> None:
    assert context.n_calls <= n_calls, context.n_calls


@behave.when("{n_calls:d} calls each request {n_extra:d} extra attempts")
def spend_budget(context: runner.Context, n_calls: int, n_extra: int) -> None:
    budget = retries.RetryBudget()
    context.n_spent = 0
    for _ in range(n_calls):
        budget.record_call()
        for _ in range(n_extra):
            context.n_spent += budget.try_spend()


@behave.then("between {low:d} and {high:d} extra attempts are made")
def check_budget(context: runner.Context, low: int, high: int) -> None:
    assert low <= context.n_spent <= high, context.n_spent


@behave.given(
    "{n_daemons:d} daemons that share {n_extra:d} extra attempts and a share of 0.2"
)
def build_shared_budgets(context: runner.Context, n_daemons: int, n_extra: int) -> None:
    context.n_known_daemons = n_daemons
    shared_limit = retries.SharedRetryLimit(float(n_extra), 0.2, 0.5)
    context.registries = [
        retries.RetryBudgetRegistry(shared_limit, lambda: context.n_known_daemons)
        for _ in range(n_daemons)
    ]


@behave.when(
    "each sends {n_calls:d} calls in ten seconds that all request a second attempt"
)
def request_extra_attempts(context: runner.Context, n_calls: int) -> None:
    context.n_extra_attempts = 0
    for registry in context.registries:
        for _ in range(n_calls):
            budget = registry.get_budget("cards")
            budget.record_call()
            if budget.try_spend():
                context.n_extra_attempts += 1


@behave.then("together they make at most {most:d} extra attempts")
def check_shared_limit(context: runner.Context, most: int) -> None:
    assert 0 < context.n_extra_attempts <= most, context.n_extra_attempts


@behave.when("the first of them forgets the other 10")
def forget_daemons(context: runner.Context) -> None:
    registry = context.registries[0]
    context.max_tokens_before = registry.get_budget("cards").max_tokens
    context.n_known_daemons = 1
    context.max_tokens_after = registry.get_budget("cards").max_tokens


@behave.then("the maximum of its budget is unchanged")
def check_max_tokens(context: runner.Context) -> None:
    assert context.max_tokens_after == context.max_tokens_before, (
        context.max_tokens_before,
        context.max_tokens_after,
    )
