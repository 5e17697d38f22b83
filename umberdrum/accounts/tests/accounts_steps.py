"""Steps on client accounts."""

import behave
from behave import runner

from umberdrum import accounts, callpath


def build_account(name: str, *keys: bytes, rate: float = 0.0) -> accounts.Account:
    digests = tuple(accounts.compute_key_digest(key) for key in keys)
    return accounts.Account(name, digests, 0, rate, rate)


@behave.given('the account "{name}" with the keys "{keys}"')
def set_account(context: runner.Context, name: str, keys: str) -> None:
    rows = getattr(context, "rows", [])
    rows.append(build_account(name, *(key.encode() for key in keys.split())))
    context.rows = rows


@behave.then('"{authorization}" gives "{result}"')
def check_identified(context: runner.Context, authorization: str, result: str) -> None:
    _check_identified(context, [authorization], result)


@behave.then('"{authorization}", sent twice, gives "{result}"')
def check_repeated(context: runner.Context, authorization: str, result: str) -> None:
    _check_identified(context, [authorization] * 2, result)


@behave.then('"{first}" and "{second}" together give "{result}"')
def check_different(
    context: runner.Context, first: str, second: str, result: str
) -> None:
    _check_identified(context, [first, second], result)


def _check_identified(
    context: runner.Context, authorizations: list[str], result: str
) -> None:
    table = accounts.build_account_table(context.rows).ok
    fields = [(b"authorization", value.encode()) for value in authorizations]
    identified = callpath.identify_account(table, fields, is_public=False)
    if result in ("401", "none"):
        public = callpath.identify_account(table, fields, is_public=True)
        assert identified.is_error(), identified
        for value in authorizations:
            assert value.split()[-1] not in identified.error.detail
        assert public.is_ok() and public.ok is None
        return
    assert identified.is_ok(), identified
    assert identified.ok is not None
    assert identified.ok.name == result, identified


@behave.then('the table is refused with "{text}"')
def check_refused(context: runner.Context, text: str) -> None:
    built = accounts.build_account_table(context.rows)
    assert built.is_error()
    assert text in built.error.detail, built.error.detail


@behave.then("no part of the table holds a key")
def check_digests(context: runner.Context) -> None:
    table = accounts.build_account_table(context.rows).ok
    assert "first" not in repr(table.accounts), table.accounts


@behave.then("the usage lists accounts with most requests first")
def check_usage(context: runner.Context) -> None:
    usage = accounts.AccountUsage()
    for outcome in accounts.AccountOutcome:
        usage.record("large", outcome)
    usage.record("small", accounts.AccountOutcome.SERVED)
    assert usage.list_largest(1) == [accounts.UsageRow("large", 4, 1, 1, 1, 1)]
    assert [row.account for row in usage.list_largest(9)] == ["large", "small"]
