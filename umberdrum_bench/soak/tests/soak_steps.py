"""Steps of the soak test."""

import collections
import itertools
import pathlib
import tempfile

import behave
import trio
from behave import runner

from umberdrum_bench import caller, checker, soak
from umberdrum_bench.soak import _documents, _load, _processor, _requests, _spread

BASE_PORT = 32_400
DEADLINE_SECONDS = 2.0
NONCE = "n1"
BODY_SHA256 = "ab"
ENDS = {
    "its own answer": caller.CallerAnswer(200, "", "", NONCE, BODY_SHA256, 0.1, True),
    "the answer to another call": caller.CallerAnswer(
        200, "", "", "n2", BODY_SHA256, 0.1, True
    ),
    "a late answer": caller.CallerAnswer(200, "", "", NONCE, BODY_SHA256, 2.6, True),
    "a not-run error": caller.CallerAnswer(
        503, "not-run", "overloaded", "", "", 0.1, True
    ),
    "an unknown outcome": caller.CallerAnswer(
        502, "may-have-run", "broke", "", "", 0.1, True
    ),
    "no answer after 0.4 s": caller.CallerAnswer(0, "", "", "", "", 0.4, True),
    "a refusal with 400": caller.CallerAnswer(
        400, "not-run", "malformed-request", "", "", 0.1, True
    ),
    "a refusal with 408": caller.CallerAnswer(
        408, "not-run", "caller-too-slow", "", "", 0.1, True
    ),
    "no connection": caller.CallerAnswer(0, "", "", "", "", 0.1, False),
    "no answer": caller.CallerAnswer(0, "", "", "", "", 0.1, True),
}
OUTAGES = {
    "undisturbed": (),
    "killed": (soak.DaemonOutage(0, "kill", 10.05, 11.0),),
    "paused": (soak.DaemonOutage(0, "pause", 10.05, 11.0),),
    "stopped": (soak.DaemonOutage(0, "stop", 9.0, 10.05),),
    "killed later": (
        soak.DaemonOutage(0, "kill", 20.0, 21.0),
        soak.DaemonOutage(1, "kill", 10.0, 11.0),
    ),
}
# Time without a processor during the call. The late answer is late by 0.1 s.
STARVED_SECONDS = {"starved": 0.05, "starved long": 0.15}
PROCESS_IDS = {"the same process": 7, "a process started": 8, "an ended process": 9}
NS_PER_SECOND = 1e9
CLOCK_GAP_SECONDS = 0.0005
CONTACT_LOSS_KINDS = {
    soak.FaultKind.KILL_CONTACTS,
    soak.FaultKind.PAUSE_CONTACTS,
    soak.FaultKind.CUT_OFF_CONTACTS,
}
ASKED_AT = 100.0
# Versions in force, one after the other; the zone is drained with version 2.
STATES = {
    "no version yet": (0,),
    "the older version": (1,),
    "the newer version": (2,),
    "the newer, then older": (2, 1),
}


def _build_options(seed: int) -> soak.SoakOptions:
    return soak.SoakOptions(seed, 4, 6.0, pathlib.Path("unused"), BASE_PORT)


@behave.then("a seed gives the same plan twice and another seed gives a different plan")
def check_plan_repeats(context: runner.Context) -> None:
    assert soak.draw_plan(_build_options(1)) == soak.draw_plan(_build_options(1))
    assert soak.draw_plan(_build_options(1)) != soak.draw_plan(_build_options(2))


@behave.then(
    "the plans of {n_seeds:d} seeds have every kind of fault, with series and overlaps"
)
def check_kinds(context: runner.Context, n_seeds: int) -> None:
    kinds: set[soak.FaultKind] = set()
    has_series = False
    has_overlap = False
    for seed in range(n_seeds):
        plan = soak.draw_plan(_build_options(seed))
        assert [row.at_seconds for row in plan] == sorted(r.at_seconds for r in plan)
        kinds.update(row.kind for row in plan)
        for first, second in itertools.pairwise(plan):
            is_same_position = first.position == second.position
            has_series |= is_same_position and first.kind is second.kind
            has_overlap |= second.at_seconds < first.at_seconds + first.seconds
    assert kinds == set(soak.FaultKind), set(soak.FaultKind) - kinds
    assert has_series and has_overlap


