"""Steps for the memory of requests under which upstreams have ended."""

import itertools

import behave
from behave import runner

from umberdrum import crashes

NOW = 1000.0


def name_fingerprint(name: str) -> bytes:
    return crashes.compute_fingerprint([name.encode()])


def parse_marks(text: str) -> list[crashes.CrashMark]:
    """Parse ends like ``a@r1:0.3``: request, run and time in seconds."""
    marks: list[crashes.CrashMark] = []
    for part in text.split():
        name, rest = part.split("@")
        run, seconds = rest.split(":")
        fingerprint = name_fingerprint(name)
        marks.append(
            crashes.CrashMark(fingerprint, run, age_seconds=10 - float(seconds))
        )
    return marks


@behave.given("a memory of crashes")
def set_up(context: runner.Context) -> None:
    context.registry = crashes.CrashRegistry()
    context.now = NOW


@behave.when("requests were running as upstreams ended: {ends}")
def end_upstreams(context: runner.Context, ends: str) -> None:
    context.registry.merge(parse_marks(ends), context.now)


@behave.when("these were answered since: {names}")
def answer(context: runner.Context, names: str) -> None:
    for name in names.replace("-", "").split():
        context.registry.record_answer(name_fingerprint(name), context.now)


@behave.when('request "a" was answered, and upstream r1 ends under it 1 s later')
def answer_first(context: runner.Context) -> None:
    fingerprint = name_fingerprint("a")
    context.registry.record_answer(fingerprint, context.now)
    context.now += 1.0
    context.registry.add_crash(fingerprint, "r1", context.now)


@behave.when("{seconds:d} s pass")
def pass_time(context: runner.Context, seconds: int) -> None:
    context.now += seconds


@behave.when("{n_requests:d} other requests were running as upstreams ended")
def end_many(context: runner.Context, n_requests: int) -> None:
    context.now += 100.0
    for index in range(n_requests):
        fingerprint = name_fingerprint(f"other {index}")
        context.registry.add_crash(fingerprint, f"run {index}", context.now)


@behave.then('request "a" is {result}')
def check_result(context: runner.Context, result: str) -> None:
    fingerprint = name_fingerprint("a")
    found = "trusted"
    if context.registry.is_suspect(fingerprint, context.now):
        found = "suspect"
    if context.registry.must_refuse(fingerprint, context.now):
        found = "refused"
    assert found == result, found


@behave.then("the memory holds at most {n_most:d} requests")
def check_bound(context: runner.Context, n_most: int) -> None:
    assert len(context.registry) <= n_most, len(context.registry)


@behave.then("marks merged in each order, and twice, leave the same requests refused")
def check_orders(context: runner.Context) -> None:
    marks = parse_marks("a@r1:0 a@r2:0.3 b@r1:0")
    marks.append(marks[2]._replace(is_cleared=True))
    results = set()
    for order in itertools.permutations(marks):
        registry = crashes.CrashRegistry()
        registry.merge([*order, *order], NOW)
        names = [
            name
            for name in ("a", "b")
            if registry.must_refuse(name_fingerprint(name), NOW)
        ]
        results.add(tuple(names))
    assert results == {("a",)}, results
