"""Steps for the ways in which a daemon ends its callers' connections."""

import contextlib
import json
import re
import socket
from typing import NamedTuple

import behave
import trio
import trio.testing
from behave import runner

from umberdrum import callpath, settings, sockets
from umberdrum.callpath.tests import callpath_steps
from umberdrum.daemon import _shutdown
from umberdrum.tests import harness

DEADLINE_MS = 5_000
STOP_AFTER_SECONDS = 0.1
CONNECT_BEFORE_SECONDS = 0.02
MAX_CLOSE_PASSES = 20
IDLE_TIMEOUT_SECONDS = 5.0
LEAVE_ACCEPT_MS = 2_500
# The stopping daemon spreads its departure for that long.
# An idle daemon closes its listeners this long after its departure.
END_AFTER_SECONDS = _shutdown.ARRIVAL_SECONDS
N_CONTROL_CLIENTS = 20
CALL_SECONDS = 4.0
N_SLOTS = 4
STREAM_SERVICE_SECONDS = 0.1
RESPONSE_TIMEOUT_SECONDS = 60.0


def _build_request(nonce: str, path: str = "/look", fault: str = "") -> bytes:
    """Return a request; one to ``/pay`` has a body."""
    method, body = ("POST", b"x") if path == "/pay" else ("GET", b"")
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: pay\r\nx-nonce: {nonce}\r\n"
        f"umberdrum-deadline-ms: {DEADLINE_MS}\r\n"
    )
    if fault:
        head += f"x-fault: {fault}\r\n"
    if body:
        head += f"content-length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class _Exchange(NamedTuple):
    """Requests sent before the stop, and when the next one follows it."""

    requests: bytes
    service_seconds: float
    next_after_seconds: float


EXCHANGES = {
    # The head arrives 0.3 s after the request, the body 0.1 s later.
    "a response with a late body": _Exchange(
        _build_request("n0", fault="late-body"), 0.3, 0.25
    ),
    "a response that awaits its turn": _Exchange(
        _build_request("n0", fault="slow") + _build_request("n1"), 0.3, 0.5
    ),
    "a slow response": _Exchange(_build_request("n0", fault="slow"), 0.01, 0.5),
}
NEXT_PATHS = {"a look-up": "/look", "a payment": "/pay"}


class _RawResponse(NamedTuple):
    """Response as the caller has received it."""

    status: int
    head: bytes
    body: bytes
    is_complete: bool

    @property
    def announces_close(self) -> bool:
        """Whether the connection ends after this response."""
        return b"connection: close" in self.head


def _split_responses(raw: bytes) -> list[_RawResponse]:
    responses: list[_RawResponse] = []
    while raw:
        head, _, rest = raw.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        n_bytes = int(length.group(1)) if length else 0
        body, raw = rest[:n_bytes], rest[n_bytes:]
        is_complete = length is not None and len(body) == n_bytes
        status = int(head.split(b" ", 2)[1]) if head.startswith(b"HTTP/1.1 ") else 0
        responses.append(_RawResponse(status, head.lower(), body, is_complete))
    return responses


async def _check_closed(address: settings.Address) -> None:
    """Fail unless the listener at ``address`` is closed by now or some passes later."""
    for _ in range(MAX_CLOSE_PASSES):
        try:
            connection = await sockets.connect(address, 1.0)
        except sockets.ConnectionLostError:
            return
        connection.close()
    raise AssertionError(f"{address} still accepts connections")


async def _receive_until_closed(connection: sockets.Connection) -> bytes:
    """Return what arrives until the connection ends, also if it is reset."""
    received = b""
    try:
        with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            while data := await connection.receive():
                received += data
    except sockets.ConnectionLostError:
        pass
    finally:
        connection.close()
    return received


@behave.when(
    "a daemon that accepts {leave_accept_ms:d} ms longer is stopped during {earlier}, "
    "and {following} follows"
)
def stop_during_response(
    context: runner.Context, leave_accept_ms: int, earlier: str, following: str
) -> None:
    exchange = EXCHANGES[earlier]

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.service_seconds = exchange.service_seconds
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        await caller.send(exchange.requests)
        await trio.sleep(STOP_AFTER_SECONDS)
        entry.daemon.stop()
        await trio.sleep(exchange.next_after_seconds)
        await caller.send(_build_request("next", NEXT_PATHS[following]))
        raw = await _receive_until_closed(caller)
        context.responses = _split_responses(raw)

    callpath_steps.run_with_upstream(test, leave_accept_ms)


