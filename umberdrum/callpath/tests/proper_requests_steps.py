"""Steps for proper requests whose form or timing is unusual."""

import contextlib
import json
import socket

import behave
import trio
from behave import runner

from umberdrum import callpath, classes, peerlink, settings, sockets
from umberdrum.callpath import _dialect, _peer_server, _upstream
from umberdrum.callpath.tests import callpath_steps
from umberdrum.tests import harness

PART_INTERVAL_SECONDS = 0.1
RESPONSES_SECONDS = 5.0
HEAD_TIMEOUT_SECONDS = 3.0
MAX_HEAD_BYTES = 9000
STOP_AFTER_SECONDS = 0.5
LAST_PART_BYTES = 10_000
# Between two checks for callers that are gone, which close without a response.
END_AFTER_SECONDS = 0.12
REQUEST = b"GET /look HTTP/1.1\r\nHost: pay\r\nx-nonce: second\r\n\r\n"
HALF_BYTES = len(REQUEST) // 2
UPLOAD_DEADLINE_MS = 1000
N_DRIPS = 30
MARKERS = (b'"nonce": "first"', b'"nonce": "second"')


def _build_upload(n_bytes: int, n_next: int) -> list[bytes]:
    """Return an upload in parts; the first ``n_next`` bytes of a look-up follow it."""
    head = (
        b"POST /pay HTTP/1.1\r\nHost: pay\r\nx-nonce: first\r\n"
        b"Content-Length: %d\r\n\r\n" % n_bytes
    )
    return [
        head + bytes(n_bytes - LAST_PART_BYTES),
        bytes(LAST_PART_BYTES) + REQUEST[:n_next],
        REQUEST[n_next:],
    ]


async def _exchange(address: settings.Address, parts: list[bytes]) -> bytes:
    """Send the parts on one connection, with pauses; return what is received."""
    received = b""
    connection = await sockets.connect(address, 1.0)
    try:
        for part in parts:
            await connection.send(part)
            await trio.sleep(PART_INTERVAL_SECONDS)
        with trio.move_on_after(RESPONSES_SECONDS):
            while any(marker not in received for marker in MARKERS):
                data = await connection.receive()
                if not data:
                    break
                received += data
    finally:
        connection.close()
    return received


@behave.when(
    "a caller sends {n_bytes:d} body bytes to the {place} daemon, whose last part "
    "brings {share} of the next request"
)
def send_behind_body(
    context: runner.Context, n_bytes: int, place: str, share: str
) -> None:
    parts = _build_upload(n_bytes, len(REQUEST) if share == "all" else HALF_BYTES)

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        at = node if place == "endpoint" else entry
        context.raw = await _exchange(at.settings.caller_listen, parts)

    callpath_steps.run_with_upstream(test)


@behave.when(
    "a caller sends {n_bytes:d} body bytes and all of the next request, and the daemon "
    "is stopped during the first"
)
def stop_during_upload(context: runner.Context, n_bytes: int) -> None:
    parts = _build_upload(n_bytes, len(REQUEST))

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        node.upstream.service_seconds = STOP_AFTER_SECONDS * 2

        async def stop() -> None:
            await trio.sleep(STOP_AFTER_SECONDS)
            assert node.upstream.n_running == 1
            entry.daemon.stop()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            context.raw = await _exchange(entry.settings.caller_listen, parts)

    callpath_steps.run_with_upstream(test)


def _build_limits(max_head_bytes: int) -> callpath.CallerLimits:
    return callpath.CallerLimits(max_head_bytes, HEAD_TIMEOUT_SECONDS, 3.0, 15.0)


def _build_long_request(n_field_bytes: int, n_target_bytes: int = 0) -> bytes:
    """Return a look-up whose fields have ``n_field_bytes``.

    Each field counts with the four bytes that separate its name and value and end it.
    """
    n_others = len("host: pay\r\n") + len("x-nonce: second\r\n")
    n_long = max(0, n_field_bytes - n_others - len("x-long: \r\n"))
    query = b"?" + b"q" * (n_target_bytes - len("/look?")) if n_target_bytes else b""
    request = REQUEST.replace(b"/look", b"/look" + query)
    return request.removesuffix(b"\r\n") + b"x-long: " + b"x" * n_long + b"\r\n\r\n"


@behave.when(
    "a head of {n_bytes:d} bytes is sent in {n_parts:d} parts on a connection that was "
    "opened under a limit of {old:d} bytes, now {new:d}"
)
def send_head_under_limit(
    context: runner.Context, n_bytes: int, n_parts: int, old: int, new: int
) -> None:
    request = _build_long_request(n_bytes)
    parts = [REQUEST.replace(b"second", b"first"), request]
    if n_parts == 2:
        # Nearly all of the head is received before it is complete.
        parts[1:] = [request[:-1], request[-1:]]
    limits = [_build_limits(old)]

    async def change_limits() -> None:
        await trio.sleep(PART_INTERVAL_SECONDS / 2)
        limits[0] = _build_limits(new)

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        assert entry.daemon.parts is not None
        entry.daemon.parts.caller_server._get_limits = lambda: limits[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_limits)
            context.raw = await _exchange(entry.settings.caller_listen, parts)

    callpath_steps.run_with_upstream(test)


