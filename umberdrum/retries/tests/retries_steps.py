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
        n_calls += _count_leaf_calls(depth - 1, allowance.hand_on(index))
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
            context.n_taken += budget.take()


@behave.then("between {low:d} and {high:d} extra attempts are made")
def check_budget(context: runner.Context, low: int, high: int) -> None:
    assert low <= context.n_taken <= high, context.n_taken
