"""HTTP/1.1 client with a connection pool, as used by the benchmarks and tests."""

import json
from typing import NamedTuple

import h11
import trio

from umberdrum import settings, sockets

CONNECT_TIMEOUT_SECONDS = 1.0
BODY_CHUNK_BYTES = 65_536


class CallerRequest(NamedTuple):
    """Request of a caller.

    With a ``deadline_ms`` of 0 the deadline of the class applies. ``fault`` names a
    fault that an upstream of the tests shows for this request.
    """

    service: str
    method: str
    path: str
    request_id: str
    nonce: str
    body: bytes = b""
    deadline_ms: int = 0
    fault: str = ""


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
        began_at = trio.current_time()
        try:
            connection = await self._acquire(address)
        except sockets.ConnectionLostError:
            return _build_empty_answer(trio.current_time() - began_at, is_sent=False)
        answer: CallerAnswer | None = None
        is_reusable = False
        try:
            with trio.move_on_after(timeout_seconds):
                answer = await connection.exchange(request, began_at)
                is_reusable = connection.start_next_request()
        except (sockets.ConnectionLostError, h11.ProtocolError):
            answer = None
        finally:
            if is_reusable:
                self._idle.setdefault(address, []).append(connection)
            else:
                connection.close()
        if answer is None:
            return _build_empty_answer(trio.current_time() - began_at, is_sent=True)
        return answer

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

    def start_next_request(self) -> bool:
        """Prepare for another request; return False if that is not possible."""
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        return True

    async def exchange(self, request: CallerRequest, began_at: float) -> CallerAnswer:
        """Send the request and read the complete answer.

        Raises ``sockets.ConnectionLostError`` and ``h11.ProtocolError``.
        """
        await self._send(request)
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

    async def _send(self, request: CallerRequest) -> None:
        headers = [
            ("host", request.service or str(self._address)),
            ("umberdrum-request-id", request.request_id),
            ("x-nonce", request.nonce),
        ]
        if request.deadline_ms:
            headers.append(("umberdrum-deadline-ms", str(request.deadline_ms)))
        if request.fault:
            headers.append(("x-fault", request.fault))
        if request.body:
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        data = self._http.send(head) or b""
        for start in range(0, len(request.body), BODY_CHUNK_BYTES):
            chunk = request.body[start : start + BODY_CHUNK_BYTES]
            data += self._http.send(h11.Data(data=chunk)) or b""
            await self._connection.send(data)
            data = b""
        data += self._http.send(h11.EndOfMessage()) or b""
        if data:
            await self._connection.send(data)

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
