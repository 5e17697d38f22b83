"""Steps on the fault soak."""

import collections
import itertools
import pathlib
import tempfile

import behave
import trio
from behave import runner

from umberdrum_bench import caller, soak, verdict

BASE_PORT = 32_400
DEADLINE_SECONDS = 2.0
NONCE = "n1"
BODY_SHA256 = "ab"
ENDS = {
    "its answer": caller.CallerAnswer(200, "", "", NONCE, BODY_SHA256, 0.1, True),
    "another's answer": caller.CallerAnswer(200, "", "", "n2", BODY_SHA256, 0.1, True),
    "a late answer": caller.CallerAnswer(200, "", "", NONCE, BODY_SHA256, 2.6, True),
    "not run": caller.CallerAnswer(503, "not-run", "overloaded", "", "", 0.1, True),
    "unknown": caller.CallerAnswer(502, "may-have-run", "broke", "", "", 0.1, True),
    "nothing": caller.CallerAnswer(0, "", "", "", "", 0.1, True),
}
DISTURBANCES = {
    "left alone": (),
    "killed": (soak.Disturbance(0, "kill", 10.05, 11.0),),
    "paused": (soak.Disturbance(0, "pause", 10.05, 11.0),),
    "stopped": (soak.Disturbance(0, "stop", 9.0, 10.05),),
    "killed later": (
        soak.Disturbance(0, "kill", 20.0, 21.0),
        soak.Disturbance(1, "kill", 10.0, 11.0),
    ),
}


def _build_options(seed: int) -> soak.SoakOptions:
    return soak.SoakOptions(seed, 4, 6.0, pathlib.Path("unused"), BASE_PORT)


@behave.then("a seed gives the same plan twice and another seed another one")
def check_same(context: runner.Context) -> None:
    assert soak.draw_plan(_build_options(1)) == soak.draw_plan(_build_options(1))
    assert soak.draw_plan(_build_options(1)) != soak.draw_plan(_build_options(2))


@behave.then(
    "{n_seeds:d} seeds bring about every kind of fault, some in series, "
    "some overlapping"
)
def check_kinds(context: runner.Context, n_seeds: int) -> None:
    seen: set[soak.FaultKind] = set()
    has_series = False
    has_overlap = False
    for seed in range(n_seeds):
        plan = soak.draw_plan(_build_options(seed))
        assert [row.at_seconds for row in plan] == sorted(r.at_seconds for r in plan)
        seen.update(row.kind for row in plan)
        for first, second in itertools.pairwise(plan):
            is_same_place = first.position == second.position
            has_series |= is_same_place and first.kind is second.kind
            has_overlap |= second.at_seconds < first.at_seconds + first.seconds
    assert seen == set(soak.FaultKind), set(soak.FaultKind) - seen
    assert has_series and has_overlap


@behave.given("a {kind} call that ran {n_runs:d} times and ended with {end}")
def build_call(context: runner.Context, kind: str, n_runs: int, end: str) -> None:
    answer = ENDS[end]
    record = verdict.CallRecord(
        kind, NONCE, kind == "lookup", BODY_SHA256, answer, False
    )
    ended_at = 10.0 + answer.seconds
    context.call = soak.SoakCall(
        record, 0, 10.0, ended_at, DEADLINE_SECONDS, False, 0.0
    )
    context.runs = verdict.RunRecord(
        collections.Counter({NONCE: n_runs}),
        collections.Counter({NONCE: n_runs}),
        collections.Counter(),
    )


@behave.when("its entry was {entry} meanwhile")
def judge_call(context: runner.Context, entry: str) -> None:
    found = soak.judge([context.call], context.runs, DISTURBANCES[entry])
    context.broken = [line.partition(":")[0] for line in found.broken]


@behave.then('the finding is "{finding}"')
def check_finding(context: runner.Context, finding: str) -> None:
    wanted = [] if finding == "none" else [finding]
    assert context.broken == wanted, context.broken


@behave.then("every kept seed has a cause")
def check_regressions(context: runner.Context) -> None:
    for row in soak.read_regressions():
        assert row.cause, row


@behave.when(
    "{n_endpoints:d} endpoints run for {seconds:d} s under the faults of seed 1"
)
def run_short(context: runner.Context, n_endpoints: int, seconds: int) -> None:
    with tempfile.TemporaryDirectory() as directory:
        options = soak.SoakOptions(
            1, n_endpoints, seconds, pathlib.Path(directory), BASE_PORT
        )
        context.result = trio.run(soak.run_seed, options)


@behave.then("no promise is broken and {n_calls:d} calls or more were answered")
def check_run(context: runner.Context, n_calls: int) -> None:
    found = context.result.findings
    assert found.broken == (), found.broken
    assert found.n_answered >= n_calls, found
