"""Client for JSON over HTTP/1.1 with one reusable connection, and JSON streams."""

import contextlib
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

import expression
import h11
import trio

from umberdrum import errors, settings, sockets

CONNECT_TIMEOUT_SECONDS = 1.0
# Longer than several round trips between regions.
REPEAT_AFTER_SECONDS = 0.4
MAX_RESPONSE_BYTES = 16 << 20

JsonObject = dict[str, Any]
JsonResult = expression.Result[JsonObject, errors.Failure]


class FailureKinds(NamedTuple):
    """Error kinds that a client reports.

    ``unavailable`` is reported for reads and for writes that were not sent or were
    rejected, ``outcome_unknown`` for writes that may have taken effect, for example
    when the response was lost.
    """

    unavailable: errors.ErrorKind
    outcome_unknown: errors.ErrorKind


class JsonResponse(NamedTuple):
    """Response body with its status, for requests that expect several statuses.

    ``headers`` maps the lower-case name of each header to its value.
    """

    status: int
    body: JsonObject
    headers: Mapping[str, str]


ResponseResult = expression.Result[JsonResponse, errors.Failure]


class RepeatedExchange(NamedTuple):
    """Result of a request that was sent ``n_sent`` times, once or twice.

    ``found_silence``: the kept connection gave no response in time, while a new one
    did. The server is well then, and other connections may be silent, too.
    """

    result: ResponseResult
    n_sent: int
    found_silence: bool


class _ExchangeError(Exception):
    """Failed exchange; ``is_sent`` if the server may have received the request."""

    def __init__(self, detail: str, is_sent: bool) -> None:
        super().__init__(detail)
        self.is_sent = is_sent


class _HttpConnection:
    """HTTP/1.1 connection to one address, for one exchange at a time."""

    def __init__(
        self, connection: sockets.Connection, address: settings.Address
    ) -> None:
        self._connection = connection
        self._http = h11.Connection(h11.CLIENT)
        self.address = address

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def is_reusable(self) -> bool:
        """Return whether the connection can be used again, and prepare it if so."""
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        if self._http.trailing_data[0] or self._connection.has_data():
            # Bytes after a complete response belong to no request.
            return False
        self._http.start_next_cycle()
        return True

    async def send(self, method: str, path: str, body: bytes) -> None:
        """Send one request, with ``body`` as JSON unless it is empty."""
        headers = [("host", str(self.address))]
        if body:
            headers.append(("content-type", "application/json"))
            headers.append(("content-length", str(len(body))))
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._connection.send(data)

    async def receive_head(self) -> h11.Response:
        """Return the head of the final response; informational ones are skipped."""
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise _ExchangeError(
                    "expected a response, found the end of the connection", True
                )

    async def receive_data(self) -> bytes:
        """Return the next bytes of the response body, or empty bytes at its end."""
        event = await self._receive_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b""

    async def _receive_event(self) -> object:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._connection.receive())
        except (h11.RemoteProtocolError, sockets.ConnectionLostError) as fault:
            raise _ExchangeError(str(fault), True) from None


