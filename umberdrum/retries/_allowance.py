"""Allowance of extra attempts that travels down a chain of calls."""

from typing import NamedTuple

DEFAULT_EXTRA_ATTEMPTS = 2
MAX_EXTRA_ATTEMPTS = 3


class AttemptAllowance(NamedTuple):
    """Extra attempts, retries and hedges alike, that one call may still use.

    The attempt with index i (from 0) hands ``n_extra - 1 - i`` on to the calls below
    it. So one call at the top causes at most ``2 ** n_extra`` calls at any depth,
    however long the chain is.

    Example: with 2 extra attempts, the first attempt hands on 1 and the second 0.
    """

    n_extra: int = DEFAULT_EXTRA_ATTEMPTS

    def allows(self, attempt_index: int) -> bool:
        """Return whether the attempt with this index, from 0, may be made."""
        return attempt_index <= self.n_extra

    def get_nested_allowance(self, attempt_index: int) -> int:
        """Return the extra attempts that the calls below this attempt may use."""
        return max(0, self.n_extra - 1 - attempt_index)
