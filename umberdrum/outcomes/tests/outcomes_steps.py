"""Steps on the record of request ids."""

import behave
import trio
from behave import runner

from umberdrum import errors, outcomes
from umberdrum.tests import harness

ANSWER = outcomes.StoredResponse(200, b"OK", (), b"whole")


@behave.given('a request that is "{state}"')
def build_request(context: runner.Context, state: str) -> None:
    record = outcomes.OutcomeRecord()
    context.record = record
    if state == "unknown":
        return
    assert record.admit("a", 0.0).is_ok()
    if state == "failed closed":
        record.fail("a", errors.Execution.NOT_RUN, 0.0)
    if state in ("begun", "done", "failed open"):
        assert record.begin("a", 0.0).is_ok()
    if state == "done":
        record.finish("a", ANSWER, 0.0)
    if state == "failed open":
        record.fail("a", errors.Execution.MAY_HAVE_RUN, 0.0)


@behave.when("its outcome is queried")
def query(context: runner.Context) -> None:
    async def run() -> outcomes.OutcomeReport:
        report = await context.record.query("a", 1.0, 0.0)
        assert isinstance(report, outcomes.OutcomeReport)
        return report

    context.report = harness.run_on_virtual_clock(run)


@behave.then('the execution is "{execution}" and running is "{running}"')
def check_report(context: runner.Context, execution: str, running: str) -> None:
    assert context.report.execution.token == execution, context.report
    assert context.report.is_running == (running == "yes"), context.report


@behave.then('beginning it afterwards is "{result}"')
def check_begin(context: runner.Context, result: str) -> None:
    assert context.record.begin("a", 1.0).is_error() == (result == "refused")


@behave.then('admitting it again is "{result}"')
def check_admit(context: runner.Context, result: str) -> None:
    admitted = context.record.admit("a", 1.0)
    if result == "accepted":
        assert admitted.is_ok()
        return
    assert admitted.error.kind.token == result, admitted


@behave.when("it is done while a query waits")
def finish_during_query(context: runner.Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:

            async def ask() -> None:
                context.report = await context.record.query("a", 10.0, 0.0)

            nursery.start_soon(ask)
            await trio.sleep(3.0)
            context.record.finish("a", ANSWER, 3.0)

    harness.run_on_virtual_clock(run)


@behave.then("the query brings the answer")
def check_answer(context: runner.Context) -> None:
    assert context.report.execution is errors.Execution.RAN
    assert context.report.response == ANSWER


@behave.given("a record with room for {n_requests:d} requests")
def build_small(context: runner.Context, n_requests: int) -> None:
    context.record = outcomes.OutcomeRecord(n_requests)


@behave.when("{n_requests:d} requests are admitted")
def admit_many(context: runner.Context, n_requests: int) -> None:
    for index in range(n_requests):
        context.last = context.record.admit(f"r{index}", float(index))
        if context.last.is_ok():
            context.record.fail(f"r{index}", errors.Execution.MAY_HAVE_RUN, index)


@behave.then('the last is refused as "{kind}"')
def check_last(context: runner.Context, kind: str) -> None:
    assert context.last.error.kind.token == kind


@behave.then("after {seconds:d} s a new one is admitted")
def check_later(context: runner.Context, seconds: int) -> None:
    assert context.record.admit("late", float(seconds)).is_ok()


@behave.when("{n_requests:d} requests are done with answers of {n_bytes:d} bytes")
def finish_many(context: runner.Context, n_requests: int, n_bytes: int) -> None:
    context.n_requests = n_requests
    for index in range(n_requests):
        request_id = f"r{index}"
        assert context.record.admit(request_id, 0.0).is_ok()
        assert context.record.begin(request_id, 0.0).is_ok()
        answer = ANSWER._replace(body=bytes(n_bytes))
        context.record.finish(request_id, answer, 0.0)


@behave.then("the record keeps at most {n_bytes:d} bytes of answers and all outcomes")
def check_kept(context: runner.Context, n_bytes: int) -> None:
    async def run() -> int:
        n_kept = 0
        for index in range(context.n_requests):
            report = await context.record.query(f"r{index}", 0.0, 0.0)
            assert report.execution is errors.Execution.RAN
            if report.response is not None:
                n_kept += len(report.response.body)
        return n_kept

    n_kept = harness.run_on_virtual_clock(run)
    assert 0 < n_kept <= n_bytes, n_kept