@behave.when(
    "fields of {n_fields:d} bytes follow a target of {n_target:d} bytes in {n_parts:d} "
    "parts, under a limit of 9000 bytes"
)
def send_long_target(
    context: runner.Context, n_fields: int, n_target: int, n_parts: int
) -> None:
    request = _build_long_request(n_fields, n_target)
    parts = [REQUEST.replace(b"second", b"first"), request]
    if n_parts == 2:
        parts[1:] = [request[:-1], request[-1:]]

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        assert entry.daemon.parts is not None
        limits = _build_limits(MAX_HEAD_BYTES)
        entry.daemon.parts.caller_server._get_limits = lambda: limits
        context.raw = await _exchange(entry.settings.caller_listen, parts)

    callpath_steps.run_with_upstream(test)


@behave.then("its second response has the status {status:d}")
def check_second_status(context: runner.Context, status: int) -> None:
    _, _, second = context.raw.partition(MARKERS[0])
    assert b"HTTP/1.1 %d" % status in second, context.raw


@behave.when("a caller sends a request after {kind}")
def send_after_empty_line(context: runner.Context, kind: str) -> None:
    first = REQUEST.replace(b"second", b"first")
    parts = [first + b"\r\n", REQUEST]
    if kind.endswith("parts"):
        parts = [first + b"\r", b"\n", REQUEST]
    if kind.endswith("pause"):
        n_pauses = round(2 * HEAD_TIMEOUT_SECONDS / PART_INTERVAL_SECONDS)
        parts = [first + b"\r\n", *(b"" for _ in range(n_pauses)), REQUEST]

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        assert entry.daemon.parts is not None
        limits = _build_limits(MAX_HEAD_BYTES)
        entry.daemon.parts.caller_server._get_limits = lambda: limits
        context.raw = await _exchange(entry.settings.caller_listen, parts)

    callpath_steps.run_with_upstream(test)


@behave.then("it gets both responses of the upstream")
def check_both(context: runner.Context) -> None:
    positions = [context.raw.find(marker) for marker in MARKERS]
    assert -1 < positions[0] < positions[1], context.raw
    assert context.raw.count(b"HTTP/1.1 200") == len(MARKERS), context.raw


