"""Steps for calls on peer links of an endpoint daemon that stops."""

import contextlib
import functools
import socket

import behave
import trio
import trio.testing
from behave import runner

from umberdrum import errors, peerlink, sockets, wire
from umberdrum.callpath import _call, _endpoint, _frames, _sinks
from umberdrum.callpath.tests import callpath_steps, discarding_sink
from umberdrum.daemon import _parts
from umberdrum.tests import harness, payment_site

DEADLINE_SECONDS = 30.0
N_WARM_UP_CALLS = 24
GRACE_MS = 1500
PAYMENT = (
    b"POST /pay HTTP/1.1\r\nHost: pay\r\numberdrum-deadline-ms: 9000\r\n"
    b"Content-Length: 0\r\n\r\n"
)
UPLOAD_BYTES = 200_000
UPLOAD_HEAD = (
    b"POST /pay HTTP/1.1\r\nHost: pay\r\numberdrum-deadline-ms: 9000\r\n"
    b"Content-Length: 200000\r\n\r\n"
)
# The loss of a connection is noticed within two checks of the liveness watch.
NOTICE_SECONDS = 0.2
# The addresses of a node are free for its successor soon after its daemon has stopped.
RELEASE_SECONDS = 0.1
BODY_FRAME_BYTES = 1 << 16
# Calls are sent in this many successive passes of the event loop.
N_PASSES = 8
# The event loop runs the tasks of a pass in random order.
N_ROUNDS = 6


class _PeerCalls:
    """Calls that an entry daemon makes over its peer links, past its routing."""

    def __init__(self, node: harness.Node, entry: harness.Node, cls: str) -> None:
        self._client = get_parts(entry).peer_client
        own = get_parts(node).table.own
        self._peer = peerlink.PeerAddress(own.address, own.process_id)
        self._cls = cls
        self.results: list[_endpoint.CallResult] = []

    async def call(self, number: int) -> None:
        """Send one call and store its result."""
        call = build_call(self._cls, f"{self._cls}-{number}")
        sink = _sinks.TrackingSink(discarding_sink.DiscardingSink())
        result = await self._client.run(call, self._peer, _call.WholeBody(b""), sink)
        self.results.append(result)

    async def call_at(self, moment: trio.Event, number: int) -> None:
        """Send one call a few passes of the event loop after ``moment``."""
        await moment.wait()
        for _ in range(number % N_PASSES):
            await trio.lowlevel.checkpoint()
        await self.call(number)

    async def warm_up(self) -> None:
        """Make calls at once, so that their links are idle afterwards."""
        async with trio.open_nursery() as nursery:
            for number in range(N_WARM_UP_CALLS):
                nursery.start_soon(self.call, -1 - number)
        self.results.clear()


def get_parts(node: harness.Node) -> _parts.DaemonParts:
    """Return the parts of a daemon that runs."""
    parts = node.daemon.parts
    assert parts is not None
    return parts


def build_call(cls: str, request_id: str) -> _call.Call:
    """Return a call without a body."""
    return _call.Call(
        request_id=request_id,
        class_name=cls,
        method=b"POST",
        target=b"/" + cls.encode(),
        headers=[(b"host", b"pay"), (b"x-nonce", request_id.encode())],
        deadline=trio.current_time() + DEADLINE_SECONDS,
        n_extra_attempts=0,
        is_idempotent=cls == "look",
        target_latency_ms=1000,
        max_queue_ms=1000,
        content_length=None,
        service="pay",
        target_at=trio.current_time() + DEADLINE_SECONDS,
    )


def _signal_end(parts: _parts.DaemonParts, ended: trio.Event) -> None:
    """Set ``ended`` at the moment at which the endpoint has become idle."""
    wait_until_idle = parts.endpoint.wait_until_idle

    async def wait_and_signal() -> None:
        await wait_until_idle()
        ended.set()

    parts.endpoint.wait_until_idle = wait_and_signal  # type: ignore[method-assign]


