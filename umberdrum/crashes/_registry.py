"""Marks of requests that were running when an upstream ended."""

import collections
from typing import NamedTuple

# A request that only ran beside the culprit has one mark: suspects run apart from each
# other, and its next response clears it.
MIN_CRASHES_TO_REFUSE = 2
# Two upstreams may end at once for a common cause, such as a power failure, under both
# attempts of a call. If others have ended too without the request, it takes a third.
N_CRASHES_TO_REFUSE = 3
COMMON_CAUSE_SECONDS = 1.0
RETENTION_SECONDS = 600.0
MAX_FINGERPRINTS = 1024
MAX_MARKS_PER_FINGERPRINT = 8
MAX_ENDED_RUNS = 4096
# Requests that were answered this recently do not get a mark.
ANSWER_RETENTION_SECONDS = 60.0
MAX_ANSWERED = 1024


class CrashMark(NamedTuple):
    """Statement that a request was running when a run of an upstream ended.

    ``run`` identifies the run. ``is_cleared`` is set once an upstream has answered the
    request, which it would not have survived if the request were the cause.
    ``age_seconds`` is the time since the end of the run.
    """

    fingerprint: bytes
    run: str
    is_cleared: bool = False
    age_seconds: float = 0.0


class _Mark:
    """State of one mark; ``ended_at`` is a time of this daemon's clock."""

    __slots__ = ("ended_at", "is_cleared")

    def __init__(self, ended_at: float, is_cleared: bool) -> None:
        self.ended_at = ended_at
        self.is_cleared = is_cleared


class CrashRegistry:
    """Marks of requests under which upstreams have ended, shared by all daemons.

    Merging is commutative, associative and idempotent: a mark is identified by its
    fingerprint and its run, and cleared wins. Marks are dropped after
    ``RETENTION_SECONDS``. Beyond ``MAX_FINGERPRINTS``, the oldest request with the
    fewest marks is dropped.

    Times are seconds of the daemon's monotonic clock.
    """

    def __init__(self) -> None:
        self._marks: dict[bytes, dict[str, _Mark]] = {}
        # Times at which runs of upstreams have ended.
        self._ended_at: dict[str, float] = {}
        self._answered: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._marks)

    def add_crash(self, fingerprint: bytes, run: str, now: float) -> list[CrashMark]:
        """Mark a request that was running when ``run`` ended; return new marks.

        A request that an upstream has recently answered is not marked.
        """
        answered_at = self._answered.get(fingerprint)
        if answered_at is not None and now - answered_at < ANSWER_RETENTION_SECONDS:
            return []
        return self.merge([CrashMark(fingerprint, run)], now)

    def record_answer(self, fingerprint: bytes, now: float) -> list[CrashMark]:
        """Record that an upstream has answered the request; return changed marks."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        cleared = [
            CrashMark(fingerprint, run, True, now - mark.ended_at)
            for run, mark in self._marks.get(fingerprint, {}).items()
            if not mark.is_cleared
        ]
        return self.merge(cleared, now)

    def merge(self, marks: list[CrashMark], now: float) -> list[CrashMark]:
        """Merge marks and return those that were new or have changed."""
        changed: list[CrashMark] = []
        for mark in marks:
            if mark.age_seconds >= RETENTION_SECONDS:
                continue
            by_run = self._marks.setdefault(mark.fingerprint, {})
            known = by_run.get(mark.run)
            if known is None and len(by_run) >= MAX_MARKS_PER_FINGERPRINT:
                continue
            if known is not None and (known.is_cleared or not mark.is_cleared):
                continue
            ended_at = now - mark.age_seconds
            by_run[mark.run] = _Mark(ended_at, mark.is_cleared)
            self._record_end(mark.run, ended_at)
            changed.append(mark)
        while len(self._marks) > MAX_FINGERPRINTS:
            self._drop_least()
        return changed

    def list_marks(self, now: float) -> list[CrashMark]:
        """Return all marks, for a daemon that has just started."""
        return [
            CrashMark(fingerprint, run, mark.is_cleared, now - mark.ended_at)
            for fingerprint, by_run in self._marks.items()
            for run, mark in by_run.items()
        ]

    def count_crashes(self, fingerprint: bytes, now: float) -> int:
        """Return how many upstreams have ended under the request and not cleared it."""
        by_run = self._marks.get(fingerprint)
        if by_run is None:
            return 0
        self._drop_expired(fingerprint, by_run, now)
        return _count_uncleared(by_run)

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Return whether an upstream has ended under the request."""
        return self.count_crashes(fingerprint, now) > 0

    def must_refuse(self, fingerprint: bytes, now: float) -> bool:
        """Return whether the request is taken for the cause of the ends."""
        n_crashes = self.count_crashes(fingerprint, now)
        if n_crashes >= N_CRASHES_TO_REFUSE:
            return True
        if n_crashes < MIN_CRASHES_TO_REFUSE:
            return False
        return not self._have_others_ended(self._marks[fingerprint])

    def get_seconds_to_expiry(self, fingerprint: bytes, now: float) -> float:
        """Return after which time a refused request may be tried again."""
        ended_at = sorted(
            mark.ended_at
            for mark in self._marks.get(fingerprint, {}).values()
            if not mark.is_cleared
        )
        if len(ended_at) < MIN_CRASHES_TO_REFUSE:
            return 0.0
        return max(0.0, ended_at[-MIN_CRASHES_TO_REFUSE] + RETENTION_SECONDS - now)

    def remove_expired(self, now: float) -> None:
        """Drop the marks that are older than ``RETENTION_SECONDS``."""
        for fingerprint, by_run in list(self._marks.items()):
            self._drop_expired(fingerprint, by_run, now)
        for run, ended_at in list(self._ended_at.items()):
            if now - ended_at >= RETENTION_SECONDS:
                del self._ended_at[run]

    def _record_end(self, run: str, ended_at: float) -> None:
        """Store when a run has ended; beyond the bound the first stored is dropped."""
        self._ended_at.setdefault(run, ended_at)
        if len(self._ended_at) > MAX_ENDED_RUNS:
            del self._ended_at[next(iter(self._ended_at))]

    def _have_others_ended(self, by_run: dict[str, _Mark]) -> bool:
        """Return whether upstreams that did not run the request ended with the rest."""
        for run, ended_at in self._ended_at.items():
            if run in by_run:
                continue
            for mark in by_run.values():
                if abs(mark.ended_at - ended_at) < COMMON_CAUSE_SECONDS:
                    return True
        return False

    def _drop_expired(
        self, fingerprint: bytes, by_run: dict[str, _Mark], now: float
    ) -> None:
        for run, mark in list(by_run.items()):
            if now - mark.ended_at >= RETENTION_SECONDS:
                del by_run[run]
        if not by_run:
            self._marks.pop(fingerprint, None)

    def _drop_least(self) -> None:
        # The first of several with the fewest marks is the oldest.
        least = min(self._marks, key=lambda row: _count_uncleared(self._marks[row]))
        del self._marks[least]


def _count_uncleared(by_run: dict[str, _Mark]) -> int:
    return sum(1 for mark in by_run.values() if not mark.is_cleared)