def _open_pair() -> tuple[sockets.Connection, sockets.Connection]:
    listener = socket.create_server((harness.HOST, 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    listener.close()
    return sockets.Connection(near), sockets.Connection(far)


class _PartedBody:
    """Request body that arrives in the given parts."""

    initial = b""
    is_complete = False
    can_be_sent_again = False

    def __init__(self, parts: list[bytes]) -> None:
        self._parts = parts

    async def receive(self) -> bytes:
        """Return the next part, empty after the last."""
        return self._parts.pop(0) if self._parts else b""


def _build_call(n_bytes: int) -> callpath.Call:
    return callpath.Call(
        request_id="r1",
        class_name="pay",
        method=b"POST",
        target=b"/pay",
        headers=[(b"host", b"pay"), (b"content-length", b"%d" % n_bytes)],
        deadline=trio.current_time() + RESPONSES_SECONDS,
        n_extra_attempts=0,
        is_idempotent=False,
        target_latency_ms=200,
        max_queue_ms=100,
        content_length=n_bytes,
    )


@behave.when("a request is sent to an upstream {circumstance}")
def send_to_upstream(context: runner.Context, circumstance: str) -> None:
    parts = [b"12345678", b"90"]
    if "ends before" in circumstance:
        parts = [b"1234"]
    if "exceeds" in circumstance:
        parts.append(b"1")

    async def run() -> None:
        near, far = _open_pair()
        upstream = _upstream.UpstreamConnection(near, _dialect.OWN_DIALECT)
        call, body = _build_call(10), _PartedBody(parts)
        try:
            await upstream.send_request(call, body, 1000)
            if "in use" in circumstance:
                await upstream.send_request(call, body, 1000)
            await upstream.send_rest_of_body(body)
        except _upstream.UpstreamFailureError as fault:
            failure = fault.failure
            context.result = f"{failure.kind.token}/{failure.execution.token}"
        near.close()
        far.close()

    trio.run(run)


@behave.then('it fails as "{result}"')
def check_failure(context: runner.Context, result: str) -> None:
    assert context.result == result, context.result


@behave.when(
    "a body of two parts arrives over a peer link with a {kind} frame between them"
)
def receive_frames(context: runner.Context, kind: str) -> None:
    async def run() -> None:
        near, far = _open_pair()
        sender, receiver = peerlink.FrameChannel(near), peerlink.FrameChannel(far)
        await sender.send(peerlink.FrameKind.BODY, b"", b"part")
        await sender.send(peerlink.FrameKind[kind])
        await sender.send(peerlink.FrameKind.BODY_END)
        body = _peer_server._FrameBody(receiver, b"")
        context.parts = []
        context.kind = ""
        try:
            while data := await body.receive():
                context.parts.append(data)
        except callpath.BodyLostError as fault:
            context.kind = fault.failure.kind.token
        near.close()
        far.close()

    trio.run(run)


@behave.then('receiving it fails as "{kind}"')
def check_lost(context: runner.Context, kind: str) -> None:
    assert (context.parts, context.kind) == ([b"part"], kind), context.kind


@behave.when(
    'a call to "{service}" and "{path}" is matched by a daemon that has {knowledge}'
)
def match_call(
    context: runner.Context, service: str, path: str, knowledge: str
) -> None:
    is_outdated = knowledge == "heard of newer classes"
    matcher = callpath.ClassMatcher(lambda: is_outdated)
    if knowledge != "read no class yet":
        target = classes.Target(200, 99.0)
        look = classes.RequestClass("look", "pay", (), "/look", True, target, "c1")
        entry = classes.CatalogEntry("look", 1, classes.encode_document(look), False)
        matcher.catalog = classes.Catalog().merge([entry])
    fields = callpath.read_call_fields([(b"host", service.encode())]).ok
    context.matched = matcher.match(fields, "GET", path.encode())


@behave.then('matching it fails as "{kind}"')
def check_match(context: runner.Context, kind: str) -> None:
    failure = context.matched.error
    assert failure.kind.token == kind, failure
    assert (failure.retry_after_ms > 0) is (not kind.startswith("unknown")), failure


@behave.when("a caller sends half a head to the {place} daemon and ends its side")
def end_in_head(context: runner.Context, place: str) -> None:
    _send_and_end(context, place, REQUEST[:HALF_BYTES])


@behave.when(
    "a caller sends half a {form} of {n_bytes:d} bytes to the {place} daemon and ends "
    "its side"
)
def end_in_body(context: runner.Context, form: str, n_bytes: int, place: str) -> None:
    length = b"Content-Length: %d\r\n\r\n" % n_bytes
    if form == "chunk":
        length = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % n_bytes
    head = b"POST /pay HTTP/1.1\r\nHost: pay\r\n" + length
    _send_and_end(context, place, head + bytes(n_bytes // 2))


def _send_and_end(context: runner.Context, place: str, data: bytes) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        at = node if place == "endpoint" else entry
        connection = await sockets.connect(at.settings.caller_listen, 1.0)
        await connection.send(data)
        await trio.sleep(END_AFTER_SECONDS)
        connection.finish_sending()
        context.raw = b""
        with trio.move_on_after(RESPONSES_SECONDS):
            while received := await connection.receive():
                context.raw += received
        connection.close()

    callpath_steps.run_with_upstream(test)


@behave.then('its request fails with {status:d} as "{result}"')
def check_ended(context: runner.Context, status: int, result: str) -> None:
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), context.raw
    problem = json.loads(body)
    assert f"{problem['kind']}/{problem['execution']}" == result, problem


@behave.when(
    "a caller sends half of {n_bytes:d} body bytes to the {place} daemon and drips on "
    "past its deadline"
)
def drip_past_deadline(context: runner.Context, n_bytes: int, place: str) -> None:
    head = (
        b"POST /pay HTTP/1.1\r\nHost: pay\r\nx-nonce: first\r\n"
        b"umberdrum-deadline-ms: %d\r\nContent-Length: %d\r\n\r\n"
    )

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        at = node if place == "endpoint" else entry
        connection = await sockets.connect(at.settings.caller_listen, 1.0)

        async def send() -> None:
            data = head % (UPLOAD_DEADLINE_MS, n_bytes) + bytes(n_bytes // 2)
            with contextlib.suppress(sockets.ConnectionLostError):
                await connection.send(data)
                for _ in range(N_DRIPS):
                    await trio.sleep(PART_INTERVAL_SECONDS)
                    await connection.send(bytes(100))

        context.raw = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            with contextlib.suppress(sockets.ConnectionLostError):
                while received := await connection.receive():
                    context.raw += received
            context.n_running = node.upstream.n_running
        connection.close()
        context.ended = list(node.upstream.ended)
        context.begun = list(node.upstream.begun)
        context.answer = await site.call(at, "pay", "n2", "/look")

    callpath_steps.run_with_upstream(test)


@behave.then("the upstream gets no more of its body, and later requests are served")
def check_upload_ended(context: runner.Context) -> None:
    assert context.begun == ["first"] and not context.ended, context.ended
    assert context.n_running == 0, context.n_running
    assert context.answer.status == 200, context.answer
