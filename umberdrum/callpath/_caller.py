"""Callers' connections on the outer side of an entry daemon."""

import trio

from umberdrum import sockets
from umberdrum.callpath import (
    _call,
    _caller_exchange,
    _caller_stream,
    _dialect,
    _entry,
    _liveness,
)

MAX_PIPELINED = 8
# Connections that waited for the start are accepted in the first passes of the loop.
EARLY_SECONDS = 1.0
SAFE_METHODS = frozenset((b"GET", b"HEAD"))


class CallerServer:
    """Serves callers' connections: one task reads, and each request has its own.

    It reads a request's head and up to 64 KiB of its body before a routing decision, so
    that a slow sender holds no slot and a short request can be sent again. Requests
    that a caller sends behind one another run at the same time if their method is safe;
    their answers go out in order. It decides nothing about routing; the entry service
    does.
    """

    def __init__(
        self,
        entry: _entry.EntryService,
        watch: _liveness.LivenessWatch,
        get_limits: _caller_exchange.LimitsSource,
        daemon_id: str,
        dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._entry = entry
        self._watch = watch
        self._get_limits = get_limits
        self._daemon_id = daemon_id
        self.is_draining = False
        self.is_closing = False
        self._waiting_streams: set[_caller_stream.CallerStream] = set()
        self._serving_since = trio.current_time()
        self._listening_since = self._serving_since
        self._n_serving = 0
        self._idle_event = trio.Event()

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve the requests of one connection until it ends."""
        async with trio.open_nursery() as nursery:
            stream = _caller_stream.CallerStream(connection, nursery)
            try:
                with stream.reading:
                    await self._read_requests(stream)
                if stream.is_final:
                    await stream.wait_for_turn()
                    await _caller_exchange.drain(connection)
            except sockets.ConnectionLostError:
                # Nobody is there to take the answers of requests in progress.
                nursery.cancel_scope.cancel()

    def set_listening_since(self, since: float) -> None:
        """Note since when callers could connect, before this server was there."""
        self._listening_since = since

    async def wait_until_idle(self) -> None:
        """Return once no request is being served."""
        while self._n_serving:
            self._idle_event = trio.Event()
            await self._idle_event.wait()

    def start_draining(self) -> None:
        """Close each connection after the answers to what it has sent."""
        self.is_draining = True

    def start_closing(self) -> None:
        """Close idle connections now and the others after their present exchange."""
        self.is_draining = True
        self.is_closing = True
        for stream in list(self._waiting_streams):
            # Others are closed at the end of their last answer.
            if not stream.n_in_flight:
                stream.connection.close()

    async def _read_requests(self, stream: _caller_stream.CallerStream) -> None:
        """Read requests and start them, until the connection is to be closed."""
        unparsed = b""
        is_first = True
        while not stream.is_final and not self.is_closing:
            exchange = _caller_exchange.CallerExchange(
                stream.connection,
                self._get_limits,
                self._daemon_id,
                self._dialect,
                unparsed,
            )
            if not unparsed and not await self._wait_for_bytes(exchange, stream):
                return
            try:
                waited_seconds = self._find_waiting(stream) if is_first else 0.0
                request = await exchange.receive_request(waited_seconds)
                if request is None:
                    return
                body = await exchange.receive_first_body_part()
            except _call.BodyLostError as fault:
                await stream.wait_for_turn()
                await exchange.refuse(fault.failure, "")
                return
            if stream.is_final:
                # It was sent behind an answer that closes the connection.
                return
            if is_first and stream.connection.is_lost():
                # The caller left while it waited for this daemon to start.
                return
            is_first = False
            unparsed = exchange.get_unparsed()
            await self._start(stream, exchange, request, body)

    def _find_waiting(self, stream: _caller_stream.CallerStream) -> float:
        """Return for how long the first request of a connection waited to be read.

        Only those that came before this daemon was loaded have waited for long.
        """
        now = trio.current_time()
        if now > self._serving_since + EARLY_SECONDS:
            return 0.0
        waited_seconds = stream.connection.get_seconds_since_receive()
        return min(waited_seconds, now - self._listening_since)

    async def _wait_for_bytes(
        self,
        exchange: _caller_exchange.CallerExchange,
        stream: _caller_stream.CallerStream,
    ) -> bool:
        """Return whether the caller began another request in time."""
        self._waiting_streams.add(stream)
        try:
            if await exchange.wait_for_first_byte(stream):
                return True
        finally:
            self._waiting_streams.discard(stream)
        if stream.n_in_flight:
            raise sockets.ConnectionLostError("the caller has closed")
        return False

    async def _start(
        self,
        stream: _caller_stream.CallerStream,
        exchange: _caller_exchange.CallerExchange,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
    ) -> None:
        """Answer one request, beside those before it where that is safe."""
        may_overlap = request.method in SAFE_METHODS and body.is_complete
        if not may_overlap or stream.n_in_flight >= MAX_PIPELINED:
            await stream.wait_for_turn()
            if stream.is_final:
                return
        place = stream.add_request()
        self._n_serving += 1
        if may_overlap:
            stream.nursery.start_soon(
                self._answer, stream, place, exchange, request, body
            )
            return
        await self._answer(stream, place, exchange, request, body)

    async def _answer(
        self,
        stream: _caller_stream.CallerStream,
        place: _caller_stream.Place,
        exchange: _caller_exchange.CallerExchange,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
    ) -> None:
        is_last = True
        try:
            is_last = not await self._answer_in_turn(
                stream, place, exchange, request, body
            )
        except (sockets.ConnectionLostError, _call.SinkLostError):
            stream.nursery.cancel_scope.cancel()
        finally:
            self._n_serving -= 1
            self._idle_event.set()
            stream.remove_request(place)
            if is_last or (self.is_closing and not stream.n_in_flight):
                stream.close()

    async def _answer_in_turn(
        self,
        stream: _caller_stream.CallerStream,
        place: _caller_stream.Place,
        exchange: _caller_exchange.CallerExchange,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
    ) -> bool:
        """Send the answer; True when another may follow on the connection."""
        sink = _caller_exchange.CallerSink(
            exchange, place, lambda: self._must_close(stream, place)
        )
        connection = stream.connection
        with trio.CancelScope() as scope, self._watch.watch(connection, scope):
            outcome = await self._entry.handle(request, body, sink)
        if scope.cancelled_caught:
            return False
        await place.turn.wait()
        if outcome.result.is_error():
            if outcome.is_started:
                # The answer was cut; only closing tells the caller so.
                return False
            if self._must_close(stream, place):
                exchange.announce_close()
            await exchange.refuse(outcome.result.error, outcome.request_id)
        else:
            await sink.send_held()
            if not exchange.has_read_request:
                # The upstream answered before it took the whole body.
                await exchange.linger()
        is_end = stream.is_final and stream.is_newest(place)
        return exchange.may_go_on() and not is_end

    def _must_close(
        self, stream: _caller_stream.CallerStream, place: _caller_stream.Place
    ) -> bool:
        """Return whether the answer is the last one; nothing is read after it."""
        if self.is_draining and stream.is_newest(place):
            stream.is_final = True
        return stream.is_final and stream.is_newest(place)
