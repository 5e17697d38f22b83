"""Steps for requests that a daemon reads while it stops, up to its end."""

import contextlib
import itertools
from collections.abc import Awaitable, Callable

import behave
import h11
import trio
from behave import runner

from umberdrum import sockets
from umberdrum.callpath.tests import callpath_steps
from umberdrum.tests import harness
from umberdrum_bench import http_server

LEAVE_ACCEPT_MS = 500
GRACE_MS = 2_000
FIRST_PART_SECONDS = 0.1
HEAD_PART_BYTES = 20
# More than the entry daemon reads before it routes a request.
UPLOAD_BYTES = 100_000
UPLOAD_PART_BYTES = 80_000
# More than the endpoint daemon buffers before it sends the request to the upstream.
LONG_UPLOAD_BYTES = 400_000
LONG_UPLOAD_PART_BYTES = 300_000
LONG_RESPONSE_BYTES = 64 << 20
N_CALLERS = 6
N_AHEAD = 3
LOAD_SERVICE_SECONDS = 0.3
LOAD_DEADLINE_MS = 3_000
LOAD_BEFORE_SECONDS = 0.2
PAUSE_SECONDS = 0.03
RESPONSE_TIMEOUT_SECONDS = 10.0


class _Response:
    """Response as a caller has received it; status 0 if it is not whole."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers

    def describe(self) -> str:
        """Return the kind and execution of a failure, else the status."""
        if "umberdrum-error" not in self.headers:
            return str(self.status)
        execution = self.headers["umberdrum-execution"]
        return f"{self.headers['umberdrum-error']}/{execution}"


class _Caller:
    """Connection on which a caller sends requests and reads the responses in order."""

    def __init__(self, connection: sockets.Connection) -> None:
        self._connection = connection
        self._unparsed = b""

    async def send(self, data: bytes) -> bool:
        """Send ``data``; return whether the connection took it."""
        with contextlib.suppress(sockets.ConnectionLostError):
            await self._connection.send(data)
            return True
        return False

    async def receive(self) -> _Response:
        """Return the next response."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        http.send(h11.EndOfMessage())
        if self._unparsed:
            http.receive_data(self._unparsed)
        found = _Response(0, {})
        with contextlib.suppress(sockets.ConnectionLostError, h11.RemoteProtocolError):
            while True:
                event = await http_server.receive_event(self._connection, http)
                if isinstance(event, h11.Response):
                    headers = {k.decode(): v.decode() for k, v in event.headers}
                    found = _Response(event.status_code, headers)
                elif isinstance(event, h11.EndOfMessage):
                    self._unparsed = http.trailing_data[0]
                    return found
                elif not isinstance(event, h11.Data):
                    break
        return _Response(0, found.headers)

    def close(self) -> None:
        self._connection.close()


def _build_request(cls: str, nonce: str, deadline_ms: int, n_bytes: int = 0) -> bytes:
    method = "POST" if cls == "pay" else "GET"
    head = (
        f"{method} /{cls} HTTP/1.1\r\nHost: pay\r\nx-nonce: {nonce}\r\n"
        f"umberdrum-deadline-ms: {deadline_ms}\r\ncontent-length: {n_bytes}\r\n\r\n"
    )
    return head.encode() + bytes(n_bytes)


def _split_request(part: str, cls: str, deadline_ms: int) -> tuple[bytes, bytes]:
    """Return what is sent before the stop, and the late rest."""
    if part == "the head":
        raw = _build_request(cls, "late", deadline_ms)
        return raw[:HEAD_PART_BYTES], raw[HEAD_PART_BYTES:]
    if part == "the body":
        raw = _build_request(cls, "late", deadline_ms, 10)
        return raw[:-5], raw[-5:]
    if part == "a long end":
        raw = _build_request(cls, "late", deadline_ms, LONG_UPLOAD_BYTES)
        return raw[:LONG_UPLOAD_PART_BYTES], raw[LONG_UPLOAD_PART_BYTES:]
    raw = _build_request(cls, "late", deadline_ms, UPLOAD_BYTES)
    return raw[:UPLOAD_PART_BYTES], raw[UPLOAD_PART_BYTES:]


def _prepare_stop(node: harness.Node, entry: harness.Node, role: str) -> harness.Node:
    """Return the daemon to stop, which is also the entry of the calls."""
    stopping = entry if role == "entry" else node
    daemon = stopping.daemon
    daemon._settings = daemon._settings._replace(
        leave_accept_ms=LEAVE_ACCEPT_MS, grace_ms=GRACE_MS
    )
    return stopping