@behave.then(
    "the caller gets {n_responses:d} complete responses, and {announcing} announces "
    "the close"
)
def check_responses(context: runner.Context, n_responses: int, announcing: str) -> None:
    responses = context.responses
    assert all(row.is_complete and row.status == 200 for row in responses), responses
    assert len(responses) == n_responses, responses
    announced = [row.announces_close for row in responses]
    is_last_announced = {"only the last": True, "none": False}[announcing]
    assert announced == [False] * (n_responses - 1) + [is_last_announced], responses


@behave.when(
    "a caller that sends 2 requests at once sends another as a leaving daemon responds"
)
def cross_response(context: runner.Context) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.service_seconds = 2 * STOP_AFTER_SECONDS
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        await caller.send(_build_request("n0") + _build_request("n1"))
        await trio.sleep(STOP_AFTER_SECONDS)
        entry.daemon.stop()
        # Both responses are sent, but not received yet.
        await trio.sleep(2 * STOP_AFTER_SECONDS)
        await caller.send(_build_request("n2"))
        context.responses = _split_responses(await _receive_until_closed(caller))

    callpath_steps.run_with_upstream(test, LEAVE_ACCEPT_MS)


@behave.when(
    "a daemon that accepts {leave_accept_ms:d} ms longer is stopped while "
    "{n_ahead:d} requests always wait"
)
def stop_during_stream(
    context: runner.Context, leave_accept_ms: int, n_ahead: int
) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.service_seconds = STREAM_SERVICE_SECONDS
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        for index in range(n_ahead):
            await caller.send(_build_request(f"n{index}"))
        n_sent = n_ahead
        raw = b""
        stop_at = trio.current_time() + STOP_AFTER_SECONDS
        while data := await caller.receive():
            raw += data
            if trio.current_time() >= stop_at:
                entry.daemon.stop()
            with contextlib.suppress(sockets.ConnectionLostError):
                while n_sent < raw.count(b"HTTP/1.1 ") + n_ahead:
                    await caller.send(_build_request(f"n{n_sent}"))
                    n_sent += 1
        caller.close()
        context.responses = _split_responses(raw)
        await entry.daemon.wait_stopped()
        context.stop_seconds = trio.current_time() - stop_at

    callpath_steps.run_with_upstream(test, leave_accept_ms)


@behave.then(
    "the caller gets its responses in order, and only the last announces the close"
)
def check_stream(context: runner.Context) -> None:
    responses = context.responses
    check_responses(context, len(responses), "only the last")
    nonces = [json.loads(row.body)["nonce"] for row in responses]
    assert nonces == [f"n{index}" for index in range(len(responses))], nonces


@behave.then("the daemon ends within {limit:g} s")
def check_stop_seconds(context: runner.Context, limit: float) -> None:
    assert context.stop_seconds <= limit, context.stop_seconds


class _Arrival(NamedTuple):
    """Parts of requests before and after a daemon closes its listener.

    ``read_seconds`` is the time that the daemon has to read the first part.
    """

    first: bytes
    rest: bytes
    n_callers: int
    read_seconds: float
    after_seconds: float


PAYMENT = _build_request("p", "/pay")
ARRIVALS = {
    "with half a head received": _Arrival(PAYMENT[:20], PAYMENT[20:], 1, 0.01, 1.5),
    "with half a body received": _Arrival(PAYMENT[:-1], PAYMENT[-1:], 1, 0.01, 1.5),
    "just after 40 callers have connected": _Arrival(b"", PAYMENT, 40, 0.0, 0.05),
    "just as 40 callers send requests": _Arrival(PAYMENT, b"", 40, 0.0, 0.0),
}


@behave.when(
    "a daemon that accepts {leave_accept_ms:d} ms longer closes its listener {moment}"
)
def close_listener(context: runner.Context, leave_accept_ms: int, moment: str) -> None:
    arrival = ARRIVALS[moment]

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        if leave_accept_ms:
            entry.daemon.stop()
            leaves_after = leave_accept_ms / 1000 - _shutdown.DEPARTURE_SECONDS
            closes_after = leaves_after + END_AFTER_SECONDS
            await trio.sleep(closes_after - CONNECT_BEFORE_SECONDS)
        address = entry.settings.caller_listen
        raw_sockets = [
            socket.create_connection((address.host, address.port))
            for _ in range(arrival.n_callers)
        ]
        for raw_socket in raw_sockets:
            raw_socket.sendall(arrival.first)
        callers = [sockets.Connection(row) for row in raw_sockets]
        if arrival.read_seconds:
            await trio.sleep(arrival.read_seconds)
        # Without a wait in between, the listener is closed before all are accepted.
        entry.daemon.stop()
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(CONNECT_BEFORE_SECONDS)
        await trio.sleep(arrival.after_seconds)
        for caller in callers:
            with contextlib.suppress(sockets.ConnectionLostError):
                await caller.send(arrival.rest)
        await _check_closed(address)
        context.responses = [await _receive_until_closed(row) for row in callers]

    callpath_steps.run_with_upstream(test, leave_accept_ms)