class JsonClient:
    """Client that sends JSON objects to the first address that accepts a connection.

    An address that refuses a connection moves to the end of the list, so the next
    connection starts with the address that last accepted one. Only
    ``exchange_repeated`` repeats a request. The kernel ends connections that have gone
    silent, so that a waiting stream or a response that takes long fails.
    """

    def __init__(
        self,
        addresses: tuple[settings.Address, ...],
        timeout_seconds: float,
        kinds: FailureKinds,
    ) -> None:
        self._addresses = list(addresses)
        self._timeout_seconds = timeout_seconds
        self._kinds = kinds
        self._idle: _HttpConnection | None = None

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self._idle is not None:
            self._idle.close()
            self._idle = None

    async def post(self, path: str, body: JsonObject, is_write: bool) -> JsonResult:
        """Return the response to a POST of ``body``.

        A write that the server may have received has an unknown outcome if no response
        arrives.
        """
        return await self.request("POST", path, body, is_write)

    async def request(
        self, method: str, path: str, body: Mapping[str, object], is_write: bool
    ) -> JsonResult:
        """Return the response to one request; any status but 200 is a failure."""
        response = await self.exchange(method, path, body, is_write, (200,))
        if response.is_error():
            return expression.Error(response.error)
        return expression.Ok(response.ok.body)

    async def exchange(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        is_write: bool,
        statuses: tuple[int, ...],
    ) -> ResponseResult:
        """Return the response to one request if its status is one of ``statuses``.

        Any other status is a failure; 500 or more leaves the outcome of a write
        unknown.
        """
        encoded = b"" if body is None else json.dumps(body).encode()
        is_sent = False
        try:
            with trio.fail_after(self._timeout_seconds):
                connection = await self._get_connection()
                is_sent = True
                return await self._exchange(
                    connection, method, path, encoded, is_write, statuses
                )
        except trio.TooSlowError:
            detail = f"{path}: no response within {self._timeout_seconds:g} s"
            return expression.Error(self._build_failure(detail, is_write and is_sent))
        except _ExchangeError as fault:
            detail = f"{path}: {fault}"
            return expression.Error(
                self._build_failure(detail, is_write and fault.is_sent)
            )

    async def exchange_repeated(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        statuses: tuple[int, ...],
    ) -> RepeatedExchange:
        """Return the result of an idempotent request, which may be sent twice.

        A request that gets no response on the kept connection within
        ``REPEAT_AFTER_SECONDS`` is sent once more on a new connection.
        """
        idle = self._take_idle()
        if idle is None:
            result = await self.exchange(method, path, body, False, statuses)
            return RepeatedExchange(result, 1, False)
        encoded = b"" if body is None else json.dumps(body).encode()
        with (
            trio.move_on_after(REPEAT_AFTER_SECONDS) as scope,
            contextlib.suppress(_ExchangeError),
        ):
            first = await self._exchange(idle, method, path, encoded, False, statuses)
            return RepeatedExchange(first, 1, False)
        sent_at = trio.current_time()
        result = await self.exchange(method, path, body, False, statuses)
        is_prompt = trio.current_time() - sent_at < REPEAT_AFTER_SECONDS
        return RepeatedExchange(
            result, 2, result.is_ok() and is_prompt and scope.cancelled_caught
        )

    @contextlib.asynccontextmanager
    async def open_stream(
        self, path: str, body: JsonObject, max_idle_seconds: float
    ) -> AsyncIterator["JsonStream"]:
        """Open a request whose response is a stream of JSON objects, one per line.

        A failure to open the stream is returned by ``JsonStream.receive``. The stream
        ends when nothing arrives for ``max_idle_seconds``.
        """
        connection: _HttpConnection | None = None
        open_error = ""
        try:
            with trio.fail_after(self._timeout_seconds):
                connection = await self._connect()
                await connection.send("POST", path, json.dumps(body).encode())
                status = (await connection.receive_head()).status_code
                if status != 200:
                    open_error = f"{path}: expected status 200, found {status}"
        except (
            trio.TooSlowError,
            _ExchangeError,
            sockets.ConnectionLostError,
        ) as fault:
            open_error = f"{path}: {str(fault) or 'no response in time'}"
        try:
            yield JsonStream(connection, open_error, self._kinds, max_idle_seconds)
        finally:
            if connection is not None:
                connection.close()

    async def _exchange(
        self,
        connection: _HttpConnection,
        method: str,
        path: str,
        encoded: bytes,
        is_write: bool,
        statuses: tuple[int, ...],
    ) -> ResponseResult:
        is_complete = False
        try:
            await self._send(connection, method, path, encoded)
            head = await connection.receive_head()
            raw = await _receive_all(connection)
            is_complete = True
        finally:
            if is_complete:
                self._keep_idle(connection)
            else:
                connection.close()
        status = head.status_code
        if status not in statuses:
            expected = " or ".join(str(code) for code in statuses)
            detail = (
                f"{path}: expected status {expected}, found {status}: {raw[:200]!r}"
            )
            # 4xx means that the request was rejected; 5xx leaves the outcome of a write
            # unknown.
            is_unknown = is_write and status >= 500
            return expression.Error(self._build_failure(detail, is_unknown))
        try:
            body = _decode_object(raw)
        except ValueError as fault:
            return expression.Error(self._build_failure(f"{path}: {fault}", is_write))
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }
        return expression.Ok(JsonResponse(status, body, headers))

    async def _send(
        self, connection: _HttpConnection, method: str, path: str, encoded: bytes
    ) -> None:
        try:
            await connection.send(method, path, encoded)
        except sockets.ConnectionLostError as fault:
            raise _ExchangeError(str(fault), True) from None

    async def _get_connection(self) -> _HttpConnection:
        return self._take_idle() or await self._connect()

    def _take_idle(self) -> _HttpConnection | None:
        """Return the idle connection, None if there is none that can be used."""
        idle = self._idle
        self._idle = None
        if idle is None or idle.is_reusable():
            return idle
        idle.close()
        return None

    async def _connect(self) -> _HttpConnection:
        details: list[str] = []
        for address in list(self._addresses):
            try:
                connection = await sockets.connect(address, CONNECT_TIMEOUT_SECONDS)
            except sockets.ConnectionLostError as fault:
                details.append(str(fault))
                self._addresses.remove(address)
                self._addresses.append(address)
                continue
            connection.enable_keep_alive()
            return _HttpConnection(connection, address)
        raise _ExchangeError("; ".join(details), False)

    def _build_failure(self, detail: str, is_outcome_unknown: bool) -> errors.Failure:
        return _build_failure(self._kinds, detail, is_outcome_unknown)

    def _keep_idle(self, connection: _HttpConnection) -> None:
        if self._idle is not None:
            self._idle.close()
        self._idle = connection