async def _connect(node: harness.Node) -> _Caller:
    return _Caller(await sockets.connect(node.settings.caller_listen, 1.0))


@behave.when(
    "{part} of a {cls} request of {deadline_ms:d} ms arrives {seconds:g} s after the "
    "{role} daemon stops, and it runs for {service:g} s"
)
def send_late(
    context: runner.Context,
    part: str,
    cls: str,
    deadline_ms: int,
    seconds: float,
    role: str,
    service: float,
) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        stopping = _prepare_stop(node, entry, role)
        node.upstream.service_seconds = service
        first, rest = _split_request(part, cls, deadline_ms)
        caller = await _connect(stopping)
        await caller.send(first)
        await trio.sleep(FIRST_PART_SECONDS)
        stopped_at = trio.current_time()
        stopping.daemon.stop()

        async def send_rest() -> None:
            await trio.sleep(seconds)
            await caller.send(rest)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_rest)
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
                context.response = await caller.receive()
            context.seconds = trio.current_time() - stopped_at
            nursery.cancel_scope.cancel()
        caller.close()
        await stopping.daemon.wait_stopped()
        context.n_runs = node.upstream.begun.count("late")

    callpath_steps.run_with_upstream(test)


@behave.then(
    'the caller gets a whole response of "{result}" within {limit:g} s, after '
    "{n_runs:d} runs"
)
def check_late(context: runner.Context, result: str, limit: float, n_runs: int) -> None:
    found = (context.response.describe(), context.n_runs)
    assert found == (result, n_runs), (found, context.seconds)
    assert context.seconds <= limit, context.seconds


