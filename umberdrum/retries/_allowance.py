"""Allowance of extra attempts that a call passes to its nested calls."""

from typing import NamedTuple

DEFAULT_EXTRA_ATTEMPTS = 2
MAX_EXTRA_ATTEMPTS = 3


class AttemptAllowance(NamedTuple):
    """Extra attempts that one call may still make, retries and hedges together.

    The attempt with index i (from 0) passes ``n_extra - 1 - i``, but at least 0, to its
    nested calls, which are the calls that its upstream makes to answer it. So one call
    at the top causes at most ``2 ** n_extra`` calls at any depth, regardless of the
    length of the chain.

    Example: with 2 extra attempts, the first attempt passes on 1, the others 0.
    """

    n_extra: int = DEFAULT_EXTRA_ATTEMPTS

    def allows(self, attempt_index: int) -> bool:
        """Return whether the attempt with this index may be made; 0 is the first."""
        return attempt_index <= self.n_extra

    def get_nested_allowance(self, attempt_index: int) -> int:
        """Return the number of extra attempts for the nested calls of this attempt."""
        return max(0, self.n_extra - 1 - attempt_index)
