"""Token buckets that limit extra attempts to a small share of calls."""

from collections.abc import Callable
from typing import NamedTuple

EXTRA_SHARE = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket for extra attempts to one service at one entry daemon.

    The entry daemon accepts calls from callers and chooses an endpoint for each.
    Each call adds ``extra_share`` of a token and each retry or hedge spends one token.
    So extra attempts stay close to that share of calls when a whole service is slow.
    The budget never delays an attempt: without a token the attempt is not made.
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
        """Number of tokens in the bucket, including fractions."""
        return self._n_tokens

    def record_call(self) -> None:
        """Add ``extra_share`` of a token for a first attempt."""
        self._n_tokens = min(self.max_tokens, self._n_tokens + self._extra_share)

    def try_spend(self) -> bool:
        """Spend one token and return True, or return False if there is none."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True

    def refund(self) -> None:
        """Put back the token of an attempt that reached no upstream."""
        self._n_tokens = min(self.max_tokens, self._n_tokens + 1.0)


class SharedRetryLimit(NamedTuple):
    """Bound on the extra attempts of all daemons together to one service.

    In any period over which the operators count them, extra attempts may reach
    ``n_extra`` plus ``share`` of the calls. Only the fraction ``safety_factor`` of both
    is used, which leaves room for repeats that are counted elsewhere.
    """

    n_extra: float
    share: float
    safety_factor: float


class RetryBudgetRegistry:
    """Retry budgets of one daemon, one per service.

    With a shared limit each daemon takes an equal part of it. The part is based on the
    largest number of daemons known so far, because a daemon that currently knows few
    others would take too much. The buckets start empty for the same reason.
    """

    def __init__(
        self,
        shared_limit: SharedRetryLimit | None = None,
        count_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        self._shared_limit = shared_limit
        self._count_daemons = count_daemons
        self._max_known_daemons = 1
        self._budgets: dict[str, RetryBudget] = {}

    def get_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of ``service``, created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._build_budget()
        if self._shared_limit is not None:
            budget.max_tokens = self._get_max_tokens(self._shared_limit)
        return budget

    def _build_budget(self) -> RetryBudget:
        if self._shared_limit is None:
            return RetryBudget()
        share = self._shared_limit.share * self._shared_limit.safety_factor
        return RetryBudget(0.0, 1.0, share)

    def _get_max_tokens(self, shared_limit: SharedRetryLimit) -> float:
        self._max_known_daemons = max(self._max_known_daemons, self._count_daemons())
        return max(
            1.0,
            shared_limit.n_extra * shared_limit.safety_factor / self._max_known_daemons,
        )
