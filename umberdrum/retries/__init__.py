"""Limits on retries and hedges: rules, budgets and the allowance of nested calls."""

from umberdrum.retries._allowance import (
    DEFAULT_EXTRA_ATTEMPTS,
    MAX_EXTRA_ATTEMPTS,
    AttemptAllowance,
)
from umberdrum.retries._budget import RetryBudget, RetryBudgetRegistry, SharedRetryLimit
from umberdrum.retries._rules import may_retry

__all__ = [
    "DEFAULT_EXTRA_ATTEMPTS",
    "MAX_EXTRA_ATTEMPTS",
    "AttemptAllowance",
    "RetryBudget",
    "RetryBudgetRegistry",
    "SharedRetryLimit",
    "may_retry",
]