@behave.when(
    "{n_calls:d} {cls} calls are sent over peer links "
    "just as the endpoint daemon {moment}"
)
def call_at_stop(context: runner.Context, n_calls: int, cls: str, moment: str) -> None:
    context.results = []
    context.n_runs = 0

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        calls = _PeerCalls(node, entry, cls)
        await calls.warm_up()
        n_earlier_runs = len(node.upstream.begun)
        event = trio.Event()
        async with trio.open_nursery() as nursery:
            for number in range(n_calls):
                nursery.start_soon(calls.call_at, event, number)
            await trio.testing.wait_all_tasks_blocked()
            if moment == "ends":
                _signal_end(get_parts(node), event)
            else:
                event.set()
            node.daemon.stop()
        context.results += calls.results
        context.n_runs += len(node.upstream.begun) - n_earlier_runs

    for _ in range(N_ROUNDS):
        callpath_steps.run_with_upstream(test)


@behave.then("each of them got a response, or is proven not to have run")
def check_results(context: runner.Context) -> None:
    unproven = [
        result.error
        for result in context.results
        if result.is_error() and not errors.is_proven_not_run(result.error.execution)
    ]
    assert not unproven, (len(unproven), len(context.results), unproven[:3])


@behave.then("the number of responses equals the number of runs")
def check_runs(context: runner.Context) -> None:
    n_responses = sum(1 for result in context.results if result.is_ok())
    assert n_responses == context.n_runs, (n_responses, context.n_runs)


