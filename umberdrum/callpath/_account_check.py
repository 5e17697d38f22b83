"""Client account of a request, found by the key that its head carries."""

import expression

from umberdrum import accounts, errors
from umberdrum.callpath import _dialect, _headers

AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer"

IdentifyResult = expression.Result[accounts.Account | None, errors.Failure]


def identify_account(
    table: accounts.AccountTable, headers: _headers.HeaderFields, is_public: bool
) -> IdentifyResult:
    """Return the account of a request, None for a public one without a known key.

    The key is expected as ``Authorization: Bearer KEY``, which may be repeated. A
    request on a route that is not public fails without the key of an account. The
    failure doesn't repeat the key.
    """
    values = {value for name, value in headers if name == AUTHORIZATION}
    account: accounts.Account | None = None
    if len(values) == 1:
        scheme, _, key = next(iter(values)).partition(b" ")
        if scheme.lower() == KEY_SCHEME:
            account = table.find_by_key(key.strip())
    if account is not None or is_public:
        return expression.Ok(account)
    found = "an unknown key" if values else "no key"
    detail = f"expected the key of a client account, found {found}"
    return expression.Error(errors.fail(errors.ErrorKind.UNKNOWN_ACCOUNT, detail))


def replace_key(
    headers: _headers.HeaderFields,
    account: accounts.Account | None,
    dialect: _dialect.Dialect,
) -> _headers.HeaderFields:
    """Return the fields with the name of the account in place of its key."""
    kept: _headers.HeaderFields = []
    for name, value in headers:
        if name not in (AUTHORIZATION, dialect.account):
            kept.append((name, value))
    if account is not None and dialect.account:
        kept.append((dialect.account, account.name.encode("ascii")))
    return kept
