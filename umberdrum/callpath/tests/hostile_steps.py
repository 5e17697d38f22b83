"""Steps for callers and upstreams that send bytes without end."""

import contextlib
import functools
import itertools
import re
import socket

import behave
import h11
import trio
from behave import runner

from umberdrum import callpath, sockets
from umberdrum.callpath import _call, _caller_exchange, _dialect, _upstream
from umberdrum.callpath.tests import callpath_steps, discarding_sink
from umberdrum.tests import harness
from umberdrum_bench import http_server

PART_BYTES = 16_384
PART_INTERVAL_SECONDS = 0.002
CALL_DEADLINE_MS = 3_000
MAX_HEAD_BYTES = 65_536
REPEAT_SECONDS = 0.08
SERVICE_SECONDS = 0.1
BODY_PAUSE_SECONDS = 1.5
REQUEST = b"GET /look HTTP/1.1\r\nHost: pay\r\n\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# First bytes, and the bytes that are repeated without end.
UPSTREAM_BYTES = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "header value": (OK_HEAD + b"X-Long: ", b"x"),
    "header fields": (OK_HEAD, b"X-A: b\r\n"),
    "chunk extension": (CHUNKED_HEAD + b"5;", b"x"),
    "chunk size": (CHUNKED_HEAD, b"0"),
    "trailer fields": (CHUNKED_HEAD + b"0\r\n", b"X-A: b\r\n"),
    "body": (OK_HEAD + b"\r\n", b"x"),
    "surplus": (OK_HEAD + b"Content-Length: 2\r\n\r\nok", b"x"),
}
CALLER_BYTES = {
    "blank lines": (b"", b"\r\n"),
    "request line": (b"GET /", b"x"),
    "header value": (b"GET /look HTTP/1.1\r\nHost: ", b"x"),
    "header fields": (b"GET /look HTTP/1.1\r\nHost: pay\r\n", b"X-A: b\r\n"),
    "chunk extension": (
        b"POST /pay HTTP/1.1\r\nHost: pay\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        b"x",
    ),
}


