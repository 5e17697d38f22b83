"""HTTP/1.1 exchange of one request and its response on a caller's connection."""

import math
from collections.abc import Callable
from typing import NamedTuple

import h11
import trio

from umberdrum import errors, sockets
from umberdrum.callpath import (
    _call,
    _dialect,
    _entry,
    _headers,
    _paths,
    _request_pipeline,
)

MAX_BUFFERED_BODY_BYTES = 65_536
MAX_PENDING_RESPONSE_BYTES = 1 << 20
MAX_BODY_BYTES = 1 << 40
OUTPUT_BUFFER_BYTES = 65_536
FIELD_OVERHEAD_BYTES = 4
# Method, version, optional white space and the line ends, which the limit on the head
# does not count.
MAX_UNCOUNTED_HEAD_BYTES = 256
LINGER_SECONDS = 1.0
MAX_LINGER_BYTES = 1 << 20
MAX_EVENTS_PER_TURN = 64
EMPTY_LINE = b"\r\n"


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests, and timeouts for receiving them."""

    max_head_bytes: int
    head_timeout_seconds: float
    body_idle_timeout_seconds: float
    idle_timeout_seconds: float
    max_body_bytes: int = MAX_BODY_BYTES


LimitsSource = Callable[[], CallerLimits]


class CallerExchange:
    """HTTP state of one request and its response on a caller's connection."""

    def __init__(
        self,
        connection: sockets.Connection,
        get_limits: LimitsSource,
        daemon_id: str,
        dialect: _dialect.Dialect,
        unparsed: bytes,
    ) -> None:
        self.connection = connection
        self._get_limits = get_limits
        self._limits = get_limits()
        self._daemon_id = daemon_id
        self._dialect = dialect
        self._is_head_request = False
        self._n_body_bytes = 0
        self._unparsed = unparsed
        self._has_skipped_line = False
        self._has_ended = False
        self.http = _build_parser(self._limits)
        self._is_close_announced = False
        self._turn_limit = sockets.TurnLimit(MAX_EVENTS_PER_TURN)

    async def wait_for_first_byte(
        self, pipeline: _request_pipeline.RequestPipeline
    ) -> bool:
        """Return whether the caller began another request before the idle timeout.

        The connection is idle only while no request is in progress. A request that
        arrives just as the timeout passes is read.
        """
        waiting_since = trio.current_time()
        while True:
            now = trio.current_time()
            idle_since = max(waiting_since, pipeline.last_response_at)
            if pipeline.n_in_flight:
                idle_since = now
            # The timeout may have been increased while the connection was idle.
            close_at = idle_since + self._get_limits().idle_timeout_seconds
            close_at = min(close_at, pipeline.idle_until)
            if now >= close_at:
                if not self.connection.has_data():
                    return False
                close_at = math.inf
            with pipeline.start_idle_wait(close_at):
                data = await self.connection.receive()
                self._unparsed += data
                if not data or self.has_request_begun():
                    return bool(data)

    def has_request_begun(self) -> bool:
        """Return whether bytes of the request were received; skip an empty line.

        A server should ignore one empty line before a request (RFC 9112, section 2.2).
        """
        if not self._has_skipped_line and self._unparsed.startswith(EMPTY_LINE):
            self._unparsed = self._unparsed.removeprefix(EMPTY_LINE)
            self._has_skipped_line = True
        return self._unparsed not in (b"", b"\r")

    def get_unparsed(self) -> bytes:
        """Return the bytes received after the current request, if that is complete.

        An empty line at their beginning is left out.
        """
        if not self.has_read_request:
            return b""
        return bytes(self.http.trailing_data[0]).removeprefix(EMPTY_LINE)

    async def receive_request(
        self, waited_seconds: float = 0.0
    ) -> _entry.IncomingRequest | None:
        """Return the next request, or None if the caller has closed the connection.

        ``waited_seconds`` is how long its first bytes waited before they were read.
        Raises ``BodyLostError`` for a head that is malformed, too large or too slow.
        """
        received_at = trio.current_time() - waited_seconds
        # The limits may have changed while the connection was idle.
        self._limits = self._get_limits()
        self.http = _build_parser(self._limits)
        if self._unparsed:
            self.http.receive_data(self._unparsed)
            self._unparsed = b""
        self._n_body_bytes = 0
        event: object = self._next_event()
        if event is h11.NEED_DATA:
            with trio.move_on_after(self._limits.head_timeout_seconds):
                event = await self._receive_event()
        if event is h11.NEED_DATA:
            raise _build_body_error(
                errors.ErrorKind.CALLER_TOO_SLOW,
                f"no complete head within {self._limits.head_timeout_seconds:g} s",
            )
        if not isinstance(event, h11.Request):
            return None
        self._is_head_request = event.method == b"HEAD"
        headers = list(event.headers)
        self._check_head_size(event, headers)
        authority, target = _paths.split_target(bytes(event.target))
        if authority:
            headers = _headers.replace_host(headers, authority)
        fields = _headers.read_call_fields(headers, self._dialect)
        if fields.is_error():
            raise _call.BodyLostError(fields.error)
        if event.method == b"CONNECT":
            raise _build_body_error(
                errors.ErrorKind.MALFORMED_REQUEST, "CONNECT requests are not supported"
            )
        return _entry.IncomingRequest(
            bytes(event.method), target, headers, fields.ok, received_at
        )

    def _check_head_size(
        self, event: h11.Request, headers: _headers.HeaderFields
    ) -> None:
        """Raise ``BodyLostError`` for a complete head that exceeds the size limit.

        It holds for the target and for the fields, each on its own.
        """
        n_field_bytes = sum(
            len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in headers
        )
        for part, n_bytes in (("target", len(event.target)), ("fields", n_field_bytes)):
            if n_bytes <= self._limits.max_head_bytes:
                continue
            raise _build_body_error(
                errors.ErrorKind.HEAD_TOO_LARGE,
                f"{part}: expected at most {self._limits.max_head_bytes} bytes, "
                f"found {n_bytes}",
            )

    async def receive_first_body_part(self) -> _call.RequestBody:
        """Return the body, complete if it is short; raises ``BodyLostError``."""
        parts: list[bytes] = []
        n_bytes = 0
        while n_bytes < MAX_BUFFERED_BODY_BYTES:
            data = await self.receive_body()
            if not data:
                return _call.WholeBody(b"".join(parts))
            parts.append(data)
            n_bytes += len(data)
        return CallerBody(self, b"".join(parts))

    async def receive_body(self) -> bytes:
        """Return the next body bytes, empty at the end; raises ``BodyLostError``."""
        await self._turn_limit.count_step()
        event = self._next_event()
        if event is h11.NEED_DATA:
            await self._send_continue()
            with trio.move_on_after(self._limits.body_idle_timeout_seconds):
                event = await self._receive_event()
        if event is h11.NEED_DATA:
            raise _build_body_error(
                errors.ErrorKind.CALLER_TOO_SLOW,
                f"no body bytes within {self._limits.body_idle_timeout_seconds:g} s",
            )
        if isinstance(event, h11.Data):
            self._n_body_bytes += len(event.data)
            if self._n_body_bytes > self._limits.max_body_bytes:
                raise _build_body_error(
                    errors.ErrorKind.BODY_TOO_LARGE,
                    f"expected at most {self._limits.max_body_bytes} body bytes",
                )
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise _build_body_error(
            errors.ErrorKind.CALLER_GONE, "closed before the body ended"
        )

    async def refuse(self, failure: errors.Failure, request_id: str) -> None:
        """Send the error response; close afterwards if the body is unread."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        problem = errors.render_problem(
            failure,
            self._daemon_id,
            request_id,
            self._dialect.retry_after_has_fractions,
        )
        headers = list(problem.headers)
        if self._is_close_announced or self.http.their_state is not h11.DONE:
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=problem.status, headers=headers)
        data = self.http.send(response) or b""
        if not self._is_head_request:
            data += self.http.send(h11.Data(data=problem.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        await self.connection.send(data)
        if not self.has_read_request:
            await self.linger()

    @property
    def has_read_request(self) -> bool:
        """Whether the current request was received to its end."""
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def allows_chunks(self) -> bool:
        """Whether the caller understands chunks, from HTTP/1.1 on."""
        return self.http.their_http_version != b"1.0"

    def announce_close(self) -> None:
        """Make the next refusal announce that the connection closes."""
        self._is_close_announced = True

    def can_reuse_connection(self) -> bool:
        """Return whether another request may follow on the connection."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def linger(self) -> None:
        """End the sending side and read for a moment before the connection is closed.

        Closing it with unread bytes would send a reset, by which the caller could lose
        the response.
        """
        self.connection.finish_sending()
        await discard_input(self.connection)

    async def _send_continue(self) -> None:
        if not self.http.they_are_waiting_for_100_continue:
            return
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await self.connection.send(self.http.send(interim) or b"")

    def _next_event(self) -> object:
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as fault:
            kind = errors.ErrorKind.MALFORMED_REQUEST
            if fault.error_status_hint == 431:
                kind = errors.ErrorKind.HEAD_TOO_LARGE
            elif self._has_ended:
                # What came before the end was valid, or would have been refused then.
                kind = errors.ErrorKind.CALLER_GONE
            raise _build_body_error(kind, str(fault)) from None

    async def _receive_event(self) -> object:
        while True:
            data = await self.connection.receive()
            self._has_ended = not data
            self.http.receive_data(data)
            event = self._next_event()
            if event is not h11.NEED_DATA:
                return event