@behave.when(
    "the {role} daemon stops while a {cls} request waits behind a call that hangs"
)
def wait_behind(context: runner.Context, role: str, cls: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        stopping = _prepare_stop(node, entry, role)
        node.upstream.service_seconds = 2 * RESPONSE_TIMEOUT_SECONDS
        caller = await _connect(stopping)
        await caller.send(
            _build_request("look", "first", 30_000)
            + _build_request(cls, "behind", 30_000)
        )
        await trio.sleep(FIRST_PART_SECONDS)
        stopping.daemon.stop()
        context.responses = [await caller.receive() for _ in range(2)]
        caller.close()
        await stopping.daemon.wait_stopped()
        context.n_runs = node.upstream.begun.count("behind")

    callpath_steps.run_with_upstream(test)


@behave.then("the caller gets 504, and then 503 for a request that has not run")
def check_behind(context: runner.Context) -> None:
    found = [row.describe() for row in context.responses]
    expected = ["outcome-unknown/may-have-run", "endpoint-leaving/not-run"]
    assert found == expected, found
    assert context.n_runs == 0, context.n_runs


@behave.when(
    "a {cls} request follows on a kept connection {seconds:g} s after the entry daemon "
    "stops"
)
def send_after_stop(context: runner.Context, cls: str, seconds: float) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        stopping = _prepare_stop(node, entry, "entry")
        daemon = stopping.daemon
        # The daemon accepts callers for some time after the request.
        daemon._settings = daemon._settings._replace(leave_accept_ms=GRACE_MS)
        caller = await _connect(stopping)
        await caller.send(_build_request(cls, "early", LOAD_DEADLINE_MS))
        context.responses = [await caller.receive()]
        stopping.daemon.stop()
        await trio.sleep(seconds)
        await caller.send(_build_request(cls, "late", LOAD_DEADLINE_MS))
        context.responses.append(await caller.receive())
        caller.close()

    callpath_steps.run_with_upstream(test)


@behave.then("its response announces the close, and the one before it does not")
def check_announcements(context: runner.Context) -> None:
    assert [row.status for row in context.responses] == [200, 200]
    found = [row.headers.get("connection") for row in context.responses]
    assert found == [None, "close"], found


@behave.when(
    "a {cls} call gets the head of its response only, and the {role} daemon stops"
)
def stop_during_response(context: runner.Context, cls: str, role: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        stopping = _prepare_stop(node, entry, "entry" if role == "entry" else "both")
        node.upstream.constant_fault = "stalled-body"
        caller = await _connect(node if role == "both" else entry)
        await caller.send(_build_request(cls, "late", 30_000))
        await trio.sleep(FIRST_PART_SECONDS)
        stopped_at = trio.current_time()
        stopping.daemon.stop()
        context.response = await caller.receive()
        context.seconds = trio.current_time() - stopped_at
        caller.close()
        await stopping.daemon.wait_stopped()
        context.end_seconds = trio.current_time() - stopped_at
        context.n_runs = node.upstream.begun.count("late")

    callpath_steps.run_with_upstream(test)


async def _send_long_response(connection: sockets.Connection) -> None:
    """Answer one request with more than all buffers on the way hold."""
    await connection.receive()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {LONG_RESPONSE_BYTES}\r\n\r\n"
    with contextlib.suppress(sockets.ConnectionLostError):
        await connection.send(head.encode())
        await connection.send(bytes(LONG_RESPONSE_BYTES))
    connection.close()


@behave.when(
    "the {role} daemon stops while a {cls} call's caller reads nothing of its response"
)
def stop_with_unread_response(context: runner.Context, role: str, cls: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        stopping = _prepare_stop(node, entry, "entry" if role == "entry" else "both")
        node.upstream.serve_connection = _send_long_response
        caller = await _connect(node if role == "both" else entry)
        await caller.send(_build_request(cls, "late", 30_000))
        await trio.sleep(FIRST_PART_SECONDS)
        stopped_at = trio.current_time()
        stopping.daemon.stop()
        await stopping.daemon.wait_stopped()
        context.end_seconds = trio.current_time() - stopped_at
        caller.close()

    callpath_steps.run_with_upstream(test)


@behave.then("the daemon has ended within {limit:g} s")
def check_end(context: runner.Context, limit: float) -> None:
    assert context.end_seconds <= limit, context.end_seconds


class _Load:
    """Callers that send requests until the daemon takes no more.

    ``responses`` holds the response to each request that was sent, by its nonce.
    """

    def __init__(self, stopping: harness.Node) -> None:
        self._stopping = stopping
        self._numbers = itertools.count()
        self.responses: dict[str, _Response] = {}

    def _build_next(self) -> tuple[str, bytes]:
        number = next(self._numbers)
        cls = ("pay", "look")[number % 2]
        return f"n{number}", _build_request(cls, f"n{number}", LOAD_DEADLINE_MS)

    async def _exchange(self, caller: _Caller) -> bool:
        nonce, request = self._build_next()
        if not await caller.send(request):
            return False
        self.responses[nonce] = await caller.receive()
        return self.responses[nonce].status > 0

    async def run_kept(self) -> None:
        """Send requests on one connection until it ends."""
        caller = await _connect(self._stopping)
        while await self._exchange(caller):
            await trio.sleep(PAUSE_SECONDS)
        caller.close()

    async def run_new(self) -> None:
        """Send requests on new connections until none is accepted."""
        while True:
            try:
                caller = await _connect(self._stopping)
            except sockets.ConnectionLostError:
                return
            await self._exchange(caller)
            caller.close()
            await trio.sleep(PAUSE_SECONDS)

    async def run_pipelined(self) -> None:
        """Keep requests waiting on one connection until it ends."""
        caller = await _connect(self._stopping)
        waiting: list[str] = []
        is_open = True
        while is_open or waiting:
            while is_open and len(waiting) < N_AHEAD:
                nonce, request = self._build_next()
                is_open = await caller.send(request)
                if is_open:
                    waiting.append(nonce)
            if not waiting:
                break
            nonce = waiting.pop(0)
            self.responses[nonce] = await caller.receive()
            if not self.responses[nonce].status:
                is_open = False
            await trio.sleep(PAUSE_SECONDS)
        caller.close()


@behave.when(
    "callers send requests on {connections} connections until the {role} daemon has "
    "ended"
)
def load_until_end(context: runner.Context, connections: str, role: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        stopping = _prepare_stop(node, entry, role)
        node.upstream.service_seconds = LOAD_SERVICE_SECONDS
        load = _Load(stopping)
        runs: dict[str, Callable[[], Awaitable[None]]] = {
            "kept": load.run_kept,
            "new": load.run_new,
            "pipelined": load.run_pipelined,
        }
        async with trio.open_nursery() as nursery:
            for _ in range(N_CALLERS):
                nursery.start_soon(runs[connections])
            await trio.sleep(LOAD_BEFORE_SECONDS)
            stopping.daemon.stop()
            await stopping.daemon.wait_stopped()
        context.responses = load.responses
        context.begun = list(node.upstream.begun)

    callpath_steps.run_with_upstream(test)


@behave.then("every request got a whole response, or was not run")
def check_load(context: runner.Context) -> None:
    statuses = {key: row.status for key, row in context.responses.items()}
    assert 200 in statuses.values(), statuses
    for nonce, status in statuses.items():
        assert status in (0, 200, 503), (nonce, status)
        n_runs = context.begun.count(nonce)
        assert n_runs == (status == 200), (nonce, status, n_runs)
