"""Token buckets that keep extra attempts a small share of calls."""

from collections.abc import Callable
from typing import NamedTuple

EXTRA_SHARE = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Budget of extra attempts towards one service at one entry daemon.

    Each call adds ``extra_share`` of a token and each retry or hedge takes a whole one,
    so that extra attempts stay near that share of calls when a whole service is slow.
    It never delays an attempt: without a token the attempt is not made.
    """

    def __init__(
        self,
        n_tokens: float = MAX_TOKENS,
        max_tokens: float = MAX_TOKENS,
        extra_share: float = EXTRA_SHARE,
    ) -> None:
        self._n_tokens = n_tokens
        self.max_tokens = max_tokens
        self._extra_share = extra_share

    @property
    def n_tokens(self) -> float:
        """Tokens that are left."""
        return self._n_tokens

    def record_call(self) -> None:
        """Add what one first attempt earns."""
        self._n_tokens = min(self.max_tokens, self._n_tokens + self._extra_share)

    def try_spend(self) -> bool:
        """Take one token and return True, or return False when none is left."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return a token for an attempt that reached no upstream."""
        self._n_tokens = min(self.max_tokens, self._n_tokens + 1.0)


class SharedRetryLimit(NamedTuple):
    """Extra attempts that all daemons together may make towards one service.

    In any window that the operators judge, these may be ``n_extra`` and ``share`` of
    the calls. ``safety`` is the part of both that is used, so that repeats which are
    counted elsewhere still fit.
    """

    n_extra: float
    share: float
    safety: float


class RetryBudgetRegistry:
    """Retry budgets of one daemon, one for each service.

    With a shared allowance each daemon takes an equal part of it, reckoned with the
    largest number of daemons that was known: one that knows few of them would take too
    much. Its buckets begin empty for the same reason.
    """

    def __init__(
        self,
        allowance: SharedRetryLimit | None = None,
        count_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        self._allowance = allowance
        self._count_daemons = count_daemons
        self._most_daemons = 1
        self._budgets: dict[str, RetryBudget] = {}

    def get_budget(self, service: str) -> RetryBudget:
        """Return the retry budget towards ``service``."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._build_budget()
        if self._allowance is not None:
            budget.max_tokens = self._get_part(self._allowance)
        return budget

    def _build_budget(self) -> RetryBudget:
        if self._allowance is None:
            return RetryBudget()
        share = self._allowance.share * self._allowance.safety
        return RetryBudget(0.0, 1.0, share)

    def _get_part(self, allowance: SharedRetryLimit) -> float:
        self._most_daemons = max(self._most_daemons, self._count_daemons())
        return max(1.0, allowance.n_extra * allowance.safety / self._most_daemons)
