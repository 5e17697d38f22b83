"""HTTP connections from an endpoint daemon to its upstream, and their pool."""

import collections
import re

import h11
import trio

from umberdrum import errors, settings, sockets
from umberdrum.callpath import _call, _dialect, _headers, _idle_limit

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_SECONDS = 30.0
MAX_HEAD_BYTES = 65_536
MAX_STRAY_RESPONSES = 4
MAX_INTERIM_RESPONSES = 16
MAX_REFUSED_IDS = 256
MAX_EVENTS_PER_TURN = 64
MAX_DISCARDED_BYTES = 65_536
IDLE_MARGIN_SECONDS = 0.5
_TIMEOUT_PARAMETER = re.compile(rb"timeout=(\d{1,6})")


class UpstreamFailureError(Exception):
    """Raised when an exchange with the upstream fails; carries the failure."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class UpstreamTraits:
    """What the connections to one upstream have shown of it.

    ``echoes_request_id`` is set once a response carried the id of its request; from
    then on each response must. The connections of an upstream that doesn't echo ids are
    not reused: a late second copy of a response could not be told from the response to
    the next request.
    """

    def __init__(self, echoes_request_id: bool) -> None:
        self.echoes_request_id = echoes_request_id


class UpstreamConnection:
    """One HTTP/1.1 connection to the upstream, used for one exchange at a time.

    ``has_sent`` is set just before the first byte of a request is sent. A request that
    fails before that has not run. ``idle_seconds`` is how long the connection had been
    idle when it was taken from the pool.

    A request that the upstream refused may come again under the same id. It is not sent
    on the same connection, where a late second copy of the refusal could not be told
    from the response to it.
    """

    def __init__(
        self,
        connection: sockets.Connection,
        dialect: _dialect.Dialect,
        traits: UpstreamTraits | None = None,
    ) -> None:
        self._connection = connection
        self._dialect = dialect
        self._traits = traits or UpstreamTraits(dialect.echoes_request_id)
        self._http = _build_parser()
        self._request: h11.Request | None = None
        self._is_request_complete = False
        self._request_id = ""
        self._refused_ids: set[str] = set()
        self._is_eof = False
        self._turn_limit = sockets.TurnLimit(MAX_EVENTS_PER_TURN)
        self.has_sent = False
        self.has_received = False
        self.idle_seconds = 0.0
        self.idle_since = 0.0
        self.max_idle_seconds = MAX_IDLE_SECONDS

    def close(self) -> None:
        """Close the connection, which cancels a request in progress."""
        self._connection.close()

    def is_stale(self) -> bool:
        """Return whether the upstream has closed or sent bytes without a request."""
        return self._connection.has_data()

    def record_refusal(self, request_id: str) -> None:
        """Remember that the upstream has refused ``request_id`` on this connection."""
        self._refused_ids.add(request_id)

    def may_carry(self, request_id: str) -> bool:
        """Return whether a request with this id may be sent on the connection."""
        return request_id not in self._refused_ids

    def start_next_exchange(self) -> bool:
        """Prepare for another request; False if the connection can't be reused."""
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        if self._http.trailing_data[0]:
            # Bytes after a complete response belong to no request.
            return False
        if not self._traits.echoes_request_id:
            return False
        if len(self._refused_ids) >= MAX_REFUSED_IDS:
            return False
        self._http.start_next_cycle()
        self.has_sent = False
        self.has_received = False
        return True

    async def send_request(
        self,
        call: _call.Call,
        body: _call.RequestBody,
        remaining_ms: int,
        instance_id: str = "",
    ) -> None:
        """Send the head and the initial body bytes, and the end if that is all."""
        headers = call.headers + _headers.build_daemon_headers(
            call.request_id,
            remaining_ms,
            call.n_extra_attempts,
            instance_id,
            self._dialect,
        )
        if call.content_length is None and not body.is_complete:
            headers.append((b"transfer-encoding", b"chunked"))
        elif body.is_complete and body.initial and call.content_length is None:
            headers.append((b"content-length", b"%d" % len(body.initial)))
        try:
            request = h11.Request(
                method=call.method, target=call.target, headers=headers
            )
            data = self._http.send(request) or b""
            if body.initial:
                data += self._http.send(h11.Data(data=body.initial)) or b""
            if body.is_complete:
                data += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as fault:
            raise _build_request_error(str(fault), errors.Execution.NOT_RUN) from None
        self._request = request
        self._request_id = call.request_id
        self._is_request_complete = body.is_complete
        self.has_sent = True
        await self._connection.send(data)

    async def send_rest_of_body(self, body: _call.RequestBody) -> None:
        """Send the body bytes after the initial ones, then the end of the request."""
        while True:
            data = await body.receive()
            event: h11.Event = h11.Data(data=data) if data else h11.EndOfMessage()
            try:
                rendered = self._http.send(event) or b""
            except h11.LocalProtocolError as fault:
                raise _build_request_error(
                    str(fault), errors.Execution.MAY_HAVE_RUN
                ) from None
            await self._connection.send(rendered)
            if not data:
                return
            await trio.lowlevel.checkpoint()

    async def receive_head(self, request_id: str = "") -> _call.HttpResponseHead:
        """Return the head of the final response; interim responses are skipped.

        A response that carries the id of another request is skipped too, provided that
        the request was sent completely.
        """
        for _ in range(MAX_STRAY_RESPONSES):
            head = await self._receive_any_head()
            if not request_id:
                return head
            found = _headers.get_header(head.headers, self._dialect.request_id)
            if found == request_id.encode():
                self._traits.echoes_request_id = True
                return head
            if not self._traits.echoes_request_id:
                return head
            if found is None or not self._is_request_complete:
                break
            await self._skip_stray_response()
        raise _build_response_error(f"expected the response to request {request_id}")

    async def fetch_head(self, path: str) -> _call.HttpResponseHead:
        """Send a GET of ``path``, return the head of the response, discard its body.

        Raises ``UpstreamFailureError`` also for a path that can't be requested, and for
        a second copy of the response to an earlier request.
        """
        try:
            request = h11.Request(
                method=b"GET", target=path.encode(), headers=[(b"host", b"upstream")]
            )
        except (h11.LocalProtocolError, UnicodeEncodeError) as fault:
            raise _build_request_error(str(fault), errors.Execution.NOT_RUN) from None
        data = self._http.send(request) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._connection.send(data)
        head = await self._receive_any_head()
        if self._belongs_to_earlier_request(head):
            raise _build_response_error(f"expected the response to {path}")
        await self.discard_body()
        return head

    def _belongs_to_earlier_request(self, head: _call.HttpResponseHead) -> bool:
        found = _headers.get_header(head.headers, self._dialect.request_id)
        if found is None:
            return False
        request_id = found.decode("latin-1")
        return request_id == self._request_id or request_id in self._refused_ids

    async def _skip_stray_response(self) -> None:
        """Discard a response to another request and prepare to parse the next one."""
        await self.discard_body()
        rest, _ = self._http.trailing_data
        if self._request is None or self._http.their_state is not h11.DONE:
            raise _build_disconnect_error("closed after a response to another request")
        parser = _build_parser()
        parser.send(self._request)
        if parser.our_state is h11.SEND_BODY:
            # The body was sent already. Zero bytes of the same length, which are not
            # sent, bring the new parser into the state that expects a response.
            length = _headers.get_header(list(self._request.headers), b"content-length")
            if length is not None:
                parser.send(h11.Data(data=bytes(int(length))))
            parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        self._http = parser

    async def _receive_any_head(self) -> _call.HttpResponseHead:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._receive_event()
            if isinstance(event, h11.InformationalResponse):
                if event.status_code == 101:
                    raise _build_response_error("unexpected protocol switch (101)")
                continue
            if isinstance(event, h11.Response):
                self._update_max_idle(list(event.headers))
                fields = _headers.filter_response_headers(list(event.headers))
                return _call.HttpResponseHead(
                    event.status_code, bytes(event.reason), fields
                )
            raise _build_disconnect_error("closed before the head of its response")
        raise _build_response_error(
            f"expected at most {MAX_INTERIM_RESPONSES} interim responses"
        )

    def _update_max_idle(self, headers: _headers.HeaderFields) -> None:
        """Set the maximum idle time from the timeout in a ``Keep-Alive`` header.

        ``IDLE_MARGIN_SECONDS`` is subtracted from it.
        """
        value = _headers.get_header(headers, b"keep-alive")
        found = _TIMEOUT_PARAMETER.search(value) if value is not None else None
        if found is None:
            return
        seconds = float(found.group(1)) - IDLE_MARGIN_SECONDS
        self.max_idle_seconds = min(MAX_IDLE_SECONDS, max(0.0, seconds))

    async def relay_body(
        self, sink: _call.ResponseSink, is_buffered: bool = False
    ) -> None:
        """Write the body of the response to ``sink`` as it arrives.

        With ``is_buffered`` nothing is flushed before the end, so that a response that
        ends prematurely can still be replaced by another one.
        """
        while True:
            await self._turn_limit.count_step()
            event = self._next_event()
            if event is h11.NEED_DATA:
                if not is_buffered:
                    await sink.flush()
                await self._receive_more()
                continue
            if isinstance(event, h11.Data):
                await sink.write(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                return
            raise _build_disconnect_error("closed before its response was complete")

    async def discard_body(self) -> None:
        """Read the body of a response that is not needed, unless it is too long.

        The connection can then be used again.
        """
        n_bytes = 0
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise _build_disconnect_error("closed before its response was complete")
            n_bytes += len(event.data)
            if n_bytes > MAX_DISCARDED_BYTES:
                raise _build_response_error(
                    f"expected at most {MAX_DISCARDED_BYTES} bytes of a body that is "
                    "not needed"
                )

    async def _receive_event(self) -> object:
        while True:
            await self._turn_limit.count_step()
            event = self._next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive_more()

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as fault:
            if self._is_eof:
                raise _build_disconnect_error(str(fault)) from None
            raise _build_response_error(str(fault)) from None

    async def _receive_more(self) -> None:
        try:
            data = await self._connection.receive()
        except sockets.ConnectionLostError as fault:
            raise _build_disconnect_error(str(fault)) from None
        self._is_eof = not data
        self.has_received = self.has_received or bool(data)
        self._http.receive_data(data)


class UpstreamPool:
    """Pool of connections to the one upstream of an endpoint daemon.

    The slots of the admission gate bound the connections in use, so the pool opens one
    whenever none is idle. Idle connections are checked before reuse, and those that
    have been idle for too long are closed.
    """

    def __init__(self, dialect: _dialect.Dialect = _dialect.OWN_DIALECT) -> None:
        self._dialect = dialect
        self._idle: collections.deque[UpstreamConnection] = collections.deque()
        self._address: settings.Address | None = None
        self._traits = UpstreamTraits(dialect.echoes_request_id)
        self._idle_limit = _idle_limit.IdleLimit(MAX_IDLE_SECONDS)
        self.n_open = 0

    @property
    def address(self) -> settings.Address | None:
        """Address of the upstream, None until an upstream has announced itself."""
        return self._address

    def set_address(self, address: settings.Address) -> None:
        """Set the address; if it changed, close idle connections to the old one."""
        if address == self._address:
            return
        self._address = address
        self._traits = UpstreamTraits(self._dialect.echoes_request_id)
        while self._idle:
            self._discard(self._idle.pop())

    async def acquire(
        self, is_idempotent: bool = True, request_id: str = ""
    ) -> UpstreamConnection:
        """Return an idle connection or a new one; raises ``UpstreamFailureError``.

        A non-idempotent call gets only a new connection or one that was idle briefly,
        as it could not be repeated after the upstream had dropped the connection. A
        request gets no connection on which the upstream has refused its id before.
        """
        now = trio.current_time()
        limit_seconds = self._idle_limit.get_limit_seconds(now, is_idempotent)
        while self._idle:
            upstream = self._idle.pop()
            unused_seconds = now - upstream.idle_since
            if unused_seconds > limit_seconds and not is_idempotent:
                # The most recently used connection has been idle for too long, so all
                # have. The oldest is closed and replaced by a new one.
                self._idle.append(upstream)
                self._discard(self._idle.popleft())
                break
            is_within_limit = unused_seconds <= min(
                limit_seconds, upstream.max_idle_seconds
            )
            can_carry = is_within_limit and upstream.may_carry(request_id)
            if can_carry and not upstream.is_stale():
                upstream.idle_seconds = unused_seconds
                return upstream
            self._discard(upstream)
        return await self.open()

    def record_loss(self, upstream: UpstreamConnection) -> None:
        """Lower the idle limit if a reused connection was lost before any response."""
        if upstream.idle_seconds and not upstream.has_received:
            now = trio.current_time()
            self._idle_limit.record_loss(upstream.idle_seconds, now)

    async def open(self) -> UpstreamConnection:
        """Return a new connection; raises ``UpstreamFailureError``."""
        if self._address is None:
            detail = "no upstream has announced itself yet"
            raise UpstreamFailureError(
                errors.fail(errors.ErrorKind.UPSTREAM_UNREACHABLE, detail)
            )
        try:
            connection = await sockets.connect(self._address, CONNECT_TIMEOUT_SECONDS)
        except sockets.ConnectionLostError as fault:
            raise UpstreamFailureError(
                errors.fail(errors.ErrorKind.UPSTREAM_UNREACHABLE, str(fault))
            ) from None
        self.n_open += 1
        return UpstreamConnection(connection, self._dialect, self._traits)

    def release(self, upstream: UpstreamConnection, is_clean: bool) -> None:
        """Return a connection to the pool; close it if it can't be reused.

        A connection can be reused only if its exchange ended cleanly.
        """
        if is_clean and upstream.start_next_exchange():
            upstream.idle_since = trio.current_time()
            self._idle.append(upstream)
            return
        self._discard(upstream)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle longer than ``MAX_IDLE_SECONDS``."""
        while self._idle and now - self._idle[0].idle_since > MAX_IDLE_SECONDS:
            self._discard(self._idle.popleft())

    def close_all(self) -> None:
        """Close every idle connection."""
        while self._idle:
            self._discard(self._idle.pop())

    def _discard(self, upstream: UpstreamConnection) -> None:
        upstream.close()
        self.n_open -= 1


def _build_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _build_request_error(
    detail: str, execution: errors.Execution
) -> UpstreamFailureError:
    """Return the error for a request that can't be sent as it is.

    The caller's request was valid, so the fault is this daemon's.
    """
    return UpstreamFailureError(
        errors.fail(errors.ErrorKind.INTERNAL, f"request: {detail}", execution)
    )


def _build_disconnect_error(detail: str) -> UpstreamFailureError:
    return UpstreamFailureError(
        errors.fail(
            errors.ErrorKind.UPSTREAM_BROKE_OFF,
            f"upstream {detail}",
            errors.Execution.MAY_HAVE_RUN,
        )
    )


def _build_response_error(detail: str) -> UpstreamFailureError:
    return UpstreamFailureError(
        errors.fail(
            errors.ErrorKind.UPSTREAM_INVALID_ANSWER,
            f"upstream: {detail}",
            errors.Execution.MAY_HAVE_RUN,
        )
    )
