"""Counts of the calls that one process makes to the store."""

import collections


class StoreCallCounter:
    """Calls by operation; a watch counts as one call when it is opened."""

    def __init__(self) -> None:
        self.n_calls: collections.Counter[str] = collections.Counter()
        self.n_failed = 0

    @property
    def total(self) -> int:
        """Calls of all operations."""
        return self.n_calls.total()

    def count(self, operation: str) -> None:
        """Count one call."""
        self.n_calls[operation] += 1

    def count_failure(self) -> None:
        """Count one call that got no valid answer."""
        self.n_failed += 1
