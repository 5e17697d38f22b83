"""Steps for responses that end early at an upstream or on a peer link."""

import contextlib
import re
import socket
import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple
from unittest import mock

import behave
import h11
import trio
from behave import runner

from umberdrum import peerlink, sockets
from umberdrum.callpath.tests import callpath_steps
from umberdrum.tests import harness

# As long as the request ids, one for each cut point.
ID_PLACEHOLDER = b"cut-00000"
HEAD = b"HTTP/1.1 200 OK\r\numberdrum-request-id: " + ID_PLACEHOLDER + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 12\r\n\r\nwhole answer"
LONG_BYTES = 70_000
RESPONSES = {
    "has a length": WITH_LENGTH,
    "follows interim responses": INTERIM + WITH_LENGTH,
    "is chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
    "ends with its connection": HEAD + b"Connection: close\r\n\r\nwhole answer",
    "has no body": HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "speaks HTTP/1.0": HEAD.replace(b"/1.1", b"/1.0") + b"\r\nwhole answer",
    "has a length over 64 KiB": HEAD
    + b"Content-Length: %d\r\n\r\n" % LONG_BYTES
    + bytes(LONG_BYTES),
}
RESPONSE_FRAMES = frozenset(
    (
        peerlink.FrameKind.RESPONSE,
        peerlink.FrameKind.BODY,
        peerlink.FrameKind.BODY_END,
    )
)
# Of a long body, only the first bytes and the last one are cut points.
MAX_CUT_BYTES = 120
LINK_CUT_STEP = 4
CUT_SECONDS = 0.01
RESPONSE_TIMEOUT_SECONDS = 6.0
_REQUEST_ID = re.compile(rb"umberdrum-request-id: (\S+)", re.IGNORECASE)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _CallerSide(NamedTuple):
    """What a caller sends, and to which daemon."""

    cls: str
    version: str
    place: str


class _Received(NamedTuple):
    """What a caller received for one call; ``n_runs`` is how often it ran."""

    cut_bytes: int
    raw: bytes
    status: int
    is_complete: bool
    body: bytes
    n_runs: int


def _end_connection(connection: sockets.Connection, ending: str) -> None:
    if ending == "resets":
        connection._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    connection.close()


class _CuttingUpstream:
    """Upstream that sends the first ``n_bytes`` of a response and then ends.

    It makes a pause after ``pause_after`` bytes.
    """

    def __init__(self, response: bytes, ending: str) -> None:
        self._response = response
        self._ending = ending
        self.n_bytes = len(response)
        self.pause_after = 0
        self.n_runs = 0

    async def serve(self, connection: sockets.Connection) -> None:
        """Answer one request and end the connection."""
        received = b""
        while not (found := _REQUEST_ID.search(received)):
            data = await connection.receive()
            if not data:
                return
            received += data
        self.n_runs += 1
        response = self._response.replace(ID_PLACEHOLDER, found.group(1))
        n_first_bytes = min(self.pause_after, self.n_bytes)
        with contextlib.suppress(sockets.ConnectionLostError):
            await connection.send(response[:n_first_bytes])
            await trio.sleep(CUT_SECONDS)
            await connection.send(response[n_first_bytes : self.n_bytes])
        await trio.sleep(CUT_SECONDS)
        _end_connection(connection, self._ending)


