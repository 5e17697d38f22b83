"""HTTP/1.1 client with a connection pool, as used by the benchmarks and tests."""

import json
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import h11
import trio

from umberdrum import settings, sockets

CONNECT_TIMEOUT_SECONDS = 1.0
BODY_CHUNK_BYTES = 65_536


class CallerRequest(NamedTuple):
    """Request of a caller.

    With a ``deadline_ms`` of 0 the deadline of the class applies. ``fault`` names a
    fault that an upstream of the tests shows for this request. With a ``chunk_bytes``
    other than 0 the body is sent in chunks of at most this size, without its length.
    ``host_suffix`` follows the service in the host, for instance ``:80``. With
    ``is_absolute`` the target is a URL.
    """

    service: str
    method: str
    path: str
    request_id: str
    nonce: str
    body: bytes = b""
    deadline_ms: float = 0
    fault: str = ""
    chunk_bytes: int = 0
    host_suffix: str = ""
    is_absolute: bool = False


class CallerAnswer(NamedTuple):
    """Result of a call as the caller sees it.

    ``status`` is 0 if no complete answer arrived. ``is_sent`` is False if no connection
    could be opened, so that no request was sent.
    """

    status: int
    execution: str
    kind: str
    nonce: str
    sha256: str
    seconds: float
    is_sent: bool


class CallerPool:
    """Pool of idle keep-alive connections by address."""

    def __init__(self) -> None:
        self._idle: dict[settings.Address, list[_CallerConnection]] = {}

    async def call(
        self, address: settings.Address, request: CallerRequest, timeout_seconds: float
    ) -> CallerAnswer:
        """Send one request and return its result.

        Waits at most ``timeout_seconds`` for the answer, after the connect timeout.
        """
        answers = await self.call_pipelined(address, (request,), timeout_seconds)
        return answers[0]

    async def call_pipelined(
        self,
        address: settings.Address,
        requests: Sequence[CallerRequest],
        timeout_seconds: float,
    ) -> list[CallerAnswer]:
        """Send requests on one connection without waiting, and return their results.

        Requests that follow the last answer of a connection count as not sent.
        """
        began_at = trio.current_time()
        answers: list[CallerAnswer] = []
        n_missing = len(requests)
        try:
            connection = await self._acquire(address)
        except sockets.ConnectionLostError:
            seconds = trio.current_time() - began_at
            return [_build_empty_answer(seconds, is_sent=False)] * n_missing
        is_reusable = False
        is_last_answer = False
        try:
            with trio.move_on_after(timeout_seconds):
                await connection.send(requests)
                for request in requests:
                    if answers and not connection.start_next_request(request):
                        is_last_answer = True
                        break
                    answers.append(await connection.receive_answer(began_at))
                is_reusable = connection.is_reusable()
        except (sockets.ConnectionLostError, h11.ProtocolError):
            is_reusable = False
        finally:
            if is_reusable:
                self._idle.setdefault(address, []).append(connection)
            else:
                connection.close()
        n_missing -= len(answers)
        seconds = trio.current_time() - began_at
        return answers + [_build_empty_answer(seconds, not is_last_answer)] * n_missing

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _acquire(self, address: settings.Address) -> "_CallerConnection":
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.has_data():
                return connection
            connection.close()
        opened = await sockets.connect(address, CONNECT_TIMEOUT_SECONDS)
        return _CallerConnection(opened, address)


class _CallerConnection:
    """One HTTP/1.1 connection of a caller."""

    def __init__(
        self, connection: sockets.Connection, address: settings.Address
    ) -> None:
        self._connection = connection
        self._address = address
        self._http = h11.Connection(h11.CLIENT)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def has_data(self) -> bool:
        """Return whether the peer closed the connection or sent unsolicited data."""
        return self._connection.has_data()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE, h11.DONE)

    async def send(self, requests: Sequence[CallerRequest]) -> None:
        """Send requests, one behind the other.

        Raises ``sockets.ConnectionLostError``.
        """
        if self.is_reusable():
            self._http.start_next_cycle()
        for index, request in enumerate(requests):
            # The parser takes a request only after the answer to the one before it.
            http = self._http if index == 0 else h11.Connection(h11.CLIENT)
            for data in self._encode(http, request):
                await self._connection.send(data)

    def start_next_request(self, request: CallerRequest) -> bool:
        """Expect the answer to a request that has been sent behind another one.

        Returns False if the connection ends with the answer before it.
        """
        if not self.is_reusable():
            return False
        self._http.start_next_cycle()
        for _ in self._encode(self._http, request):
            pass
        return True

    async def receive_answer(self, began_at: float) -> CallerAnswer:
        """Read the complete answer to the next request.

        Raises ``sockets.ConnectionLostError`` and ``h11.ProtocolError``.
        """
        head = await self._receive_head()
        raw = b""
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Data):
                raw += bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            raise sockets.ConnectionLostError(
                "the connection closed before the end of the answer"
            )
        seconds = trio.current_time() - began_at
        headers = {name: value.decode("latin-1") for name, value in head.headers}
        document = _decode_document(raw)
        return CallerAnswer(
            head.status_code,
            headers.get(b"umberdrum-execution", ""),
            headers.get(b"umberdrum-error", ""),
            str(document.get("nonce", "")),
            str(document.get("sha256", "")),
            seconds,
            True,
        )

    def _encode(self, http: h11.Connection, request: CallerRequest) -> Iterator[bytes]:
        """Yield the bytes of a request, a piece of the body at a time."""
        host = request.service or str(self._address)
        host += request.host_suffix
        target = request.path
        if request.is_absolute:
            target = f"http://{host}{target}"
        headers = [
            ("host", host),
            ("umberdrum-request-id", request.request_id),
            ("x-nonce", request.nonce),
        ]
        if request.deadline_ms:
            headers.append(("umberdrum-deadline-ms", str(request.deadline_ms)))
        if request.fault:
            headers.append(("x-fault", request.fault))
        if request.chunk_bytes:
            headers.append(("transfer-encoding", "chunked"))
        elif request.body:
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(method=request.method, target=target, headers=headers)
        data = http.send(head) or b""
        piece_bytes = request.chunk_bytes or BODY_CHUNK_BYTES
        for start in range(0, len(request.body), piece_bytes):
            piece = request.body[start : start + piece_bytes]
            yield data + (http.send(h11.Data(data=piece)) or b"")
            data = b""
        data += http.send(h11.EndOfMessage()) or b""
        if data:
            yield data

    async def _receive_head(self) -> h11.Response:
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise sockets.ConnectionLostError(
                    "the connection closed before the answer"
                )

    async def _receive_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._connection.receive())


def _decode_document(raw: bytes) -> dict[str, object]:
    try:
        value = json.loads(raw)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _build_empty_answer(seconds: float, is_sent: bool) -> CallerAnswer:
    return CallerAnswer(0, "", "", "", "", seconds, is_sent)
