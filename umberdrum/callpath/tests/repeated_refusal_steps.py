"""Steps for refusals that arrive once more on a kept connection or peer link."""

import contextlib
import json
import re
from unittest import mock

import behave
import h11
import trio
from behave import runner

from umberdrum import errors, peerlink, sockets
from umberdrum.callpath import (
    _call,
    _dialect,
    _endpoint,
    _frames,
    _peer_server,
    _sinks,
    _upstream,
)
from umberdrum.callpath.tests import callpath_steps, discarding_sink, peer_stop_steps
from umberdrum.tests import harness
from umberdrum_bench import http_server

DIALECT = _dialect.OWN_DIALECT._replace(not_run=b"umberdrum-not-run")
IDLE_SECONDS = 0.05
SERVICE_SECONDS = 0.2
# More than the endpoint daemon buffers before it sends the request to the upstream.
UPLOAD_BYTES = 400_000
FIRST_UPLOAD_BYTES = 300_000


class _RepeatingUpstream:
    """Upstream that refuses requests of the nonce "refused" and repeats the refusal.

    ``moment`` tells when it writes the copy. ``begun`` holds the nonces of the requests
    that it runs, ``n_connections`` counts connections.
    """

    def __init__(self, status: int, has_id: bool, moment: str) -> None:
        self._status = status
        self._has_id = has_id
        self._n_copies = 3 if moment.startswith("three times") else 1
        self._moment = moment.removeprefix("three times ")
        self.echoes = True
        self.begun: list[str] = []
        self.n_connections = 0
        self.n_repeated = 0

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve requests until the daemon closes the connection."""
        self.n_connections += 1
        http = h11.Connection(h11.SERVER)
        copy = b""
        with contextlib.suppress(sockets.ConnectionLostError, h11.ProtocolError):
            while True:
                head = await http_server.receive_event(connection, http)
                if not isinstance(head, h11.Request):
                    return
                fields = {k.decode(): v.decode() for k, v in head.headers}
                if self._moment == "inside the next request":
                    await self._repeat(connection, copy)
                await http_server.receive_body(connection, http)
                if self._moment.startswith("after the next"):
                    await self._repeat(connection, copy)
                if fields.get("x-nonce") == "refused":
                    copy = await self._refuse(connection, http, fields)
                else:
                    await self._run(connection, http, fields)
                http.start_next_cycle()

    async def _repeat(self, connection: sockets.Connection, copy: bytes) -> None:
        self.n_repeated += bool(copy)
        await connection.send(copy)

    async def _refuse(
        self,
        connection: sockets.Connection,
        http: h11.Connection,
        fields: dict[str, str],
    ) -> bytes:
        """Send a refusal, with a copy if it is due now; return the later copy."""
        headers = [("content-length", "0"), ("umberdrum-not-run", "1")]
        if self.echoes:
            name = "umberdrum-request-id"
            headers.append((name, fields[name]))
        response = h11.Response(status_code=self._status, headers=headers)
        data = http.send(response) or b""
        data += http.send(h11.EndOfMessage()) or b""
        lines = data.split(b"\r\n")
        if not self._has_id:
            lines = [row for row in lines if not row.startswith(b"umberdrum-request")]
        copy = self._n_copies * b"\r\n".join(lines)
        if self._moment == "at once":
            data += copy
        await connection.send(data)
        if self._moment == "while idle":
            await trio.sleep(IDLE_SECONDS)
            await connection.send(copy)
        self.n_repeated += self._moment in ("at once", "while idle")
        return copy

    async def _run(
        self,
        connection: sockets.Connection,
        http: h11.Connection,
        fields: dict[str, str],
    ) -> None:
        nonce = fields.get("x-nonce", "probe")
        self.begun.append(nonce)
        await trio.sleep(SERVICE_SECONDS)
        name = "umberdrum-request-id"
        headers = [(name, fields[name])] if name in fields and self.echoes else []
        await http_server.send_json(connection, http, {"nonce": nonce}, 200, headers)


def _use_upstream(node: harness.Node, upstream: _RepeatingUpstream) -> None:
    """Let ``node`` use ``upstream`` and understand its refusals."""
    node.upstream.serve_connection = upstream.serve
    endpoint = peer_stop_steps.get_parts(node).endpoint
    endpoint.relay._dialect = DIALECT
    endpoint.relay.on_misdirected = None
    endpoint.pool._traits.echoes_request_id = upstream.echoes


@behave.given(
    "an upstream that repeats its refusal with status {status:d} and {copy_id} id, "
    "{moment}"
)
def set_upstream(
    context: runner.Context, status: int, copy_id: str, moment: str
) -> None:
    context.moment = moment
    context.upstream = _RepeatingUpstream(status, copy_id == "its", moment)


@behave.given("no response of it has carried an id yet")
def set_no_echo(context: runner.Context) -> None:
    context.upstream.echoes = False


@behave.when("a payment with {second} id follows the refused one")
def pay_after_refusal(context: runner.Context, second: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _use_upstream(node, context.upstream)
        first = await site.call(entry, "pay", "refused", "/pay", body=b"x")
        assert (first.status, first.execution) == (503, "not-run"), first
        await trio.sleep(2 * IDLE_SECONDS)
        second_id = "id-refused" if second == "the same" else "id-next"
        context.raw = await _upload_in_halves(entry, second_id)

    callpath_steps.run_with_upstream(test)


@behave.when("{n_calls:d} payments are refused")
def refuse_payments(context: runner.Context, n_calls: int) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _use_upstream(node, context.upstream)
        for number in range(n_calls):
            request_id = f"id-{number}"
            found = await site.call(
                entry, "pay", "refused", "/pay", body=b"x", request_id=request_id
            )
            assert (found.status, found.execution) == (503, "not-run"), found

    callpath_steps.run_with_upstream(test)


@behave.then("the upstream got them on {n_connections:d} connections")
def check_connections(context: runner.Context, n_connections: int) -> None:
    assert context.upstream.n_connections == n_connections


async def _upload_in_halves(entry: harness.Node, request_id: str) -> bytes:
    """Send a payment whose body arrives in two parts; return the response."""
    caller = await sockets.connect(entry.settings.caller_listen, 1.0)
    head = (
        f"POST /pay HTTP/1.1\r\nHost: pay\r\nx-nonce: next\r\nConnection: close\r\n"
        f"umberdrum-request-id: {request_id}\r\numberdrum-deadline-ms: 5000\r\n"
        f"content-length: {UPLOAD_BYTES}\r\n\r\n"
    )
    received = b""
    with contextlib.suppress(sockets.ConnectionLostError):
        await caller.send(head.encode() + bytes(FIRST_UPLOAD_BYTES))
        await trio.sleep(SERVICE_SECONDS)
        await caller.send(bytes(UPLOAD_BYTES - FIRST_UPLOAD_BYTES))
        while data := await caller.receive():
            received += data
    caller.close()
    return received


@behave.then("the payment got the response to its only run, or may have run")
def check_payment(context: runner.Context) -> None:
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert context.upstream.n_repeated or context.upstream.n_connections > 1
    n_runs = context.upstream.begun.count("next")
    assert n_runs <= 1, context.upstream.begun
    if head.startswith(b"HTTP/1.1 200"):
        assert n_runs == 1 and json.loads(body)["nonce"] == "next", context.raw
        return
    assert json.loads(body)["execution"] == "may-have-run", context.raw


@behave.when("a probe follows the refused payment")
def probe_after_refusal(context: runner.Context) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _use_upstream(node, context.upstream)
        await site.call(entry, "pay", "refused", "/pay", body=b"x")
        pool = peer_stop_steps.get_parts(node).endpoint.pool
        upstream = await pool.acquire()
        context.head = None
        with contextlib.suppress(_upstream.UpstreamFailureError):
            context.head = await upstream.fetch_head("/health")
        pool.release(upstream, False)

    callpath_steps.run_with_upstream(test)


@behave.then("the probe reports no response")
def check_probe(context: runner.Context) -> None:
    assert context.upstream.n_repeated == 1
    assert context.head is None, context.head


@behave.when(
    "an endpoint daemon repeats the refusal of a {cls} call {moment}, and another call "
    "follows"
)
def repeat_frame(context: runner.Context, cls: str, moment: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        server = peer_stop_steps.get_parts(node).peer_server
        channel_heads: list[bytes] = []
        refuse = server._refuse

        async def refuse_twice(
            channel: peerlink.FrameChannel, call: _call.Call, failure: errors.Failure
        ) -> None:
            await refuse(channel, call, failure)
            head = _frames.encode_refusal(call.request_id, failure, None)
            if moment == "at once":
                await channel.send(peerlink.FrameKind.REFUSAL, head)
            else:
                channel_heads.append(head)

        serve_call = server._serve_call

        async def serve_after_copy(
            link: _peer_server._ServedLink, frame: peerlink.Frame
        ) -> bool:
            while channel_heads:
                head = channel_heads.pop()
                await link.channel.send(peerlink.FrameKind.REFUSAL, head)
            return await serve_call(link, frame)

        server._refuse = refuse_twice  # type: ignore[method-assign]
        server._serve_call = serve_after_copy  # type: ignore[method-assign]
        await site.announce(node, "pay", 4, "draining")
        refused = await _call_peer(node, entry, cls, "refused")
        assert refused.is_error(), refused
        await site.announce(node, "pay", 4, "serving")
        peer_pool = peer_stop_steps.get_parts(entry).peer_pool
        n_opened = peer_pool.n_opened
        context.result = await _call_peer(node, entry, cls, "next")
        context.n_runs = node.upstream.begun.count("next")
        context.n_new_links = peer_pool.n_opened - n_opened

    callpath_steps.run_with_upstream(test)


@behave.then("the other call got its response on a new link")
def check_new_link(context: runner.Context) -> None:
    assert context.result.is_ok(), context.result
    assert context.n_new_links == 1, context.n_new_links


@behave.when("an endpoint daemon answers a {cls} call with the id of another one")
def answer_with_other_id(context: runner.Context, cls: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        encode = _frames.encode_response

        def encode_other(
            _request_id: str,
            head: _call.HttpResponseHead,
            report: _call.CallReport,
            is_complete: bool,
        ) -> bytes:
            return encode("another", head, report, is_complete)

        with mock.patch.object(_frames, "encode_response", encode_other):
            context.result = await _call_peer(node, entry, cls, "next")
        assert context.result.is_error(), context.result
        context.n_runs = node.upstream.begun.count("next")

    callpath_steps.run_with_upstream(test)


async def _call_peer(
    node: harness.Node, entry: harness.Node, cls: str, request_id: str
) -> _endpoint.CallResult:
    own = peer_stop_steps.get_parts(node).table.own
    peer = peerlink.PeerAddress(own.address, own.process_id)
    client = peer_stop_steps.get_parts(entry).peer_client
    call = peer_stop_steps.build_call(cls, request_id)
    sink = _sinks.TrackingSink(discarding_sink.DiscardingSink())
    return await client.run(call, peer, _call.WholeBody(b""), sink)


@behave.then("the call got the response to its only run, or may have run")
def check_peer_call(context: runner.Context) -> None:
    assert context.n_runs <= 1, context.n_runs
    if context.result.is_ok():
        assert context.n_runs == 1, context.result
        return
    execution = context.result.error.execution
    assert execution is errors.Execution.MAY_HAVE_RUN, context.result


@behave.when(
    "the second of three pipelined requests is refused before the first is answered"
)
def refuse_in_pipeline(context: runner.Context) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _use_upstream(node, _RepeatingUpstream(503, True, "while idle"))
        raw = b"".join(_build_lookup(nonce) for nonce in ("n1", "refused", "n3"))
        context.raw = await site.send_raw(entry.settings.caller_listen, raw)

    callpath_steps.run_with_upstream(test)


def _build_lookup(nonce: str) -> bytes:
    close = "Connection: close\r\n" if nonce == "n3" else ""
    return (
        f"GET /look HTTP/1.1\r\nHost: pay\r\nx-nonce: {nonce}\r\n{close}"
        f"umberdrum-request-id: id-{nonce}\r\n\r\n"
    ).encode()


@behave.then("the caller gets 200, 503 and 200, each for its own request")
def check_pipeline(context: runner.Context) -> None:
    found = re.findall(rb"HTTP/1.1 (\d+) .*?(id-\w+)", context.raw, re.DOTALL)
    expected = [(b"200", b"id-n1"), (b"503", b"id-refused"), (b"200", b"id-n3")]
    assert found == expected, context.raw
