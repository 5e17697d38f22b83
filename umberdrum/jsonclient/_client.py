"""Client for JSON over HTTP/1.1."""

import contextlib
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

import expression
import h11
import trio

from umberdrum import errors, settings, sockets

CONNECT_TIMEOUT_SECONDS = 1.0
STREAM_IDLE_TIMEOUT_SECONDS = 900.0
MAX_RESPONSE_BYTES = 16 << 20

JsonObject = dict[str, Any]
JsonResult = expression.Result[JsonObject, errors.Failure]


class FailureKinds(NamedTuple):
    """Error kinds that a client reports.

    ``unavailable`` is reported for reads and for writes that the server can't have
    received, ``outcome_unknown`` for writes whose response was lost.
    """

    unavailable: errors.ErrorKind
    outcome_unknown: errors.ErrorKind


class JsonResponse(NamedTuple):
    """Answer with its status, where more than one status is expected."""

    status: int
    body: JsonObject


ResponseResult = expression.Result[JsonResponse, errors.Failure]


class _ExchangeError(Exception):
    """An exchange failed; ``is_sent`` tells whether the server may have seen it."""

    def __init__(self, detail: str, is_sent: bool) -> None:
        super().__init__(detail)
        self.is_sent = is_sent


class _HttpLink:
    """One HTTP connection to one address."""

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
        """Return whether another exchange may use the connection."""
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        if self._connection.has_data():
            return False
        self._http.start_next_cycle()
        return True

    async def send(self, method: str, path: str, body: bytes) -> None:
        """Send one request."""
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

    async def receive_status(self) -> int:
        """Return the status of the answer."""
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Response):
                return event.status_code
            if not isinstance(event, h11.InformationalResponse):
                raise _ExchangeError("expected an answer, found the end", True)

    async def receive_data(self) -> bytes:
        """Return the next bytes of the answer's body, none at its end."""
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

    The addresses are tried in turn, beginning with the one that answered last. It never
    repeats a request.
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
        self._kept: _HttpLink | None = None

    def close(self) -> None:
        """Close the kept connection."""
        if self._kept is not None:
            self._kept.close()
            self._kept = None

    async def post(self, path: str, body: JsonObject, is_write: bool) -> JsonResult:
        """Return the answer to a POST of ``body``.

        A write that may have been seen and got no answer has an unknown outcome.
        """
        return await self.request("POST", path, body, is_write)

    async def request(
        self, method: str, path: str, body: Mapping[str, object], is_write: bool
    ) -> JsonResult:
        """Return the answer to one request, for which only status 200 is expected."""
        answer = await self.exchange(method, path, body, is_write, (200,))
        if answer.is_error():
            return expression.Error(answer.error)
        return expression.Ok(answer.ok.body)

    async def exchange(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        is_write: bool,
        statuses: tuple[int, ...],
    ) -> ResponseResult:
        """Return the answer to one request; any status but ``statuses`` is a failure.

        Statuses of 500 and more leave the outcome of a write open.
        """
        encoded = b"" if body is None else json.dumps(body).encode()
        is_sent = False
        try:
            with trio.fail_after(self._timeout_seconds):
                link = await self._open_link()
                is_sent = True
                return await self._exchange(
                    link, method, path, encoded, is_write, statuses
                )
        except trio.TooSlowError:
            detail = f"{path}: no answer within {self._timeout_seconds:g} s"
            return expression.Error(self._describe(detail, is_write and is_sent))
        except _ExchangeError as fault:
            detail = f"{path}: {fault}"
            return expression.Error(self._describe(detail, is_write and fault.is_sent))

    @contextlib.asynccontextmanager
    async def open_stream(
        self, path: str, body: JsonObject
    ) -> AsyncIterator["JsonStream"]:
        """Open a request whose answer is a stream of JSON objects, one a line."""
        link: _HttpLink | None = None
        fault_detail = ""
        try:
            with trio.fail_after(self._timeout_seconds):
                link = await self._connect()
                await link.send("POST", path, json.dumps(body).encode())
                status = await link.receive_status()
                if status != 200:
                    fault_detail = f"{path}: expected status 200, found {status}"
        except (
            trio.TooSlowError,
            _ExchangeError,
            sockets.ConnectionLostError,
        ) as fault:
            fault_detail = f"{path}: {str(fault) or 'no answer in time'}"
        try:
            yield JsonStream(link, fault_detail, self._kinds)
        finally:
            if link is not None:
                link.close()

    async def _exchange(
        self,
        link: _HttpLink,
        method: str,
        path: str,
        encoded: bytes,
        is_write: bool,
        statuses: tuple[int, ...],
    ) -> ResponseResult:
        is_clean = False
        try:
            await self._send(link, method, path, encoded)
            status = await link.receive_status()
            raw = await _receive_all(link)
            is_clean = True
        finally:
            if is_clean:
                self._keep(link)
            else:
                link.close()
        if status not in statuses:
            expected = " or ".join(str(row) for row in statuses)
            detail = (
                f"{path}: expected status {expected}, found {status}: {raw[:200]!r}"
            )
            # 4xx states that the request was refused; 5xx leaves a write open.
            is_open = is_write and status >= 500
            return expression.Error(self._describe(detail, is_open))
        try:
            return expression.Ok(JsonResponse(status, _decode_object(raw)))
        except ValueError as fault:
            return expression.Error(self._describe(f"{path}: {fault}", is_write))

    async def _send(
        self, link: _HttpLink, method: str, path: str, encoded: bytes
    ) -> None:
        try:
            await link.send(method, path, encoded)
        except sockets.ConnectionLostError as fault:
            raise _ExchangeError(str(fault), True) from None

    async def _open_link(self) -> _HttpLink:
        kept = self._kept
        self._kept = None
        if kept is not None:
            if kept.is_reusable():
                return kept
            kept.close()
        return await self._connect()

    async def _connect(self) -> _HttpLink:
        details: list[str] = []
        for address in list(self._addresses):
            try:
                connection = await sockets.connect(address, CONNECT_TIMEOUT_SECONDS)
            except sockets.ConnectionLostError as fault:
                details.append(str(fault))
                self._addresses.remove(address)
                self._addresses.append(address)
                continue
            return _HttpLink(connection, address)
        raise _ExchangeError("; ".join(details), False)

    def _describe(self, detail: str, is_outcome_unknown: bool) -> errors.Failure:
        return _describe(self._kinds, detail, is_outcome_unknown)

    def _keep(self, link: _HttpLink) -> None:
        if self._kept is not None:
            self._kept.close()
        self._kept = link