class JsonStream:
    """Stream of JSON objects in the response to one request.

    The stream fails when nothing arrives for ``max_idle_seconds``; ``is_idle`` tells
    that this was the cause.
    """

    def __init__(
        self,
        connection: _HttpConnection | None,
        open_error: str,
        kinds: FailureKinds,
        max_idle_seconds: float,
    ) -> None:
        self._max_idle_seconds = max_idle_seconds
        self.is_idle = False
        self._connection = connection
        self._kinds = kinds
        self._open_error = open_error
        self._buffer = bytearray()

    async def receive(self) -> JsonResult:
        """Return the next object, or the failure that ended or prevented the stream."""
        if self._connection is None or self._open_error:
            return self._fail(self._open_error)
        while b"\n" not in self._buffer:
            data = b""
            try:
                with trio.move_on_after(self._max_idle_seconds) as scope:
                    data = await self._connection.receive_data()
                self.is_idle = scope.cancelled_caught
            except _ExchangeError as fault:
                return self._fail(f"stream: {fault}")
            if not data:
                return self._fail("stream: ended")
            self._buffer += data
            if len(self._buffer) > MAX_RESPONSE_BYTES:
                return self._fail("stream: line too long")
        line, _, rest = bytes(self._buffer).partition(b"\n")
        self._buffer = bytearray(rest)
        try:
            return expression.Ok(_decode_object(line))
        except ValueError as fault:
            return self._fail(f"stream: {fault}")

    def _fail(self, detail: str) -> JsonResult:
        return expression.Error(_build_failure(self._kinds, detail, False))


async def _receive_all(connection: _HttpConnection) -> bytes:
    parts: list[bytes] = []
    n_bytes = 0
    while True:
        data = await connection.receive_data()
        if not data:
            return b"".join(parts)
        parts.append(data)
        n_bytes += len(data)
        if n_bytes > MAX_RESPONSE_BYTES:
            raise _ExchangeError("response too large", True)


def _decode_object(raw: bytes) -> JsonObject:
    """Return the object; raises ``ValueError``, also if it is nested too deeply."""
    try:
        value = json.loads(raw) if raw.strip() else {}
    except RecursionError as fault:
        raise ValueError(str(fault)) from None
    if not isinstance(value, dict):
        raise ValueError(f"expected a JSON object, found {type(value).__name__}")
    return value


def _build_failure(
    kinds: FailureKinds, detail: str, is_outcome_unknown: bool
) -> errors.Failure:
    if is_outcome_unknown:
        return errors.fail(kinds.outcome_unknown, detail, errors.Execution.MAY_HAVE_RUN)
    return errors.fail(kinds.unavailable, detail)
