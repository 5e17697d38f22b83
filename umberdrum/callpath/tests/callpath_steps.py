"""Steps on calls over HTTP, sent to two daemons of which one has an upstream."""

import json
from collections.abc import Awaitable, Callable

import behave
from behave import runner

from umberdrum.tests import harness

LONG_FIELD = "x" * 40_000
SiteTest = Callable[[harness.Site, harness.Node, harness.Node], Awaitable[None]]


def _run(test: SiteTest) -> None:
    """Run a test on a daemon with an upstream and an entry daemon without one."""

    async def run() -> None:
        async with harness.open_site() as site:
            await site.create_class("pay", "pay", "/pay", is_idempotent=False)
            await site.create_class("look", "pay", "/look")
            node = await site.add_node("pay")
            entry = await site.add_node("")
            await site.wait_until_known(2)
            parts = entry.daemon.parts
            assert parts is not None
            directory = parts.directory
            await site.wait_until(lambda: len(directory.list_candidates("pay")) == 1)
            await test(site, node, entry)

    harness.run_on_virtual_clock(run)


@behave.when('a caller sends "{request}"')
def send_raw(context: runner.Context, request: str) -> None:
    text = request.replace("~", "\r\n").replace("<long>", LONG_FIELD)

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        context.raw = await site.send_raw(address, text.encode())
        context.n_forwarded = len(node.upstream.begun)

    _run(test)


def _read_problem(raw: bytes) -> dict[str, object]:
    body = raw.partition(b"\r\n\r\n")[2]
    document = json.loads(body)
    assert isinstance(document, dict)
    return document


@behave.then('it gets a 400 of kind "{kind}", the close, and nothing is forwarded')
def check_malformed(context: runner.Context, kind: str) -> None:
    assert context.raw.startswith(b"HTTP/1.1 400"), context.raw
    assert _read_problem(context.raw)["kind"] == kind, context.raw
    assert b"connection: close" in context.raw.lower(), context.raw
    assert context.n_forwarded == 0


@behave.then('it gets a {status:d} of kind "{kind}" and execution "{execution}"')
def check_refusal(
    context: runner.Context, status: int, kind: str, execution: str
) -> None:
    assert context.raw.startswith(b"HTTP/1.1 %d" % status), context.raw
    problem = _read_problem(context.raw)
    assert (problem["kind"], problem["execution"]) == (kind, execution), problem
    assert context.n_forwarded == 0


@behave.then("it gets the upstream's answer to {n_bytes:d} bytes")
def check_answered(context: runner.Context, n_bytes: int) -> None:
    final = context.raw.rpartition(b"HTTP/1.1 ")[2]
    assert final.startswith(b"200"), context.raw
    assert _read_problem(final) == {"nonce": "-", "n_bytes": n_bytes}, context.raw


@behave.when("a caller sends two requests at once on one connection")
def send_two(context: runner.Context) -> None:
    first = b"GET /look HTTP/1.1\r\nHost: pay\r\nx-nonce: one\r\n\r\n"
    second = first.replace(b"one", b"two").replace(
        b"Host", b"Connection: close\r\nHost"
    )

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        context.raw = await site.send_raw(address, first + second)

    _run(test)


@behave.then("it gets both answers in order")
def check_two(context: runner.Context) -> None:
    assert context.raw.count(b"HTTP/1.1 200") == 2, context.raw
    assert 0 < context.raw.index(b'"one"') < context.raw.index(b'"two"')


@behave.when(
    "a caller sends hop-by-hop fields, a traceparent, a deadline and an allowance"
)
def send_fields(context: runner.Context) -> None:
    raw = (
        b"GET /look HTTP/1.1\r\nHost: pay\r\nConnection: close, x-private\r\n"
        b"x-private: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\n"
        b"traceparent: 00-1-2-01\r\numberdrum-deadline-ms: 1500\r\n"
        b"umberdrum-attempts: 2\r\nX-Public: 2\r\n\r\n"
    )

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        await site.send_raw(entry.settings.caller_listen, raw)
        context.fields = node.upstream.seen_headers[0]

    _run(test)


@behave.then(
    "the upstream sees the traceparent, the rest of deadline and allowance, "
    "and no hop-by-hop field"
)
def check_fields(context: runner.Context) -> None:
    fields = context.fields
    assert fields["traceparent"] == "00-1-2-01", fields
    assert fields["x-public"] == "2", fields
    assert 1000 <= int(fields["umberdrum-deadline-ms"]) <= 1500, fields
    assert fields["umberdrum-attempts"] == "1", fields
    assert fields["umberdrum-request-id"], fields
    for name in ("connection", "x-private", "te", "keep-alive", "upgrade"):
        assert name not in fields, fields


@behave.when('a {cls} call meets an upstream that does "{fault}"')
def meet_fault(context: runner.Context, cls: str, fault: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        body = b"x" if cls == "pay" else b""
        context.answer = await site.call(
            entry, "pay", "n1", f"/{cls}", fault, body, deadline_ms=3000
        )
        context.n_runs = site.count_runs("n1")

    _run(test)


@behave.then('the caller is told "{told}" and the upstream ran it {n_runs:d} times')
def check_told(context: runner.Context, told: str, n_runs: int) -> None:
    answer = context.answer
    found = str(answer.status)
    if answer.kind:
        found = f"{answer.kind}/{answer.execution}"
    if answer.status == 0:
        found = "cut"
    assert found == told, answer
    assert context.n_runs == n_runs, context.n_runs
