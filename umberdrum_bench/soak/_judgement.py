"""Promises that a soak checks, from what callers and upstreams saw."""

from collections.abc import Sequence
from typing import NamedTuple

from umberdrum_bench import verdict

# An answer of any kind is due by then after the deadline of its call; the users' rule.
LATE_SECONDS = 0.5


class Disturbance(NamedTuple):
    """Time in which the daemon at a position was dead, stopping or paused.

    ``kind`` is ``kill``, ``stop`` or ``pause``; times are of trio's clock.
    """

    position: int
    kind: str
    began_at: float
    ended_at: float


class SoakCall(NamedTuple):
    """One call with its entry and its time; ``has_left`` if the caller gave up early.

    ``lag_seconds`` is the most by which the caller's own timers were late meanwhile.
    """

    record: verdict.CallRecord
    position: int
    began_at: float
    ended_at: float
    deadline_seconds: float
    has_left: bool
    lag_seconds: float


class SoakFindings(NamedTuple):
    """Broken promises, each as one line of text, beside the counts of calls."""

    n_calls: int
    n_answered: int
    n_refused: int
    n_unknown: int
    broken: tuple[str, ...]


def judge(
    calls: Sequence[SoakCall],
    runs: verdict.RunRecord,
    disturbances: Sequence[Disturbance],
) -> SoakFindings:
    """Return what became of the calls and which promises were broken.

    A call whose entry daemon was killed meanwhile may end without an answer. One that
    crossed the stop of its entry may too, but only if it never reached an upstream.
    """
    broken: list[str] = []
    n_answered = 0
    n_refused = 0
    n_unknown = 0
    for call in calls:
        record = call.record
        answer = record.answer
        n_begun = runs.n_begun[record.nonce]
        name = f"call {record.nonce} at daemon {call.position}"
        if not record.is_idempotent and n_begun > 1:
            broken.append(f"doubled: {name} ran {n_begun} times")
        if call.has_left:
            continue
        meanwhile = _list_kinds(call, disturbances)
        is_late = (
            answer.seconds > call.deadline_seconds + LATE_SECONDS + call.lag_seconds
        )
        if is_late and not meanwhile:
            broken.append(f"late: {name} ended after {answer.seconds:.2f} s")
        if answer.status == 0:
            n_unknown += 1
            is_excused = "kill" in meanwhile or not answer.is_sent
            if not is_excused and "stop" in meanwhile:
                is_excused = n_begun == 0
            if not is_excused:
                broken.append(f"lost: {name} got no answer")
            continue
        if not answer.kind:
            n_answered += 1
            is_whole = answer.status == 200
            if is_whole and answer.nonce != record.nonce:
                broken.append(f"mixed: {name} got the answer of {answer.nonce!r}")
            if is_whole and answer.sha256 != record.sha256:
                broken.append(f"mixed: {name} ran with another body")
            continue
        if answer.execution in verdict.OUTCOME_UNKNOWN_EXECUTIONS:
            n_unknown += 1
            continue
        n_refused += 1
        if n_begun:
            broken.append(f"false not-run: {name} ran ({answer.kind})")
    return SoakFindings(len(calls), n_answered, n_refused, n_unknown, tuple(broken))


def _list_kinds(call: SoakCall, disturbances: Sequence[Disturbance]) -> set[str]:
    """Return the kinds of disturbance of the entry while the call was in progress."""
    found: set[str] = set()
    for row in disturbances:
        if row.position != call.position:
            continue
        if row.began_at <= call.ended_at and row.ended_at >= call.began_at:
            found.add(row.kind)
    return found
