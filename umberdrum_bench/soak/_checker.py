"""Checks the calls of a soak against the guarantees to callers."""

from collections.abc import Sequence
from typing import NamedTuple

from umberdrum_bench import checker

# Requirement: a call gets an answer of some kind within this time after its deadline.
LATE_ANSWER_GRACE_SECONDS = 0.5
# Requirement: a stopping daemon may close a connection without an answer only within
# this time after the request was sent.
CLOSE_WITHOUT_ANSWER_SECONDS = 0.2
# Every request of the soak is proper, so that none is refused as a fault of its caller.
MIN_DENIED_STATUS = 300
MAX_DENIED_STATUS = 499


class DaemonOutage(NamedTuple):
    """Period in which the daemon at a position was dead, stopping or paused.

    ``kind`` is ``kill``, ``stop`` or ``pause``; times are seconds of trio's clock.
    """

    position: int
    kind: str
    began_at: float
    ended_at: float


class SoakCall(NamedTuple):
    """One call with the position of its entry daemon and its times.

    ``deadline_seconds`` is the longest deadline among this call and those that it has
    to wait for, if it was sent behind them on their connection (``is_pipelined``).
    ``has_disconnected`` tells whether the caller chose to disconnect early.
    ``lag_seconds`` is the largest lag of the caller's own timers shortly before the end
    of the call. ``starved_seconds`` is the time during the call for which the process
    of the entry daemon was ready to run and got no processor.
    """

    record: checker.CallRecord
    position: int
    began_at: float
    ended_at: float
    deadline_seconds: float
    has_disconnected: bool
    lag_seconds: float
    starved_seconds: float
    is_pipelined: bool = False


class SoakFindings(NamedTuple):
    """Counts of calls by outcome, and one line of text for each violated guarantee.

    ``n_starved`` counts calls that were late for want of processor time alone.
    """

    n_calls: int
    n_answered: int
    n_refused: int
    n_unknown: int
    n_starved: int
    violations: tuple[str, ...]


def check_calls(
    calls: Sequence[SoakCall],
    runs: checker.ExecutionCounts,
    outages: Sequence[DaemonOutage],
) -> SoakFindings:
    """Return the outcomes of the calls and the violated guarantees.

    A call may end without an answer if its entry daemon was killed during the call. It
    may also do so if its entry daemon was stopped, but only at once and if the call did
    not reach an upstream; one that waits behind another on its connection may do so
    later. The time in which the entry daemon got no processor is not held against it.
    """
    violations: list[str] = []
    n_answered = 0
    n_refused = 0
    n_unknown = 0
    n_starved = 0
    for call in calls:
        record = call.record
        answer = record.answer
        n_begun = runs.n_begun[record.nonce]
        name = f"call {record.nonce} at daemon {call.position}"
        if not record.is_idempotent and n_begun > 1:
            violations.append(f"doubled: {name} ran {n_begun} times")
        if call.has_disconnected:
            continue
        if MIN_DENIED_STATUS <= answer.status <= MAX_DENIED_STATUS:
            violations.append(f"denied: {name} got {answer.status} ({answer.kind})")
        outage_kinds = _list_outage_kinds(call, outages)
        late_seconds = answer.seconds - (
            call.deadline_seconds + LATE_ANSWER_GRACE_SECONDS + call.lag_seconds
        )
        if late_seconds > 0 and not outage_kinds:
            if late_seconds > call.starved_seconds:
                violations.append(
                    f"late: {name} ended after {answer.seconds:.2f} s "
                    f"(without processor for {call.starved_seconds:.2f} s)"
                )
            else:
                n_starved += 1
        if answer.status == 0:
            n_unknown += 1
            is_excused = "kill" in outage_kinds
            if not answer.is_sent:
                is_excused |= n_begun == 0
            elif "stop" in outage_kinds:
                has_waited = (
                    answer.seconds > CLOSE_WITHOUT_ANSWER_SECONDS + call.lag_seconds
                )
                is_excused |= n_begun == 0 and (call.is_pipelined or not has_waited)
            if not is_excused:
                violations.append(
                    f"lost: {name} got no answer, it ended after {answer.seconds:.2f} s"
                )
            continue
        if not answer.kind:
            n_answered += 1
            is_whole = answer.status == 200
            if is_whole and answer.nonce != record.nonce:
                violations.append(f"mixed: {name} got the answer of {answer.nonce!r}")
            if is_whole and answer.sha256 != record.sha256:
                violations.append(f"mixed: {name} ran with another body")
            continue
        if answer.execution in checker.OUTCOME_UNKNOWN_EXECUTIONS:
            n_unknown += 1
            continue
        n_refused += 1
        if n_begun:
            violations.append(f"false not-run: {name} ran ({answer.kind})")
    return SoakFindings(
        len(calls), n_answered, n_refused, n_unknown, n_starved, tuple(violations)
    )


def _list_outage_kinds(call: SoakCall, outages: Sequence[DaemonOutage]) -> set[str]:
    """Return the kinds of outages of the entry daemon during the call."""
    found: set[str] = set()
    for row in outages:
        if row.position != call.position:
            continue
        if row.began_at <= call.ended_at and row.ended_at >= call.began_at:
            found.add(row.kind)
    return found