async def _call(entry: harness.Node, side: _CallerSide, cut_bytes: int) -> _Received:
    """Make one call and parse what arrives as a caller would."""
    method, body = ("POST", b"x") if side.cls == "pay" else ("GET", b"")
    request = (
        f"{method} /{side.cls} HTTP/{side.version}\r\nHost: pay\r\n"
        f"Connection: close\r\numberdrum-request-id: cut-{cut_bytes:05}\r\n"
        f"umberdrum-deadline-ms: 3000\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    # The connection of the previous call to the upstream has ended by then.
    await trio.sleep(2 * CUT_SECONDS)
    caller = await sockets.connect(entry.settings.caller_listen, 1.0)
    await caller.send(request.encode() + body)
    raw = b""
    is_ended = False
    with contextlib.suppress(sockets.ConnectionLostError):
        with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            while data := await caller.receive():
                raw += data
        is_ended = True
    caller.close()
    return _parse(cut_bytes, raw, is_ended)


def _parse(cut_bytes: int, raw: bytes, is_ended: bool) -> _Received:
    """Parse ``raw``; ``is_ended`` tells a close from a reset."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    http.send(h11.EndOfMessage())
    status = 0
    is_complete = False
    body = b""
    with contextlib.suppress(h11.RemoteProtocolError):
        http.receive_data(raw)
        if is_ended and raw:
            http.receive_data(b"")
        while True:
            event = http.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                is_complete = True
                break
            else:
                break
    return _Received(cut_bytes, raw, status, is_complete, body, 0)


@behave.given(
    "responses to a {cls} call over HTTP/{version} at the {place} daemon",
)
def set_caller(context: runner.Context, cls: str, version: str, place: str) -> None:
    context.side = _CallerSide(cls, version, place)


def _list_cuts(response: bytes) -> list[int]:
    n_bytes = len(response)
    return [*range(min(n_bytes - 1, MAX_CUT_BYTES)), n_bytes - 1]


@behave.when(
    "an upstream stops at every byte of a response that {framing}, and {ending}"
)
def cut_response(context: runner.Context, framing: str, ending: str) -> None:
    response = RESPONSES[framing]
    context.received = []

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        upstream = _CuttingUpstream(response, ending)
        node.upstream.serve_connection = upstream.serve
        at = entry if context.side.place == "entry" else node
        for n_bytes in _list_cuts(response):
            upstream.n_bytes = n_bytes
            n_before = upstream.n_runs
            received = await _call(at, context.side, n_bytes)
            n_runs = upstream.n_runs - n_before
            context.received.append(received._replace(n_runs=n_runs))

    callpath_steps.run_with_upstream(test)


@behave.then(
    "no caller gets a response that looks complete, or learns that the call has not run"
)
def check_no_success(context: runner.Context) -> None:
    assert context.received
    for row in context.received:
        assert row.n_runs == 1, row
        assert not (row.is_complete and row.status < 300), row
        assert row.status != 503 and b"not-run" not in row.raw, row


@behave.when("an upstream sends a whole response that {framing}, and closes")
def send_whole_response(context: runner.Context, framing: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        upstream = _CuttingUpstream(RESPONSES[framing], "closes")
        node.upstream.serve_connection = upstream.serve
        received = await _call(entry, context.side, 0)
        context.received = [received._replace(n_runs=upstream.n_runs)]

    callpath_steps.run_with_upstream(test)


class _LinkCut:
    """Ends the peer link of a response after ``n_bytes`` of its frames.

    ``n_sent`` counts the bytes of the frames of one response.
    """

    def __init__(self, end: Callable[[sockets.Connection], None]) -> None:
        self._end = end
        self.n_bytes = -1
        self.n_sent = 0
        self.frame_ends: list[int] = []

    def start(self, n_bytes: int) -> None:
        """Prepare for a response; -1 lets it pass."""
        self.n_bytes = n_bytes
        self.n_sent = 0
        self.frame_ends = []

    async def send(
        self,
        channel: peerlink.FrameChannel,
        kind: peerlink.FrameKind,
        head: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Send a frame, or the part of it before the cut."""
        data = channel._encode(kind, head, body)
        if kind not in RESPONSE_FRAMES:
            await channel.connection.send(data)
            return
        n_left = self.n_bytes - self.n_sent
        self.n_sent += len(data)
        self.frame_ends.append(self.n_sent)
        if self.n_bytes < 0 or n_left >= len(data):
            await channel.connection.send(data)
            return
        await channel.connection.send(data[:n_left])
        await trio.sleep(CUT_SECONDS)
        # An answer to a query about the call passes.
        self.n_bytes = -1
        self._end(channel.connection)
        raise sockets.ConnectionLostError("the link was cut")


@contextlib.contextmanager
def _cut_links(cut: _LinkCut) -> Iterator[None]:
    async def send(
        channel: peerlink.FrameChannel,
        kind: peerlink.FrameKind,
        head: bytes = b"",
        body: bytes = b"",
    ) -> None:
        await cut.send(channel, kind, head, body)

    with mock.patch.object(peerlink.FrameChannel, "send", send):
        yield


def _build_upstream(n_frames: int) -> _CuttingUpstream:
    """Return an upstream whose response takes one frame, or more if it pauses."""
    if n_frames == 1:
        return _CuttingUpstream(WITH_LENGTH, "closes")
    response = RESPONSES["is chunked"]
    upstream = _CuttingUpstream(response, "closes")
    upstream.pause_after = response.index(b"7\r\n")
    return upstream


@behave.when(
    "a peer link breaks at every fourth byte of a response in {n_frames:d} frames, "
    "and {ending}"
)
def cut_link(context: runner.Context, n_frames: int, ending: str) -> None:
    context.received = []

    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        upstream = _build_upstream(n_frames)
        node.upstream.serve_connection = upstream.serve
        cut = _LinkCut(lambda connection: _end_connection(connection, ending))
        with _cut_links(cut):
            whole = await _call(entry, context.side, 0)
            assert whole.is_complete and len(cut.frame_ends) == n_frames, cut.frame_ends
            cuts = {*range(0, cut.n_sent, LINK_CUT_STEP), cut.frame_ends[0]}
            for n_bytes in sorted(cuts - {cut.n_sent}):
                cut.start(n_bytes)
                n_before = upstream.n_runs
                received = await _call(entry, context.side, n_bytes + 1)
                n_runs = upstream.n_runs - n_before
                context.received.append(received._replace(n_runs=n_runs))
                assert cut.n_bytes == -1, n_bytes

    callpath_steps.run_with_upstream(test)


@behave.then(
    "each caller gets the response to its only run, or none that looks complete"
)
def check_whole_or_failed(context: runner.Context) -> None:
    assert context.received
    for row in context.received:
        assert row.n_runs == 1, row
        if row.is_complete and row.status < 300:
            assert row.body == b"whole answer", row
        assert row.status != 503 and b"not-run" not in row.raw, row


@behave.then("the caller gets the whole response")
def check_whole(context: runner.Context) -> None:
    (row,) = context.received
    assert (row.is_complete, row.body) == (True, b"whole answer"), row


@behave.when("the endpoint daemon dies {moment} of a response")
def die_in_response(context: runner.Context, moment: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        upstream = _build_upstream(2)
        node.upstream.serve_connection = upstream.serve
        cut = _LinkCut(lambda _connection: site.kill(node))
        with _cut_links(cut):
            await _call(entry, context.side, 0)
            n_first_bytes = cut.frame_ends[0]
            n_bytes = n_first_bytes
            if moment == "inside the first frame":
                n_bytes = n_first_bytes // 2
            cut.start(n_bytes)
            received = await _call(entry, context.side, 1)
            context.received = [received._replace(n_runs=upstream.n_runs - 1)]

    callpath_steps.run_with_upstream(test)