class CallerBody:
    """Request body that is still being received from the caller."""

    def __init__(self, exchange: CallerExchange, initial: bytes) -> None:
        self._exchange = exchange
        self._initial = initial
        self._has_received = False

    @property
    def can_be_sent_again(self) -> bool:
        """Whether nothing after ``initial`` was received yet."""
        return not self._has_received

    @property
    def initial(self) -> bytes:
        """Bytes that were read before the routing decision."""
        return self._initial

    @property
    def is_complete(self) -> bool:
        """Whether ``initial`` is the whole body: always false."""
        return False

    async def receive(self) -> bytes:
        """Return the next bytes; raises ``BodyLostError``."""
        self._has_received = True
        try:
            return await self._exchange.receive_body()
        except sockets.ConnectionLostError as fault:
            raise _build_body_error(errors.ErrorKind.CALLER_GONE, str(fault)) from None


class CallerSink:
    """Writes the response to the caller; a small response takes a single send.

    A response that is ready before earlier ones on the connection were sent is
    buffered, up to ``MAX_PENDING_RESPONSE_BYTES``. Whether it closes the connection is
    decided when its head is sent, because requests may arrive until then. Until then
    a response that stays incomplete can also be replaced by a refusal; ``has_sent``
    tells whether that is too late.

    A caller of HTTP/1.0 takes the close as the end of a response without a length.
    Until that is complete, the connection ends with a reset.
    """

    def __init__(
        self,
        exchange: CallerExchange,
        position: _request_pipeline.PipelinePosition,
        must_close: Callable[[], bool],
    ) -> None:
        self._exchange = exchange
        self._turn = position.turn
        self._must_close = must_close
        self._head: _call.HttpResponseHead | None = None
        self._body = bytearray()
        self._is_finished = False
        self._ends_with_connection = False
        self.has_sent = False

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Keep the head, which is sent with the next flush."""
        self._head = head

    async def write(self, data: bytes) -> None:
        """Add body bytes, and flush once enough are pending."""
        self._body += data
        if len(self._body) >= OUTPUT_BUFFER_BYTES:
            await self.flush()
            await trio.lowlevel.checkpoint()

    async def flush(self) -> None:
        """Send pending bytes if the earlier responses were sent.

        With ``MAX_PENDING_RESPONSE_BYTES`` pending, wait until they were sent.
        """
        if not self._turn.is_set() and len(self._body) < MAX_PENDING_RESPONSE_BYTES:
            return
        await self.send_pending()

    async def send_pending(self) -> None:
        """Send what is pending after waiting for the earlier responses to be sent."""
        if self._head is None and not self._body and not self._is_finished:
            return
        await self._turn.wait()
        is_finished = self._is_finished
        data = self._render_pending()
        self.has_sent = True
        connection = self._exchange.connection
        if self._ends_with_connection:
            connection.set_reset_on_close(True)
        try:
            await connection.send(data)
        except sockets.ConnectionLostError as fault:
            raise _call.SinkLostError(str(fault)) from None
        if self._ends_with_connection and is_finished:
            connection.set_reset_on_close(False)

    async def finish(self) -> None:
        """Add the end of the response and flush."""
        self._is_finished = True
        await self.flush()

    def _render_pending(self) -> bytes:
        events: list[h11.Event] = []
        if self._head is not None:
            events.append(self._build_response(self._head))
        if self._body:
            events.append(h11.Data(data=bytes(self._body)))
        if self._is_finished:
            events.append(h11.EndOfMessage())
        self._head = None
        self._body.clear()
        self._is_finished = False
        try:
            return b"".join(self._exchange.http.send(row) or b"" for row in events)
        except h11.LocalProtocolError as fault:
            raise _call.SinkLostError(str(fault)) from None

    def _build_response(self, head: _call.HttpResponseHead) -> h11.Response:
        headers = head.headers
        has_length = _headers.get_header(headers, b"content-length") is not None
        self._ends_with_connection = not (has_length or self._exchange.allows_chunks)
        if self._must_close() or not self._exchange.has_read_request:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(
            status_code=head.status, headers=headers, reason=head.reason
        )


async def discard_input(connection: sockets.Connection) -> None:
    """Read and drop input for a moment; closing with unread bytes sends a reset."""
    n_bytes = 0
    with trio.move_on_after(LINGER_SECONDS):
        while n_bytes < MAX_LINGER_BYTES:
            data = await connection.receive()
            if not data:
                return
            n_bytes += len(data)


def _build_parser(limits: CallerLimits) -> h11.Connection:
    """Return a parser that holds an incomplete head of the largest allowed size.

    That is a target and fields of ``max_head_bytes`` each.
    """
    n_bytes = 2 * limits.max_head_bytes + MAX_UNCOUNTED_HEAD_BYTES
    return h11.Connection(h11.SERVER, max_incomplete_event_size=n_bytes)


def _build_body_error(kind: errors.ErrorKind, detail: str) -> _call.BodyLostError:
    return _call.BodyLostError(errors.fail(kind, detail))