def _set_idle_timeout(entry: harness.Node) -> None:
    """Give the callers of ``entry`` an idle timeout of ``IDLE_TIMEOUT_SECONDS``."""
    parts = entry.daemon.parts
    assert parts is not None
    limits = callpath.CallerLimits(65_536, 3.0, 3.0, IDLE_TIMEOUT_SECONDS)
    parts.caller_server._get_limits = lambda: limits


async def _receive_first(caller: sockets.Connection) -> None:
    first = await caller.receive()
    assert first.startswith(b"HTTP/1.1 200"), first


@behave.when(
    "a caller sends a request {seconds:g} s after a response that took 2 s, "
    "idle timeout 5 s"
)
def send_after_idle(context: runner.Context, seconds: float) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _set_idle_timeout(entry)
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        await caller.send(_build_request("n0", fault="slow"))
        await _receive_first(caller)
        await trio.sleep(seconds)
        with contextlib.suppress(sockets.ConnectionLostError):
            await caller.send(_build_request("n1"))
        context.responses = [await _receive_until_closed(caller)]

    callpath_steps.run_with_upstream(test)


@behave.when(
    "{n_callers:d} callers in turn send a request at the moment of the idle timeout, "
    "unless closed"
)
def send_at_timeout(context: runner.Context, n_callers: int) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _set_idle_timeout(entry)
        context.responses = []
        for _ in range(n_callers):
            caller = await sockets.connect(entry.settings.caller_listen, 1.0)
            idle_until = trio.current_time() + IDLE_TIMEOUT_SECONDS
            # The daemon's timer and this one expire in the same pass of the scheduler.
            await trio.sleep_until(idle_until)
            if caller.is_lost():
                continue
            await caller.send(_build_request("n1"))
            context.responses.append(await _receive_until_closed(caller))

    callpath_steps.run_with_upstream(test)


@behave.when("a caller stays idle for the idle timeout")
def stay_idle(context: runner.Context) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        _set_idle_timeout(entry)
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        connected_at = trio.current_time()
        context.raw = await _receive_until_closed(caller)
        context.seconds = trio.current_time() - connected_at

    callpath_steps.run_with_upstream(test)


@behave.then("it is disconnected after {low:g} to {high:g} s with no response")
def check_idle_close(context: runner.Context, low: float, high: float) -> None:
    assert low <= context.seconds <= high, context.seconds
    assert context.raw == b"", context.raw


@behave.when(
    "a daemon is stopped with {n_connections:d} open connections on which nothing "
    "follows"
)
def stop_unused(context: runner.Context, n_connections: int) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        callers = [await sockets.connect(address, 1.0) for _ in range(n_connections)]
        await trio.sleep(STOP_AFTER_SECONDS)
        stopped_at = trio.current_time()
        entry.daemon.stop()
        context.raws = [await _receive_until_closed(caller) for caller in callers]
        context.close_seconds = trio.current_time() - stopped_at
        await entry.daemon.wait_stopped()
        context.stop_seconds = trio.current_time() - stopped_at

    callpath_steps.run_with_upstream(test)


@behave.then(
    "each of them is closed within {close_limit:g} s, and the daemon ends within "
    "{stop_limit:g} s"
)
def check_unused(
    context: runner.Context, close_limit: float, stop_limit: float
) -> None:
    assert not any(context.raws), context.raws
    assert context.close_seconds <= close_limit, context.close_seconds
    assert context.stop_seconds <= stop_limit, context.stop_seconds


def _build_control_request(address: str, node: harness.Node) -> bytes:
    if address == "admin":
        return b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    document = {
        "service": "pay",
        "address": str(node.upstream.address),
        "slots": 4,
        "state": "draining",
    }
    body = json.dumps(document).encode()
    head = f"PUT /v1/upstream HTTP/1.1\r\nHost: x\r\ncontent-length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


