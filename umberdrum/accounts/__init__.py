"""Client accounts: keys, priorities and allotments."""

from umberdrum.accounts._account import (
    Account,
    AccountTable,
    build_account_table,
    compute_key_digest,
)
from umberdrum.accounts._usage import (
    MAX_COUNTED_ACCOUNTS,
    AccountOutcome,
    AccountUsage,
    UsageRow,
)

__all__ = [
    "MAX_COUNTED_ACCOUNTS",
    "Account",
    "AccountOutcome",
    "AccountTable",
    "AccountUsage",
    "UsageRow",
    "build_account_table",
    "compute_key_digest",
]
