"""Server for requests with short bodies, handled in sequence on each connection."""

import json
import math
import socket
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import h11
import trio

from umberdrum import errors, sockets

MAX_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 16_384
BODY_TIMEOUT_SECONDS = 10.0
IDLE_TIMEOUT_SECONDS = 120.0
# A client that reads nothing would otherwise hold its connection for ever.
SEND_TIMEOUT_SECONDS = 10.0
# A client has connected before it sends its first request.
FIRST_REQUEST_SECONDS = 0.2


class ControlRequest(NamedTuple):
    """HTTP request; ``query`` holds the last value of each parameter."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class ControlResponse(NamedTuple):
    """HTTP response with its complete body."""

    status: int
    content_type: str
    body: bytes


ControlHandler = Callable[[ControlRequest], Awaitable[ControlResponse]]


def build_json_response(
    value: Mapping[str, object], status: int = 200
) -> ControlResponse:
    """Return a response with ``value`` as indented JSON."""
    body = json.dumps(value, indent=2).encode() + b"\n"
    return ControlResponse(status, "application/json", body)


def build_text_response(text: str, status: int = 200) -> ControlResponse:
    """Return a response with plain text in UTF-8."""
    return ControlResponse(status, "text/plain; charset=utf-8", text.encode())


def build_failure_response(failure: errors.Failure) -> ControlResponse:
    """Return the response with the problem details (RFC 9457) of ``failure``."""
    problem = errors.render_problem(failure, "umberdrum", "")
    return ControlResponse(problem.status, "application/problem+json", problem.body)


class ControlServer:
    """Serves the connections of one address until it is closed."""

    def __init__(self, handler: ControlHandler) -> None:
        self._handler = handler
        self._is_closing = False
        self._close_new_at = math.inf
        # Scopes in which idle connections wait, and whether they are unused so far.
        self._idle: dict[trio.CancelScope, bool] = {}
        self._closed = trio.Event()

    async def accept(self, listener: socket.socket, max_connections: int) -> None:
        """Serve the connections of ``listener`` until it is closed and they ended."""
        await sockets.accept_connections(listener, self.serve, max_connections)
        self._closed.set()

    def start_closing(self) -> None:
        """Close idle connections, and the others after their current request.

        A new connection has ``FIRST_REQUEST_SECONDS`` for its request.
        """
        self._is_closing = True
        self._close_new_at = trio.current_time() + FIRST_REQUEST_SECONDS
        for scope, is_unused in self._idle.items():
            scope.deadline = self._close_new_at if is_unused else -math.inf

    async def wait_closed(self) -> None:
        """Wait until ``accept`` has ended, after ``start_closing``."""
        await self._closed.wait()

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve the requests of one connection in sequence.

        Returns when the client closes, when no request has been received and handled
        within ``IDLE_TIMEOUT_SECONDS``, or when the client violates the protocol. The
        response to a violation is a ``MALFORMED_REQUEST`` problem.

        Raises ``trio.TooSlowError`` when a body is not complete within
        ``BODY_TIMEOUT_SECONDS`` or a response not sent within ``SEND_TIMEOUT_SECONDS``,
        and ``sockets.ConnectionLostError``.
        """
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        is_unused = True
        while True:
            response: ControlResponse | None = None
            try:
                with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
                    has_next = bool(http.trailing_data[0])
                    if not has_next and not await self._wait_for_request(
                        connection, is_unused
                    ):
                        return
                    is_unused = False
                    request = await _receive_request(connection, http)
                    if request is None:
                        return
                    response = await self._handler(request)
            except h11.RemoteProtocolError as fault:
                response = build_failure_response(
                    errors.fail(errors.ErrorKind.MALFORMED_REQUEST, str(fault))
                )
            if response is None:
                return
            with trio.fail_after(SEND_TIMEOUT_SECONDS):
                await _send_response(connection, http, response, self._is_closing)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _wait_for_request(
        self, connection: sockets.Connection, is_unused: bool
    ) -> bool:
        """Return whether data has arrived before this server closes."""
        scope = trio.CancelScope()
        if self._is_closing:
            scope.deadline = self._close_new_at if is_unused else -math.inf
        with scope:
            self._idle[scope] = is_unused
            try:
                await connection.wait_for_data()
            finally:
                del self._idle[scope]
        return connection.has_data()


async def _receive_request(
    connection: sockets.Connection, http: h11.Connection
) -> ControlRequest | None:
    """Return the next request, or None when the client has closed.

    Raises ``h11.RemoteProtocolError`` for an invalid request or a body above
    ``MAX_BODY_BYTES``, and ``trio.TooSlowError`` when the body is not complete in time.
    """
    head = await _receive_event(connection, http)
    if not isinstance(head, h11.Request):
        return None
    parts: list[bytes] = []
    n_bytes = 0
    with trio.fail_after(BODY_TIMEOUT_SECONDS):
        while True:
            event = await _receive_event(connection, http)
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
            n_bytes += len(event.data)
            if n_bytes > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError(
                    f"expected a body of at most {MAX_BODY_BYTES} bytes"
                )
    path, _, raw_query = bytes(head.target).decode("latin-1").partition("?")
    query = dict(urllib.parse.parse_qsl(raw_query))
    method = bytes(head.method).decode("ascii")
    return ControlRequest(method, path, query, b"".join(parts))


async def _receive_event(
    connection: sockets.Connection, http: h11.Connection
) -> object:
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        if http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await connection.send(http.send(interim) or b"")
        http.receive_data(await connection.receive())


async def _send_response(
    connection: sockets.Connection,
    http: h11.Connection,
    response: ControlResponse,
    closes: bool,
) -> None:
    if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ("content-type", response.content_type),
        ("content-length", str(len(response.body))),
    ]
    if closes:
        headers.append(("connection", "close"))
    head = h11.Response(status_code=response.status, headers=headers)
    data = http.send(head) or b""
    data += http.send(h11.Data(data=response.body)) or b""
    data += http.send(h11.EndOfMessage()) or b""
    await connection.send(data)
