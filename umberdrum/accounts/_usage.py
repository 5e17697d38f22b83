"""Counts of the requests of each client account at one entry daemon."""

import enum
from typing import NamedTuple

MAX_COUNTED_ACCOUNTS = 20_000


class AccountOutcome(enum.Enum):
    """What became of a request of an account.

    ``OVER_LIMIT`` was refused because the allotment was used up, ``REFUSED`` for any
    other reason that left it not run. ``FAILED`` may have run without an answer.
    """

    SERVED = "served"
    OVER_LIMIT = "over_limit"
    REFUSED = "refused"
    FAILED = "failed"


class UsageRow(NamedTuple):
    """Requests of one account since the start of the daemon."""

    account: str
    n_asked: int = 0
    n_served: int = 0
    n_over_limit: int = 0
    n_refused: int = 0
    n_failed: int = 0


class AccountUsage:
    """Counts requests by account and outcome; the largest accounts come first."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[AccountOutcome, int]] = {}

    def record(self, account: str, outcome: AccountOutcome) -> None:
        """Count one request that has ended."""
        counts = self._counts.get(account)
        if counts is None:
            if len(self._counts) >= MAX_COUNTED_ACCOUNTS:
                return
            counts = self._counts[account] = dict.fromkeys(AccountOutcome, 0)
        counts[outcome] += 1

    def list_largest(self, n_accounts: int) -> list[UsageRow]:
        """Return the accounts with the most requests, largest first."""
        rows = [_build_row(name, counts) for name, counts in self._counts.items()]
        rows.sort(key=lambda row: (-row.n_asked, row.account))
        return rows[:n_accounts]


def _build_row(name: str, counts: dict[AccountOutcome, int]) -> UsageRow:
    return UsageRow(
        name,
        sum(counts.values()),
        counts[AccountOutcome.SERVED],
        counts[AccountOutcome.OVER_LIMIT],
        counts[AccountOutcome.REFUSED],
        counts[AccountOutcome.FAILED],
    )