@behave.when(
    "{first} of a request to the {address} address has arrived on a {kind} connection "
    "as the daemon ends"
)
def end_during_control_request(
    context: runner.Context, first: str, address: str, kind: str
) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        listen = entry.settings.admin_listen
        if address == "announce":
            listen = entry.settings.announce_listen
        request = _build_control_request(address, node)
        n_first = {"all": len(request), "half": len(request) // 2, "nothing": 0}[first]
        entry.daemon.stop()
        await trio.sleep(END_AFTER_SECONDS - 2 * CONNECT_BEFORE_SECONDS)
        raw_sockets = [
            socket.create_connection((listen.host, listen.port))
            for _ in range(N_CONTROL_CLIENTS)
        ]
        clients = [sockets.Connection(row) for row in raw_sockets]
        if kind == "kept":
            for client in clients:
                await client.send(request)
                await client.receive()
        # Without a wait in between, the daemon has read none of the requests.
        for raw_socket in raw_sockets:
            raw_socket.sendall(request[:n_first])
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(2 * CONNECT_BEFORE_SECONDS)
        await trio.sleep(CONNECT_BEFORE_SECONDS)
        for client in clients:
            with contextlib.suppress(sockets.ConnectionLostError):
                await client.send(request[n_first:])
        await _check_closed(listen)
        context.responses = [await _receive_until_closed(row) for row in clients]
        await entry.daemon.wait_stopped()

    callpath_steps.run_with_upstream(test)


async def _apply_event(
    event: str, site: harness.Site, node: harness.Node, entry: harness.Node
) -> None:
    match event:
        case "the entry daemon reloads settings":
            entry.daemon.reload(entry.settings)
        case "the entry daemon stops":
            entry.daemon.stop()
        case "the upstream drains":
            node.upstream.state = "draining"
            await site.announce(node, "pay", N_SLOTS, "draining")
        case "the upstream's daemon stops":
            node.daemon.stop()
        case _:
            raise ValueError(event)


@behave.when("{event} during {n_calls:d} calls that take 2 s")
def apply_event_during_calls(context: runner.Context, event: str, n_calls: int) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        callers = [await sockets.connect(address, 1.0) for _ in range(n_calls)]
        for index, caller in enumerate(callers):
            await caller.send(_build_request(f"n{index}", fault="slow"))
        await trio.sleep(STOP_AFTER_SECONDS)
        await _apply_event(event, site, node, entry)
        with trio.move_on_after(CALL_SECONDS):
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(_collect, caller, context.raws)
        context.responses = [_split_responses(raw) for raw in context.raws]

    context.raws = []
    callpath_steps.run_with_upstream(test)


async def _collect(caller: sockets.Connection, raws: list[bytes]) -> None:
    """Add what the caller receives before it is disconnected or cancelled."""
    index = len(raws)
    raws.append(b"")
    with contextlib.suppress(sockets.ConnectionLostError):
        while data := await caller.receive():
            raws[index] += data


@behave.then("each of them gets a complete response with status {status:d}")
def check_statuses(context: runner.Context, status: int) -> None:
    for responses in context.responses:
        found = [(row.status, row.is_complete) for row in responses]
        assert found == [(status, True)], context.responses


@behave.when(
    "a daemon is stopped during {n_calls:d} {kind}, with a grace period of "
    "{grace_ms:d} ms"
)
def exceed_grace(
    context: runner.Context, n_calls: int, kind: str, grace_ms: int
) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        address = entry.settings.caller_listen
        path = "/pay" if kind == "payments" else "/look"
        n_connections = 1 if kind == "calls in one pipeline" else n_calls
        callers = [await sockets.connect(address, 1.0) for _ in range(n_connections)]
        for index in range(n_calls):
            caller = callers[index % n_connections]
            await caller.send(_build_request(f"n{index}", path, "hang"))
        await trio.sleep(STOP_AFTER_SECONDS)
        stopped_at = trio.current_time()
        entry.daemon.stop()
        raws = [await _receive_until_closed(caller) for caller in callers]
        await entry.daemon.wait_stopped()
        context.stop_seconds = trio.current_time() - stopped_at
        context.responses = [_split_responses(raw) for raw in raws]
        if n_connections == 1:
            context.responses = [[row] for row in context.responses[0]]
        assert len(context.responses) == n_calls, raws

    callpath_steps.run_with_upstream(test, grace_ms=grace_ms)
