"""Token bucket that keeps extra attempts a small share of calls."""

EXTRA_SHARE = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Budget of extra attempts towards one service at one entry daemon.

    Each call adds ``EXTRA_SHARE`` of a token and each retry or hedge takes a whole one,
    so that extra attempts stay near a tenth of calls when a whole service is slow. It
    never delays an attempt: without a token the attempt is not made.
    """

    def __init__(self, n_tokens: float = MAX_TOKENS) -> None:
        self._n_tokens = n_tokens

    @property
    def n_tokens(self) -> float:
        """Tokens that are left."""
        return self._n_tokens

    def record_call(self) -> None:
        """Add what one first attempt earns."""
        self._n_tokens = min(MAX_TOKENS, self._n_tokens + EXTRA_SHARE)

    def take(self) -> bool:
        """Take one token and return True, or return False when none is left."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
