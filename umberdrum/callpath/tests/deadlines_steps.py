"""Steps for calls that are held up before they reach an upstream."""

import re

import behave
import trio
from behave import runner

from umberdrum import sockets
from umberdrum.callpath.tests import callpath_steps
from umberdrum.tests import harness, payment_site

MS_PER_SECOND = 1000.0
UPTIME_SECONDS = 10.0
STALL_DEADLINE_MS = 1000
_REQUEST_ID = re.compile(rb"umberdrum-request-id: (\S+)", re.IGNORECASE)


@behave.when(
    "a {cls} call with a deadline of {deadline_ms:d} ms goes to a peer that accepts "
    "connections and stays silent"
)
def call_silent_peer(context: runner.Context, cls: str, deadline_ms: int) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            await site.create_class("pay", "pay", "/pay", is_idempotent=False)
            await site.create_class("look", "pay", "/look")
            node = await site.add_node("pay", has_link=True)
            entry = await site.add_node("")
            await site.wait_until_known(2)
            parts = entry.daemon.parts
            assert parts is not None and node.link is not None
            directory = parts.directory
            await site.wait_until(lambda: len(directory.list_candidates("pay")) == 1)
            parts.peer_pool.close_all()
            node.link.pause()
            began_at = trio.current_time()
            body = b"x" if cls == "pay" else b""
            context.answer = await site.call(
                entry, "pay", "n1", f"/{cls}", "", body, deadline_ms=deadline_ms
            )
            context.ms = (trio.current_time() - began_at) * MS_PER_SECOND
            context.candidates = list(directory.list_candidates("pay"))

    harness.run_on_virtual_clock(run)


@behave.then('the caller gets "{result}" after {min_ms:d} to {max_ms:d} ms')
def check_result_in_time(
    context: runner.Context, result: str, min_ms: int, max_ms: int
) -> None:
    answer = context.answer
    assert f"{answer.kind}/{answer.execution}" == result, answer
    assert min_ms <= round(context.ms) <= max_ms, context.ms


@behave.then("the endpoint is suspected by its entry daemon")
def check_suspected(context: runner.Context) -> None:
    assert [row.is_suspected for row in context.candidates] == [True]


@behave.when(
    "{n_calls:d} {cls} calls with a deadline of {deadline_ms:d} ms can go to a peer "
    "that stays silent and to another"
)
def call_past_silent_peer(
    context: runner.Context, n_calls: int, cls: str, deadline_ms: int
) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            entry = await payment_site.start_payments(site, n_slots=n_calls)
            parts = entry.daemon.parts
            silent = site.nodes[0]
            assert parts is not None and silent.link is not None
            parts.peer_pool.close_all()
            silent.link.pause()
            body = b"x" if cls == "pay" else b""
            context.answers = []

            async def call(nonce: str) -> None:
                answer = await site.call(
                    entry,
                    "payments",
                    nonce,
                    f"/{cls}",
                    "",
                    body,
                    deadline_ms=deadline_ms,
                )
                context.answers.append(answer)

            nonces = [f"n{index}" for index in range(n_calls)]
            async with trio.open_nursery() as nursery:
                for nonce in nonces:
                    nursery.start_soon(call, nonce)
            context.n_runs = [site.count_runs(nonce) for nonce in nonces]
            context.n_silent_runs = len(silent.upstream.begun)

    harness.run_on_virtual_clock(run)


@behave.then("each of them gets a response and is run once")
def check_all_answered(context: runner.Context) -> None:
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, statuses
    assert set(context.n_runs) == {1}, context.n_runs
    assert context.n_silent_runs == 0


@behave.when(
    "a {cls} request with a deadline of {deadline_ms:d} ms on a {connection} "
    "connection is read {wait_ms:d} ms late"
)
def read_late(
    context: runner.Context, cls: str, deadline_ms: int, connection: str, wait_ms: int
) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        body = b"x" if cls == "pay" else b""
        await trio.sleep(UPTIME_SECONDS)
        if connection == "kept":
            await site.call(entry, "pay", "first", f"/{cls}", "", body)
        with harness.replace_wait_measure(lambda _connection: wait_ms / MS_PER_SECOND):
            context.answer = await site.call(
                entry, "pay", "late", f"/{cls}", "", body, deadline_ms=deadline_ms
            )
        context.n_runs = node.upstream.begun.count("late")
        context.fields = node.upstream.seen_headers[-1] if context.n_runs else {}

    callpath_steps.run_with_upstream(test)


@behave.then(
    'the caller gets "{result}" and the upstream runs it {n_runs:d} times with at most '
    "{left_ms:d} ms"
)
def check_time_left(
    context: runner.Context, result: str, n_runs: int, left_ms: int
) -> None:
    answer = context.answer
    found = str(answer.status)
    if answer.kind:
        found = f"{answer.kind}/{answer.execution}"
    assert found == result, answer
    assert context.n_runs == n_runs, context.n_runs
    given_ms = int(context.fields.get("umberdrum-deadline-ms", 0))
    assert (given_ms > 0) == (n_runs > 0), context.fields
    assert given_ms <= left_ms, given_ms


async def _stall_in_response(connection: sockets.Connection) -> None:
    """Send the head of a response and one byte of its body, and nothing more."""
    found = _REQUEST_ID.search(await connection.receive())
    assert found is not None
    await connection.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"
        b"umberdrum-request-id: " + found.group(1) + b"\r\n\r\n{"
    )
    await connection.receive()


@behave.when(
    "a {cls} call at the {place} daemon reaches an upstream that stalls inside its "
    "response"
)
def call_stalling_upstream(context: runner.Context, cls: str, place: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.serve_connection = _stall_in_response
        at = node if place == "endpoint" else entry
        body = b"x" if cls == "pay" else b""
        began_at = trio.current_time()
        context.answer = await site.call(
            at, "pay", "n1", f"/{cls}", "", body, deadline_ms=STALL_DEADLINE_MS
        )
        context.ms = (trio.current_time() - began_at) * MS_PER_SECOND

    callpath_steps.run_with_upstream(test)