@behave.when("a {cls} call outlasts the grace period of an endpoint daemon {state}")
def outlast_grace(context: runner.Context, cls: str, state: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        daemon = node.daemon
        daemon._settings = daemon._settings._replace(grace_ms=GRACE_MS)
        node.upstream.constant_fault = "hang"
        calls = _PeerCalls(node, entry, cls)
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(calls.call, 1)
            await site.wait_until(lambda: bool(node.upstream.begun))
            if state.endswith("queried"):
                (connection,) = get_parts(node).peer_server._connections.values()
                connection.close()
                await trio.sleep(0.1)
            daemon.stop()
        context.result = calls.results[0]
        context.seconds = trio.current_time() - began_at

    callpath_steps.run_with_upstream(test)


@behave.then('it ends with "{result}" at the end of that period')
def check_cut(context: runner.Context, result: str) -> None:
    assert context.result.is_error(), context.result
    failure = context.result.error
    found = f"{failure.kind.token}/{failure.execution.token}"
    assert found == result, failure
    assert context.seconds < GRACE_MS / 1000 + 0.5, context.seconds


async def _open_link(node: harness.Node, entry: harness.Node) -> peerlink.PeerLink:
    own = get_parts(node).table.own
    peer = peerlink.PeerAddress(own.address, own.process_id)
    return await get_parts(entry).peer_pool.open(peer)


async def _send_upload_head(link: peerlink.PeerLink, request_id: str) -> None:
    call = build_call("pay", request_id)
    now = trio.current_time()
    head = _frames.encode_call(call, link.peer.process_id, False, now)
    await link.channel.send(peerlink.FrameKind.CALL, head)


async def _receive_frame(link: peerlink.PeerLink) -> peerlink.Frame:
    """Return the next frame that is no keepalive."""
    while True:
        frame = await link.channel.receive()
        if frame.kind is not peerlink.FrameKind.KEEPALIVE:
            return frame


@behave.given("an endpoint daemon whose upstream is draining")
def set_draining(context: runner.Context) -> None:
    context.upstream_state = "draining"


@behave.when("{n_calls:d} uploads are sent on one link, one after the other")
def send_uploads(context: runner.Context, n_calls: int) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        await site.announce(node, "pay", 4, context.upstream_state)
        link = await _open_link(node, entry)
        context.failures = []
        for number in range(n_calls):
            await _send_upload_head(link, f"upload-{number}")
            frame = await _receive_frame(link)
            assert frame.kind is peerlink.FrameKind.REFUSAL, frame
            message = _frames.parse_head(wire.messages.Refusal, frame)
            context.failures.append(_frames.decode_refusal(message))
        link.close()

    callpath_steps.run_with_upstream(test)


@behave.then('each of them is refused as "{result}"')
def check_refusals(context: runner.Context, result: str) -> None:
    found = {f"{row.kind.token}/{row.execution.token}" for row in context.failures}
    assert found == {result}, context.failures


async def _answer_early(connection: sockets.Connection, n_bytes: int) -> None:
    """Read ``n_bytes`` of a request, respond and read no further."""
    n_read = 0
    while n_read < n_bytes:
        data = await connection.receive()
        assert data
        n_read += len(data)
    await connection.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    await trio.sleep(DEADLINE_SECONDS)


async def _send_body(link: peerlink.PeerLink, n_bytes: int) -> None:
    with contextlib.suppress(sockets.ConnectionLostError):
        for _ in range(n_bytes // BODY_FRAME_BYTES):
            body = bytes(BODY_FRAME_BYTES)
            await link.channel.send(peerlink.FrameKind.BODY, b"", body)


@behave.when(
    "an upstream answers an upload of {n_bytes:d} bytes after {n_read:d} bytes"
)
def answer_upload_early(context: runner.Context, n_bytes: int, n_read: int) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.serve_connection = functools.partial(
            _answer_early, n_bytes=n_read
        )
        link = await _open_link(node, entry)
        await _send_upload_head(link, "upload")
        context.received = []
        async with trio.open_nursery() as nursery:
            frame = await _receive_frame(link)
            assert frame.kind is peerlink.FrameKind.ADMITTED, frame
            nursery.start_soon(_send_body, link, n_bytes)
            try:
                while True:
                    frame = await _receive_frame(link)
                    context.received.append(frame.kind.name)
            except sockets.ConnectionLostError as fault:
                context.received.append(str(fault))
            nursery.cancel_scope.cancel()
        link.close()

    callpath_steps.run_with_upstream(test)


@behave.then("the link brings the response, a closing frame and the end of the stream")
def check_early_answer(context: runner.Context) -> None:
    expected = ["RESPONSE", "CLOSING", "closed by the peer"]
    assert context.received == expected, context.received


@behave.when("a {cls} call is sent on an idle link that {ending}")
def call_on_ending_link(context: runner.Context, cls: str, ending: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        calls = _PeerCalls(node, entry, cls)
        await calls.warm_up()
        pool = get_parts(entry).peer_pool
        acquire = pool.acquire

        async def acquire_ending(peer: peerlink.PeerAddress) -> peerlink.PeerLink:
            # The link is chosen first, so that the call crosses its end.
            link = await acquire(peer)
            assert link.idle_since > 0.0
            if ending.startswith("the peer"):
                for served in get_parts(node).peer_server._links:
                    served.close_for_requests()
            else:
                link.channel.connection._socket.shutdown(socket.SHUT_WR)
            return link

        pool.acquire = acquire_ending  # type: ignore[method-assign]
        await calls.call(1)
        (context.result,) = calls.results
        context.n_runs = node.upstream.begun.count(f"{cls}-1")

    callpath_steps.run_with_upstream(test)


@behave.then("the caller gets a response from its only run")
def check_single_run(context: runner.Context) -> None:
    assert context.result.is_ok(), context.result
    assert context.n_runs == 1, context.n_runs


@behave.when(
    "the link of a payment that runs for 2 s is silent for {seconds:g} s "
    "and its daemon {state}"
)
def silence_link(context: runner.Context, seconds: float, state: str) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            entry = await payment_site.start_payments(site, n_nodes=1)
            node = site.nodes[0]
            assert node.link is not None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_pay, context, site, entry)
                await site.wait_until(lambda: bool(node.upstream.begun))
                node.link.pause()
                if state.startswith("stops"):
                    node.daemon.stop()
                await trio.sleep(seconds)
                node.link.resume()
            context.n_runs = site.count_runs("n1")

    harness.run_on_virtual_clock(run)


async def _pay(
    context: runner.Context, site: harness.Site, entry: harness.Node
) -> None:
    context.answer = await site.call(
        entry,
        "payments",
        "n1",
        "/pay",
        "slow",
        b"x",
        deadline_ms=int(DEADLINE_SECONDS * 1000),
    )


@behave.then("the payment gets a response and its upstream ran it once")
def check_payment(context: runner.Context) -> None:
    assert context.answer.status == 200, context.answer
    assert context.n_runs == 1, context.n_runs


@behave.when("a payment of 2 s loses {other_side}, and its daemon stops")
def lose_other_side(context: runner.Context, other_side: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.constant_fault = "slow"
        async with trio.open_nursery() as nursery:
            if other_side == "its caller":
                address = node.settings.caller_listen
                nursery.start_soon(site.send_raw, address, PAYMENT)
            else:
                nursery.start_soon(_PeerCalls(node, entry, "pay").call, 1)
            await site.wait_until(lambda: bool(node.upstream.begun))
            nursery.cancel_scope.cancel()
        await trio.sleep(NOTICE_SECONDS)
        node.daemon.stop()
        began_at = trio.current_time()
        await node.daemon.wait_stopped()
        context.seconds = trio.current_time() - began_at
        context.upstream = node.upstream

    callpath_steps.run_with_upstream(test)


@behave.then(
    "the upstream has run the payment to its end and the daemon has waited for it"
)
def check_run_to_end(context: runner.Context) -> None:
    upstream = context.upstream
    found = (upstream.begun, upstream.ended, upstream.cancelled)
    assert len(upstream.ended) == 1 and not upstream.cancelled, found
    assert context.seconds > 1.0, context.seconds


@behave.when(
    "an endpoint daemon {end}, is replaced at its address, "
    "and gets {n_calls:d} {cls} calls for it"
)
def call_replaced(context: runner.Context, end: str, n_calls: int, cls: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        calls = _PeerCalls(node, entry, cls)
        await calls.warm_up()
        if end == "crashes":
            site.kill(node)
        else:
            node.daemon.stop()
            await node.daemon.wait_stopped()
        await trio.sleep(RELEASE_SECONDS)
        await site.add_node("pay", replaces=node)
        async with trio.open_nursery() as nursery:
            for number in range(n_calls):
                nursery.start_soon(calls.call, number)
        context.failures = [result.error for result in calls.results]

    callpath_steps.run_with_upstream(test)


@behave.when("a payment runs for 2 s elsewhere and {who} of its daemons stop")
def stop_during_payment(context: runner.Context, who: str) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            entry = await payment_site.start_payments(site, n_nodes=1)
            node = site.nodes[0]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_pay, context, site, entry)
                await site.wait_until(lambda: bool(node.upstream.begun))
                if who != "the entry":
                    node.daemon.stop()
                if who != "the endpoint":
                    entry.daemon.stop()
            context.n_runs = site.count_runs("n1")

    harness.run_on_virtual_clock(run)


@behave.when(
    "the caller of an upload sends its second half "
    "{seconds:g} s after the endpoint daemon stops"
)
def upload_during_stop(context: runner.Context, seconds: float) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        await caller.send(UPLOAD_HEAD + bytes(UPLOAD_BYTES // 2))
        await trio.sleep(NOTICE_SECONDS)
        assert get_parts(node).endpoint.n_in_progress == 1
        node.daemon.stop()
        await trio.sleep(seconds)
        await caller.send(bytes(UPLOAD_BYTES // 2))
        context.raw = await caller.receive()
        caller.close()
        context.n_runs = len(node.upstream.begun)

    callpath_steps.run_with_upstream(test)


@behave.then(
    "the caller gets a response of status 200 to its only run, or 503 without a run"
)
def check_upload(context: runner.Context) -> None:
    status = context.raw[9:12]
    expected = {1: b"200", 0: b"503"}
    assert status == expected.get(context.n_runs), (context.raw, context.n_runs)