@behave.then(
    "in {n_seeds:d} seeds a document changes within {seconds:g} s "
    "after each loss of all contacts"
)
def check_changes_after_losses(
    context: runner.Context, n_seeds: int, seconds: float
) -> None:
    for seed in range(n_seeds):
        plan = soak.draw_plan(_build_options(seed))
        changes = [row for row in plan if row.kind is soak.FaultKind.CHANGE_DOCUMENT]
        for loss in _list_contact_losses(plan):
            leads = [row.at_seconds - loss.at_seconds for row in changes]
            assert any(0.0 <= lead <= seconds for lead in leads), (seed, leads)


@behave.then(
    "in {n_seeds:d} seeds all contacts are lost in every way while a zone is drained"
)
def check_losses_in_drains(context: runner.Context, n_seeds: int) -> None:
    kinds: set[soak.FaultKind] = set()
    for seed in range(n_seeds):
        plan = soak.draw_plan(_build_options(seed))
        for drain in plan:
            if drain.kind is not soak.FaultKind.DRAIN_ZONE:
                continue
            ends_at = drain.at_seconds + _spread.ZONE_DRAIN_SECONDS + drain.seconds
            kinds |= {
                loss.kind
                for loss in _list_contact_losses(plan)
                if drain.at_seconds <= loss.at_seconds < ends_at
            }
    assert kinds == CONTACT_LOSS_KINDS, kinds


def _list_contact_losses(plan: tuple[soak.SoakFault, ...]) -> list[soak.SoakFault]:
    return [row for row in plan if row.kind in CONTACT_LOSS_KINDS]


@behave.given("a {kind} call that ran {n_runs:d} times and ended with {end}")
def build_call(context: runner.Context, kind: str, n_runs: int, end: str) -> None:
    answer = ENDS[end]
    record = checker.CallRecord(
        kind, NONCE, kind == "lookup", BODY_SHA256, answer, False
    )
    ended_at = 10.0 + answer.seconds
    context.call = soak.SoakCall(
        record, 0, 10.0, ended_at, DEADLINE_SECONDS, False, 0.0, 0.0
    )
    context.runs = checker.ExecutionCounts(
        collections.Counter({NONCE: n_runs}),
        collections.Counter({NONCE: n_runs}),
        collections.Counter(),
    )


@behave.given("it was sent behind another call")
def send_behind(context: runner.Context) -> None:
    context.call = context.call._replace(is_pipelined=True)


@behave.when("its entry daemon was {entry} during the call")
def check_call(context: runner.Context, entry: str) -> None:
    call = context.call._replace(starved_seconds=STARVED_SECONDS.get(entry, 0.0))
    found = soak.check_calls([call], context.runs, OUTAGES.get(entry, ()))
    context.violations = [line.partition(":")[0] for line in found.violations]


@behave.given("its caller noticed the end {seconds:g} s after {began_at:g} s")
def notice_end(context: runner.Context, seconds: float, began_at: float) -> None:
    now = began_at + seconds
    # The answer's own clock began a little later.
    answer = ENDS["no answer"]._replace(seconds=seconds - CLOCK_GAP_SECONDS)
    context.call = context.call._replace(ended_at=_load.list_ends([answer], now)[-1])


@behave.when("its daemon was killed at {began_at:g} s")
def kill_daemon(context: runner.Context, began_at: float) -> None:
    outages = (soak.DaemonOutage(0, "kill", began_at, began_at + 1.0),)
    found = soak.check_calls([context.call], context.runs, outages)
    context.violations = [line.partition(":")[0] for line in found.violations]


@behave.when("{n_uploads:d} uploads and the requests behind them are drawn")
def draw_requests(context: runner.Context, n_uploads: int) -> None:
    uploads = [row for row in _documents.CLASS_PLANS if row.name == "uploads"]
    source = _requests.RequestSource(1, _documents.CLASS_PLANS)
    drawn = [source.draw_pipeline(uploads[0]) for _ in range(n_uploads)]
    context.lengths = {len(row) for row in drawn}
    context.requests = [request for row in drawn for _, request in row]


@behave.then(
    "some have a body in chunks, a port, an absolute target, fractions of milliseconds"
)
def check_forms(context: runner.Context) -> None:
    requests: list[caller.CallerRequest] = context.requests
    assert any(row.chunk_bytes for row in requests)
    assert {row.host_suffix for row in requests} == {"", *_requests.HOST_PORTS}
    assert {row.is_absolute for row in requests} == {False, True}
    assert any(row.deadline_ms % 1.0 for row in requests)


