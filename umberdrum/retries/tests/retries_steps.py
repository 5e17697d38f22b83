"""Steps on retries."""

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
    found = retries.may_retry(failure, request == "idempotent")
    assert found == (answer == "yes"), failure


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
    "every call of a chain {depth:d} deep fails and is tried as often as allowed"
)
def run_chain(context: runner.Context, depth: int) -> None:
    context.n_calls = _count_leaf_calls(depth, retries.DEFAULT_EXTRA_ATTEMPTS)


@behave.then("the last service sees at most {n_calls:d} calls for one at the top")
def check_chain(context: runner.Context, n_calls: int) -> None:
    assert context.n_calls <= n_calls, context.n_calls


@behave.when("{n_calls:d} calls each want {n_extra:d} extra attempts")
def spend_budget(context: runner.Context, n_calls: int, n_extra: int) -> None:
    budget = retries.RetryBudget()
    context.n_taken = 0
    for _ in range(n_calls):
        budget.record_call()
        for _ in range(n_extra):
            context.n_taken += budget.try_spend()


@behave.then("between {low:d} and {high:d} extra attempts are made")
def check_budget(context: runner.Context, low: int, high: int) -> None:
    assert low <= context.n_taken <= high, context.n_taken


@behave.given(
    "{n_daemons:d} daemons that share {n_extra:d} extra attempts and a share of 0.2"
)
def share_allowance(context: runner.Context, n_daemons: int, n_extra: int) -> None:
    context.n_known = n_daemons
    allowance = retries.SharedRetryLimit(float(n_extra), 0.2, 0.5)
    context.sources = [
        retries.RetryBudgetRegistry(allowance, lambda: context.n_known)
        for _ in range(n_daemons)
    ]


@behave.when(
    "each sends {n_calls:d} calls in ten seconds that all want a second attempt"
)
def want_extra(context: runner.Context, n_calls: int) -> None:
    context.n_made = 0
    for source in context.sources:
        for _ in range(n_calls):
            budget = source.get_budget("cards")
            budget.record_call()
            if budget.try_spend():
                context.n_made += 1


@behave.then("together they make at most {most:d} extra attempts")
def check_shared(context: runner.Context, most: int) -> None:
    assert 0 < context.n_made <= most, context.n_made


@behave.when("10 of them are forgotten")
def forget_daemons(context: runner.Context) -> None:
    source = context.sources[0]
    context.before = source.get_budget("cards").max_tokens
    context.n_known = 1
    context.after = source.get_budget("cards").max_tokens


@behave.then("the budget of the last one keeps its bound")
def check_bound(context: runner.Context) -> None:
    assert context.after == context.before, (context.before, context.after)
