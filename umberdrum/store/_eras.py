"""Eras of a store, which a restore from an older copy separates."""

from collections.abc import Callable

EraListener = Callable[[int, int], None]


class EraTracker:
    """Newest era of the store that its answers have shown to this process.

    A store that is restored from an older copy begins a new era. It has forgotten the
    latest changes and leases, and it gives out their revisions and lease ids again.
    Revisions of different eras can't be compared. An era of 0 means that the store
    doesn't report eras.

    ``on_change``, if set, is called with the previous and the new era when an answer
    shows a later era for the first time, but not for the first answer of all.

    Example: after ``observe(2, 90)``, an answer for which ``observe(1, 100)`` is False
    comes from the time before the restore and must not be used.
    """

    def __init__(self) -> None:
        self.era = 0
        self.on_change: EraListener | None = None
        self._first_revision = 0

    def observe(self, era: int, revision: int) -> bool:
        """Record the era of an answer; return False if the answer is of an earlier one.

        ``revision`` is the revision of the store at the answer, 0 if it is not known.
        """
        if era < self.era:
            return False
        if era > self.era:
            previous = self.era
            self.era = era
            self._first_revision = 0
            if previous and self.on_change is not None:
                self.on_change(previous, era)
        if not self._first_revision:
            self._first_revision = revision
        return True

    def get_write_era(self, revision: int) -> int:
        """Return the era in which a key of the current era was last written.

        A key that was already there at the first answer of the era may come from the
        copy that the store was restored from. It counts as written in the era before.
        """
        if not self.era or revision > self._first_revision:
            return self.era
        return self.era - 1
