"""Checks the answers of callers against the requests that upstreams recorded."""

import collections
import pathlib
from typing import NamedTuple

from umberdrum_bench import caller

OUTCOME_UNKNOWN_EXECUTIONS = ("may-have-run", "ran")


class CallRecord(NamedTuple):
    """One call: its request, its answer and whether its entry daemon was killed.

    The entry daemon is the one to which the caller sent the call.
    """

    class_name: str
    nonce: str
    is_idempotent: bool
    sha256: str
    answer: caller.CallerAnswer
    is_entry_killed: bool


class ExecutionCounts(NamedTuple):
    """How often upstreams began, ended and saw each request cut off, by its nonce."""

    n_begun: collections.Counter[str]
    n_ended: collections.Counter[str]
    n_cut: collections.Counter[str]


class CheckResult(NamedTuple):
    """Counts of calls by outcome, and of violated guarantees.

    ``n_lost`` counts calls without a final answer although their entry daemon was not
    killed. ``n_doubled`` counts non-idempotent requests that ran more than once.
    ``n_mixed`` counts answers that belong to another request. ``n_false_not_run``
    counts calls that ran although the answer said that they had not.
    ``n_cut_by_drain`` counts requests that a drained upstream began but did not end.
    """

    n_calls: int
    n_answered: int
    n_refused: int
    n_unknown: int
    n_lost: int
    n_doubled: int
    n_mixed: int
    n_false_not_run: int
    n_cut_by_drain: int

    @property
    def has_passed(self) -> bool:
        """Whether no guarantee was violated and at least one call was answered."""
        n_violations = self.n_lost + self.n_doubled + self.n_mixed
        n_violations += self.n_false_not_run + self.n_cut_by_drain
        return self.n_answered > 0 and n_violations == 0


def read_execution_counts(paths: list[pathlib.Path]) -> ExecutionCounts:
    """Return the sums of the upstreams' records; missing files are skipped."""
    record = ExecutionCounts(
        collections.Counter(), collections.Counter(), collections.Counter()
    )
    counters = {"begin": record.n_begun, "end": record.n_ended, "cut": record.n_cut}
    for path in paths:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            event, _, nonce = line.split(" ")
            counters[event][nonce] += 1
    return record


def describe_outcome(record: CallRecord) -> str:
    """Return the outcome of a call in a few words, for a table."""
    answer = record.answer
    if answer.status == 0:
        if not answer.is_sent:
            return "not sent"
        return "entry killed" if record.is_entry_killed else "lost"
    if not answer.kind:
        return f"answered {answer.status}"
    return f"{answer.kind}/{answer.execution}"


def check_calls(
    calls: list[CallRecord], runs: ExecutionCounts, drained_runs: ExecutionCounts
) -> CheckResult:
    """Count the calls of a run by outcome and the violated guarantees."""
    n_answered = 0
    n_refused = 0
    n_unknown = 0
    n_lost = 0
    n_mixed = 0
    n_false_not_run = 0
    n_doubled = 0
    for record in calls:
        answer = record.answer
        if not record.is_idempotent and runs.n_begun[record.nonce] > 1:
            n_doubled += 1
        if answer.status == 0:
            if answer.is_sent and not record.is_entry_killed:
                n_lost += 1
            elif answer.is_sent:
                n_unknown += 1
            else:
                n_refused += 1
            continue
        if not answer.kind:
            n_answered += 1
            if answer.nonce != record.nonce or answer.sha256 != record.sha256:
                n_mixed += 1
            continue
        if answer.execution in OUTCOME_UNKNOWN_EXECUTIONS:
            n_unknown += 1
            continue
        n_refused += 1
        if runs.n_begun[record.nonce]:
            n_false_not_run += 1
    n_cut_by_drain = 0
    for nonce, n_begun in drained_runs.n_begun.items():
        if drained_runs.n_ended[nonce] < n_begun:
            n_cut_by_drain += 1
    return CheckResult(
        len(calls),
        n_answered,
        n_refused,
        n_unknown,
        n_lost,
        n_doubled,
        n_mixed,
        n_false_not_run,
        n_cut_by_drain,
    )