@behave.then("some deadlines are 1 to 3 ms and some requests follow 2 others")
def check_deadlines(context: runner.Context) -> None:
    short = [row.deadline_ms for row in context.requests if row.deadline_ms <= 3.0]
    assert short and min(short) >= 1.0, short
    assert context.lengths == {1, 2, 3}, context.lengths


@behave.given("a process that had waited {seconds:g} s for a processor before a call")
def start_waiting(context: runner.Context, seconds: float) -> None:
    context.wait_before = _read_wait(PROCESS_IDS["the same process"], seconds)


@behave.when("{process} has waited {seconds:g} s after it")
def read_wait_after(context: runner.Context, process: str, seconds: float) -> None:
    context.wait_after = _read_wait(PROCESS_IDS[process], seconds)


@behave.then("the call's daemon was without a processor for {seconds:g} s")
def check_wait(context: runner.Context, seconds: float) -> None:
    found = _processor.count_starved_seconds(context.wait_before, context.wait_after)
    assert found == seconds, found


def _read_wait(process_id: int, seconds: float) -> _processor.ProcessorWait:
    """Return what is read of a process; the kernel has no entry of ended ones."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        if seconds:
            (path / str(process_id)).mkdir()
            text = f"99 {seconds * NS_PER_SECOND:.0f} 5\n"
            (path / str(process_id) / "schedstat").write_text(text)
        return _processor.read_wait(process_id, path)


@behave.given("a daemon whose {document} had changed {age:g} s before it was asked")
def build_spread(context: runner.Context, document: str, age: float) -> None:
    context.document = document
    context.spread = _spread.SpreadChecker(2)
    # The other daemon is a contact all along.
    context.spread.check_state(_build_state(1, 0.0, 1))
    accepted_at = ASKED_AT - age
    if document == "zone":
        context.spread.record_zone_order("north", is_drained=True)
        context.spread.record_zone_acceptance("north", accepted_at)
    else:
        context.spread.record_change("routes", 2, accepted_at)


@behave.given("until {calm:g} s before that, {trouble}")
def disturb_spread(context: runner.Context, calm: float, trouble: str) -> None:
    rows = {
        "nothing was disturbed": [],
        "its process was disturbed": context.spread.processes[:1],
        "its way to the store was disturbed": context.spread.store_paths[:1],
        "all ways to the store were cut": context.spread.store_paths,
    }[trouble]
    for row in rows:
        row.begin()
        if calm:
            row.end(ASKED_AT - calm)


@behave.when("it reports {state}")
def report_state(context: runner.Context, state: str) -> None:
    found: list[str] = []
    for version in STATES[state]:
        report = _build_state(0, ASKED_AT, version)
        if context.document == "zone":
            report = report._replace(versions={"routes": 1})
        found += context.spread.check_state(report)
    context.violations = [line.partition(":")[0] for line in found]


def _build_state(position: int, asked_at: float, version: int) -> _spread.DaemonState:
    zones = frozenset(("north",)) if version == 2 else frozenset()
    return _spread.DaemonState(
        position,
        position + 1,
        asked_at,
        is_contact=position == 1,
        versions={"routes": version},
        drained_zones=zones,
    )


@behave.then('the reported violation is "{violation}"')
def check_violation(context: runner.Context, violation: str) -> None:
    expected = [] if violation == "none" else [violation]
    assert context.violations == expected, context.violations


@behave.given("a folder with the records of {n_soaks:d} soaks of seed {seed:d}")
def keep_records(context: runner.Context, n_soaks: int, seed: int) -> None:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.keep = pathlib.Path(directory.name)
    for _ in range(n_soaks):
        soak.choose_directory(context.keep, seed).mkdir()


@behave.then(
    'another soak of seed {seed:d} uses a new folder "{name}", '
    'and seed {other:d} "{other_name}"'
)
def check_folders(
    context: runner.Context, seed: int, name: str, other: int, other_name: str
) -> None:
    assert soak.choose_directory(context.keep, seed) == context.keep / name
    assert soak.choose_directory(context.keep, other) == context.keep / other_name


@behave.then("every regression seed has a cause")
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


@behave.then("no guarantee is violated and at least {n_calls:d} calls were answered")
def check_run(context: runner.Context, n_calls: int) -> None:
    found = context.result.findings
    assert found.violations == (), found.violations
    assert found.n_answered >= n_calls, found