class _EndlessUpstream:
    """Upstream that answers every request with bytes that never end."""

    def __init__(self, kind: str) -> None:
        self._first, unit = UPSTREAM_BYTES[kind]
        self._part = unit * (PART_BYTES // len(unit))
        self.n_disconnected = 0

    async def serve(self, connection: sockets.Connection) -> None:
        """Send until the daemon closes the connection."""
        await connection.receive()
        await _send_until_closed(connection, self._first, self._part)
        self.n_disconnected += 1


async def _send_until_closed(
    connection: sockets.Connection, first: bytes, part: bytes
) -> None:
    try:
        await connection.send(first)
        while True:
            await connection.send(part)
            await trio.sleep(PART_INTERVAL_SECONDS)
    except sockets.ConnectionLostError:
        return


@behave.when("a {cls} call reaches an upstream that sends endless {kind}")
def call_endless_upstream(context: runner.Context, cls: str, kind: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        upstream = _EndlessUpstream(kind)
        node.upstream.serve_connection = upstream.serve
        audit = _BufferAudit()
        began_at = trio.current_time()
        body = b"x" if cls == "pay" else b""
        with audit.watch():
            context.answer = await site.call(
                entry, "pay", "n1", f"/{cls}", "", body, deadline_ms=CALL_DEADLINE_MS
            )
            context.seconds = trio.current_time() - began_at
            await trio.sleep(0.2)
        context.n_disconnected = upstream.n_disconnected
        context.n_buffered = audit.n_most

    callpath_steps.run_with_upstream(test)


class _BufferAudit:
    """Records the most bytes that any HTTP parser of the process holds."""

    def __init__(self) -> None:
        self.n_most = 0

    def watch(self) -> "_ParserWatch":
        """Return a context in which all parsers are watched."""
        return _ParserWatch(self)


class _ParserWatch:
    def __init__(self, audit: _BufferAudit) -> None:
        self._audit = audit

    def __enter__(self) -> None:
        self._original = h11.Connection.receive_data
        audit = self._audit
        original = self._original

        def receive_data(parser: h11.Connection, data: bytes) -> None:
            original(parser, data)
            audit.n_most = max(audit.n_most, len(parser.trailing_data[0]))

        h11.Connection.receive_data = receive_data  # type: ignore[assignment, method-assign]

    def __exit__(self, *_details: object) -> None:
        h11.Connection.receive_data = self._original  # type: ignore[method-assign]


@behave.then(
    'the caller gets "{result}" within {limit:f} s, and the upstream is disconnected'
)
def check_endless_result(context: runner.Context, result: str, limit: float) -> None:
    answer = context.answer
    found = str(answer.status) if answer.status else "truncated"
    if answer.kind:
        found = f"{answer.kind}/{answer.execution}"
    assert found == result, answer
    assert context.seconds <= limit, context.seconds
    assert context.n_disconnected >= 1


@behave.then("the daemon buffered at most {n_bytes:d} bytes of it")
def check_buffered(context: runner.Context, n_bytes: int) -> None:
    assert 0 < context.n_buffered <= n_bytes, context.n_buffered


class _RepeatingUpstream:
    """Upstream that sends each response a second time, a little later."""

    def __init__(self, echoes: bool) -> None:
        self._echoes = echoes

    async def serve(self, connection: sockets.Connection) -> None:
        """Answer requests until the daemon closes the connection."""
        http = h11.Connection(h11.SERVER)
        async with trio.open_nursery() as nursery:
            try:
                while await self._serve_one(connection, http, nursery):
                    http.start_next_cycle()
            except (sockets.ConnectionLostError, h11.RemoteProtocolError):
                nursery.cancel_scope.cancel()

    async def _serve_one(
        self,
        connection: sockets.Connection,
        http: h11.Connection,
        nursery: trio.Nursery,
    ) -> bool:
        head = await http_server.receive_event(connection, http)
        if not isinstance(head, h11.Request):
            return False
        await http_server.receive_body(connection, http)
        await trio.sleep(SERVICE_SECONDS)
        fields = {name.decode(): value.decode() for name, value in head.headers}
        headers = []
        if self._echoes:
            name = "umberdrum-request-id"
            headers = [(name, fields[name])]
        body = {"nonce": fields["x-nonce"], "n_bytes": 0}
        recorder = _SendRecorder(connection)
        await http_server.send_json(recorder, http, body, 200, headers)  # type: ignore[arg-type]
        nursery.start_soon(_send_late, connection, recorder.sent)
        return True


class _SendRecorder:
    """Connection that keeps what is sent on it."""

    def __init__(self, connection: sockets.Connection) -> None:
        self._connection = connection
        self.sent = b""

    async def send(self, data: bytes) -> None:
        """Send ``data`` and keep it."""
        self.sent += data
        await self._connection.send(data)


async def _send_late(connection: sockets.Connection, data: bytes) -> None:
    await trio.sleep(REPEAT_SECONDS)
    with contextlib.suppress(sockets.ConnectionLostError):
        await connection.send(data)


@behave.when(
    "{n_callers:d} callers in turn call an upstream that {echoes} ids, {gap_ms:d} ms "
    "apart, and sends each response twice"
)
def call_repeating_upstream(
    context: runner.Context, n_callers: int, echoes: str, gap_ms: int
) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.serve_connection = _RepeatingUpstream(echoes == "echoes").serve
        context.wrong = []
        context.n_answered = 0
        context.n_callers = n_callers
        for index in range(n_callers):
            answer = await site.call(entry, "pay", f"n{index}", "/look")
            context.n_answered += answer.status == 200
            if answer.status == 200 and answer.nonce != f"n{index}":
                context.wrong.append((index, answer.nonce))
            await trio.sleep(gap_ms / 1000)

    callpath_steps.run_with_upstream(test)


@behave.then("{n_wrong:d} of them get a response that is not their own")
def check_own_responses(context: runner.Context, n_wrong: int) -> None:
    assert len(context.wrong) == n_wrong, context.wrong
    assert context.n_answered == context.n_callers, context.n_answered


@behave.when("a daemon is stopped just as {n_requests:d} requests arrive on {kind}")
def stop_under_load(context: runner.Context, n_requests: int, kind: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        raw_sockets = [
            socket.create_connection((address.host, address.port))
            for _ in range(n_requests)
        ]
        callers = [sockets.Connection(row) for row in raw_sockets]
        if kind.startswith("kept"):
            for caller in callers:
                await caller.send(REQUEST)
                first = await caller.receive()
                assert first.startswith(b"HTTP/1.1 200"), first
            await trio.sleep(1.0)
        # Without a wait in between, the daemon has read none of the requests.
        for raw_socket in raw_sockets:
            raw_socket.sendall(REQUEST)
        entry.daemon.stop()
        context.responses = [await _receive_response(row) for row in callers]

    callpath_steps.run_with_upstream(test)


@behave.when("a daemon is stopped just as the next request follows a response")
def stop_after_response(context: runner.Context) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        assert entry.daemon.parts is not None
        server = entry.daemon.parts.caller_server
        address = entry.settings.caller_listen
        raw_socket = socket.create_connection((address.host, address.port))
        connection = sockets.Connection(raw_socket)
        exchange_type = _caller_exchange.CallerExchange
        can_reuse_connection = exchange_type.can_reuse_connection

        def stop(exchange: _caller_exchange.CallerExchange) -> bool:
            # The first response was sent, and its request still counts.
            exchange_type.can_reuse_connection = (  # type: ignore[method-assign]
                can_reuse_connection
            )
            raw_socket.sendall(REQUEST)
            server.start_closing()
            entry.daemon.stop()
            return can_reuse_connection(exchange)

        await connection.send(REQUEST)
        exchange_type.can_reuse_connection = stop  # type: ignore[method-assign, assignment]
        first = await connection.receive()
        assert first.startswith(b"HTTP/1.1 200"), first
        context.responses = [await _receive_response(connection)]

    callpath_steps.run_with_upstream(test)


@behave.when("a daemon is stopped between the two parts of a request's body")
def stop_in_body(context: runner.Context) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        connection = await sockets.connect(entry.settings.caller_listen, 1.0)
        await connection.send(
            b"POST /look HTTP/1.1\r\nHost: pay\r\numberdrum-deadline-ms: 10000\r\n"
            b"Content-Length: 4\r\n\r\nab"
        )
        await trio.sleep(BODY_PAUSE_SECONDS)
        entry.daemon.stop()
        await trio.sleep(BODY_PAUSE_SECONDS)
        with contextlib.suppress(sockets.ConnectionLostError):
            await connection.send(b"cd")
        context.responses = [await _receive_response(connection)]

    callpath_steps.run_with_upstream(test)


@behave.when("a caller sends a {method} request with a malformed chunk")
def send_malformed_chunk(context: runner.Context, method: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        context.raw = await site.send_raw(
            entry.settings.caller_listen,
            f"{method} /look HTTP/1.1\r\nHost: pay\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        )

    callpath_steps.run_with_upstream(test)


@behave.then("it gets a 400 response")
def check_malformed(context: runner.Context) -> None:
    assert context.raw.startswith(b"HTTP/1.1 400 "), context.raw


async def _receive_response(connection: sockets.Connection) -> bytes:
    """Return the bytes of a response, empty if the connection is reset."""
    received = b""
    try:
        while data := await connection.receive():
            received += data
    except sockets.ConnectionLostError:
        return b""
    finally:
        connection.close()
    return received


@behave.then("each of them gets a complete response")
def check_complete(context: runner.Context) -> None:
    incomplete: list[bytes] = []
    n_served = 0
    for raw in context.responses:
        head, _, body = raw.partition(b"\r\n\r\n")
        found = re.search(rb"content-length: (\d+)", head)
        if found is None or int(found.group(1)) != len(body):
            incomplete.append(raw)
        n_served += head.startswith(b"HTTP/1.1 200")
    assert not incomplete, incomplete
    assert n_served > 0


@behave.when("a caller sends endless {kind}")
def send_endless(context: runner.Context, kind: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        first, unit = CALLER_BYTES[kind]
        audit = _BufferAudit()
        began_at = trio.current_time()
        connection = await sockets.connect(entry.settings.caller_listen, 1.0)
        with audit.watch():
            async with trio.open_nursery() as nursery:
                part = unit * (PART_BYTES // len(unit))
                nursery.start_soon(_send_until_closed, connection, first, part)
                context.raw = b""
                try:
                    while data := await connection.receive():
                        context.raw += data
                except sockets.ConnectionLostError:
                    pass
                context.seconds = trio.current_time() - began_at
                connection.close()
                nursery.cancel_scope.cancel()
        context.n_buffered = audit.n_most

    callpath_steps.run_with_upstream(test)


@behave.then("it gets status {status:d} or is disconnected within {limit:d} s")
def check_endless_caller(context: runner.Context, status: int, limit: int) -> None:
    expected = b"HTTP/1.1 %d" % status
    assert not context.raw or context.raw.startswith(expected), context.raw[:200]
    assert context.seconds <= limit, context.seconds


class _CountingSink(discarding_sink.DiscardingSink):
    """Counts the body bytes that it discards."""

    def __init__(self) -> None:
        self.n_bytes = 0

    async def write(self, data: bytes) -> None:
        """Count body bytes."""
        self.n_bytes += len(data)


async def _count_turns(turns: list[int]) -> None:
    """Count the passes of the scheduler."""
    while True:
        turns[0] += 1
        await trio.lowlevel.checkpoint()


def _open_pair() -> tuple[socket.socket, sockets.Connection]:
    listener = socket.create_server(("127.0.0.1", 0))
    sender = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    return sender, sockets.Connection(accepted)


@behave.given("{n_chunks:d} chunks of one byte that have already arrived from {peer}")
def set_chunks(context: runner.Context, n_chunks: int, peer: str) -> None:
    context.n_chunks = n_chunks
    context.peer = peer


@behave.when("the daemon reads them")
def read_chunks(context: runner.Context) -> None:
    chunks = b"1\r\nx\r\n" * context.n_chunks + b"0\r\n\r\n"

    async def read_as_caller(connection: sockets.Connection) -> int:
        limits = callpath.CallerLimits(MAX_HEAD_BYTES, 3.0, 3.0, 15.0)
        exchange = _caller_exchange.CallerExchange(
            connection, lambda: limits, "d", _dialect.OWN_DIALECT, b""
        )
        assert await exchange.receive_request() is not None
        body: _call.RequestBody = await exchange.receive_first_body_part()
        return len(body.initial)

    async def read_as_upstream(connection: sockets.Connection) -> int:
        upstream = _upstream.UpstreamConnection(connection, _dialect.OWN_DIALECT)
        sink = _CountingSink()
        await upstream.receive_head()
        await upstream.relay_body(sink)
        return sink.n_bytes

    async def run() -> None:
        sender, connection = _open_pair()
        turns = [0]
        async with trio.open_nursery() as nursery:
            if context.peer == "a caller":
                head = (
                    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                read = read_as_caller
            else:
                head = CHUNKED_HEAD
                read = read_as_upstream
            send = functools.partial(sender.sendall, head + chunks)
            nursery.start_soon(trio.to_thread.run_sync, send)
            await trio.sleep(0.2)
            nursery.start_soon(_count_turns, turns)
            context.n_read = await read(connection)
            context.n_turns = turns[0]
            nursery.cancel_scope.cancel()
        sender.close()
        connection.close()

    trio.run(run)


@behave.then("other tasks get a turn at least once for every {n_chunks:d} chunks")
def check_turns(context: runner.Context, n_chunks: int) -> None:
    assert context.n_read == context.n_chunks, context.n_read
    assert context.n_turns * n_chunks >= context.n_chunks, context.n_turns


@behave.given("a connection on which a peer always has more bytes")
def set_busy_connection(context: runner.Context) -> None:
    context.n_turns = 0


class _BusySocket:
    """Socket that always has bytes to read."""

    def recv(self, max_bytes: int) -> bytes:
        return bytes(max_bytes)


@behave.when("{n_reads:d} reads of {n_bytes:d} bytes are made")
def read_busy(context: runner.Context, n_reads: int, n_bytes: int) -> None:
    async def run() -> None:
        sender, connection = _open_pair()
        connection._socket.close()
        connection._socket = _BusySocket()  # type: ignore[assignment]
        turns = [0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_count_turns, turns)
            for _ in itertools.repeat(None, n_reads):
                await connection.receive(n_bytes)
            context.n_turns = turns[0]
            nursery.cancel_scope.cancel()
        sender.close()

    context.n_reads = n_reads
    trio.run(run)


@behave.then("other tasks get a turn at least once for every {n_reads:d} reads")
def check_read_turns(context: runner.Context, n_reads: int) -> None:
    assert context.n_turns * n_reads >= context.n_reads, context.n_turns
