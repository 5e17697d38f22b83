"""Client accounts of an operator, found by the keys of their requests."""

import hashlib
import math
import re
from collections.abc import Sequence
from typing import NamedTuple

import expression

from umberdrum import errors

KEY_DIGEST_BYTES = 16
MAX_PRIORITY = 1000
# The name is sent to upstreams in a header field.
_NAME_PATTERN = re.compile(r"[!-~]{1,200}")

AccountTableResult = expression.Result["AccountTable", errors.Failure]


class Account(NamedTuple):
    """Client account with its keys, priority and allotment.

    Only digests of the keys are kept, so that no key can reach a log or another
    process. ``priority`` goes before the priority of routes; 0 is the highest.
    ``rate_per_second`` and ``burst`` are the requests that all daemons together let
    through; a rate of 0 means no limit.

    Example: ``Account("dairy", (compute_key_digest(b"k1"),), 1, 20.0, 40.0)``.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int
    rate_per_second: float
    burst: float

    @property
    def is_limited(self) -> bool:
        """Whether the account has an allotment."""
        return self.rate_per_second > 0


class AccountTable:
    """Immutable set of accounts, created only by ``build_account_table``.

    ``has_limits`` says whether any account has an allotment.
    """

    def __init__(self, accounts: Sequence[Account]) -> None:
        self._by_name = {account.name: account for account in accounts}
        self._by_digest: dict[bytes, Account] = {}
        for account in accounts:
            for digest in account.key_digests:
                self._by_digest[digest] = account
        self.has_limits = any(account.is_limited for account in accounts)

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def accounts(self) -> list[Account]:
        """All accounts, sorted by name."""
        return [self._by_name[name] for name in sorted(self._by_name)]

    def get(self, name: str) -> Account | None:
        """Return the account ``name``, or None if it does not exist."""
        return self._by_name.get(name)

    def find_by_key(self, key: bytes) -> Account | None:
        """Return the account that holds ``key``, or None if no account does."""
        return self._by_digest.get(compute_key_digest(key))


def compute_key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


def build_account_table(accounts: Sequence[Account]) -> AccountTableResult:
    """Return the table, or a failure that names the first invalid account."""
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for account in accounts:
        error = _validate_account(account)
        if error:
            return _fail(f"account {account.name!r}: {error}")
        if account.name in names:
            return _fail(f"account {account.name!r}: expected one with this name")
        names.add(account.name)
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                return _fail(
                    f"account {account.name!r}: expected keys of its own, found one of "
                    f"{owner!r}"
                )
    return expression.Ok(AccountTable(accounts))


def _validate_account(account: Account) -> str:
    """Return a description of the first error, or an empty string if valid."""
    if not _NAME_PATTERN.fullmatch(account.name):
        return "name: expected 1 to 200 visible characters"
    if not 0 <= account.priority <= MAX_PRIORITY:
        return f"priority: expected 0 to {MAX_PRIORITY}, found {account.priority}"
    for name, value in (
        ("rate a second", account.rate_per_second),
        ("burst", account.burst),
    ):
        if not 0 <= value < math.inf:
            return f"{name}: expected 0 or more, found {value}"
    return ""


def _fail(detail: str) -> AccountTableResult:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_ROUTES, detail))
