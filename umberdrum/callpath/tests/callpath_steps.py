"""Steps for calls over HTTP through two daemons, of which one has an upstream."""

import json
from collections.abc import Awaitable, Callable

import behave
import trio
from behave import runner

from umberdrum import callpath, errors
from umberdrum.tests import harness

LONG_FIELD = "x" * 40_000
SiteTest = Callable[[harness.Site, harness.Node, harness.Node], Awaitable[None]]


def run_with_upstream(
    test: SiteTest, leave_accept_ms: int = 0, grace_ms: int = harness.GRACE_MS
) -> None:
    """Run ``test`` with a daemon that has an upstream and an entry daemon without.

    The entry daemon accepts connections for ``leave_accept_ms`` after its stop, and
    ends ``grace_ms`` after it.
    """

    async def run() -> None:
        async with harness.open_site() as site:
            await site.create_class("pay", "pay", "/pay", is_idempotent=False)
            await site.create_class("look", "pay", "/look")
            node = await site.add_node("pay")
            entry = await site.add_node(
                "", leave_accept_ms=leave_accept_ms, grace_ms=grace_ms
            )
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
        context.log_lines = list(entry.log_lines)
        assert entry.daemon.parts is not None
        context.n_calls = dict(entry.daemon.parts.statistics.n_calls)

    run_with_upstream(test)


def _read_problem(raw: bytes) -> dict[str, object]:
    body = raw.partition(b"\r\n\r\n")[2]
    document = json.loads(body)
    assert isinstance(document, dict)
    return document


@behave.then(
    'it gets status 400, kind "{kind}" and "Connection: close", '
    "and nothing is forwarded"
)
def check_malformed(context: runner.Context, kind: str) -> None:
    assert context.raw.startswith(b"HTTP/1.1 400"), context.raw
    assert _read_problem(context.raw)["kind"] == kind, context.raw
    assert b"connection: close" in context.raw.lower(), context.raw
    assert context.n_forwarded == 0


@behave.then('it gets status {status:d}, kind "{kind}" and execution "{execution}"')
def check_refusal(
    context: runner.Context, status: int, kind: str, execution: str
) -> None:
    assert context.raw.startswith(b"HTTP/1.1 %d" % status), context.raw
    problem = _read_problem(context.raw)
    assert (problem["kind"], problem["execution"]) == (kind, execution), problem
    assert context.n_forwarded == 0


@behave.then('the entry daemon logged and counted one refusal as "{kind}"')
def check_logged(context: runner.Context, kind: str) -> None:
    refusals = [row for row in context.log_lines if "event=refused" in row]
    assert len(refusals) == 1 and f"kind={kind}" in refusals[0], refusals
    assert context.n_calls == {("-", kind): 1}, context.n_calls


@behave.then("it gets the upstream's response to a body of {n_bytes:d} bytes")
def check_response(context: runner.Context, n_bytes: int) -> None:
    final = context.raw.rpartition(b"HTTP/1.1 ")[2]
    assert final.startswith(b"200"), context.raw
    assert _read_problem(final) == {"nonce": "-", "n_bytes": n_bytes}, context.raw


@behave.when("a caller sends two requests at once on one connection")
def send_pipelined(context: runner.Context) -> None:
    first = b"GET /look HTTP/1.1\r\nHost: pay\r\nx-nonce: one\r\n\r\n"
    second = first.replace(b"one", b"two").replace(
        b"Host", b"Connection: close\r\nHost"
    )

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        context.raw = await site.send_raw(address, first + second)

    run_with_upstream(test)


@behave.then("it gets both responses in order")
def check_order(context: runner.Context) -> None:
    assert context.raw.count(b"HTTP/1.1 200") == 2, context.raw
    assert 0 < context.raw.index(b'"one"') < context.raw.index(b'"two"')


@behave.when(
    "a caller sends hop-by-hop fields, a traceparent, a deadline and extra attempts"
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

    run_with_upstream(test)


@behave.then(
    "the upstream sees the traceparent, the remaining time and attempts, "
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


@behave.when('a {cls} call reaches an upstream with the fault "{fault}"')
def call_with_fault(context: runner.Context, cls: str, fault: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        body = b"x" if cls == "pay" else b""
        context.answer = await site.call(
            entry, "pay", "n1", f"/{cls}", fault, body, deadline_ms=3000
        )
        context.n_runs = site.count_runs("n1")

    run_with_upstream(test)


@behave.then(
    'the caller gets "{result}" and the upstream ran the call {n_runs:d} times'
)
def check_result(context: runner.Context, result: str, n_runs: int) -> None:
    answer = context.answer
    found = str(answer.status)
    if answer.kind:
        found = f"{answer.kind}/{answer.execution}"
    if answer.status == 0:
        found = "truncated"
    assert found == result, answer
    assert context.n_runs == n_runs, context.n_runs


class _StreamedBody:
    """Request body that arrives in parts and then ends in the given way."""

    initial = b""
    is_complete = False
    can_be_sent_again = True

    def __init__(self, n_parts: int, end: str) -> None:
        self._n_left = n_parts
        self._end = end

    async def receive(self) -> bytes:
        await trio.sleep(0.01)
        if self._n_left:
            self._n_left -= 1
            return bytes(60_000)
        if self._end == "its caller closes":
            kind = errors.ErrorKind.CALLER_GONE
            raise callpath.BodyLostError(errors.fail(kind, "closed"))
        if self._end == "its caller is too slow":
            await trio.sleep(100.0)
        return b""


@behave.when("a body of {n_parts:d} parts of 60000 bytes is buffered and {end}")
def buffer_body(context: runner.Context, n_parts: int, end: str) -> None:
    async def run() -> None:
        body_buffer = callpath.BodyBuffer()
        body = _StreamedBody(n_parts, end)
        context.n_buffered = 0
        with trio.move_on_after(1.0):
            try:
                buffered = await body_buffer.read_ahead(body)
            except callpath.BodyLostError:
                pass
            else:
                context.n_buffered = len(buffered.initial)
                body_buffer.release(body, buffered)
        context.n_remaining = body_buffer.n_bytes

    harness.run_on_virtual_clock(run)


@behave.then("{n_bytes:d} bytes were buffered and none remain afterwards")
def check_buffered(context: runner.Context, n_bytes: int) -> None:
    assert context.n_buffered == n_bytes, context.n_buffered
    assert context.n_remaining == 0, context.n_remaining