class JsonStream:
    """Stream of JSON objects in the answer to one request."""

    def __init__(
        self, link: _HttpLink | None, fault_detail: str, kinds: FailureKinds
    ) -> None:
        self._link = link
        self._kinds = kinds
        self._fault_detail = fault_detail
        self._buffer = bytearray()

    async def receive(self) -> JsonResult:
        """Return the next object, or the failure that ended the stream."""
        if self._link is None or self._fault_detail:
            return self._fail(self._fault_detail)
        while b"\n" not in self._buffer:
            data = b""
            try:
                with trio.move_on_after(STREAM_IDLE_TIMEOUT_SECONDS):
                    data = await self._link.receive_data()
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
        return expression.Error(_describe(self._kinds, detail, False))


async def _receive_all(link: _HttpLink) -> bytes:
    parts: list[bytes] = []
    n_bytes = 0
    while True:
        data = await link.receive_data()
        if not data:
            return b"".join(parts)
        parts.append(data)
        n_bytes += len(data)
        if n_bytes > MAX_RESPONSE_BYTES:
            raise _ExchangeError("answer too large", True)


def _decode_object(raw: bytes) -> JsonObject:
    value = json.loads(raw) if raw.strip() else {}
    if not isinstance(value, dict):
        raise ValueError(f"expected a JSON object, found {type(value).__name__}")
    return value


def _describe(
    kinds: FailureKinds, detail: str, is_outcome_unknown: bool
) -> errors.Failure:
    if is_outcome_unknown:
        return errors.fail(kinds.outcome_unknown, detail, errors.Execution.MAY_HAVE_RUN)
    return errors.fail(kinds.unavailable, detail)
