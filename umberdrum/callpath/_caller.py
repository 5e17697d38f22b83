"""Server side of callers' HTTP/1.1 connections at an entry daemon."""

import math
import socket

import expression
import trio

from umberdrum import errors, sockets, supervision
from umberdrum.callpath import (
    _call,
    _caller_exchange,
    _dialect,
    _entry,
    _liveness,
    _request_pipeline,
)

MAX_PIPELINED_REQUESTS = 8
# A caller has connected before it sends its first request.
FIRST_REQUEST_SECONDS = 0.2
LAST_REQUESTS_SECONDS = 1.0
SAFE_METHODS = frozenset((b"GET", b"HEAD"))


class CallerServer:
    """Serves callers' connections: one task reads the requests.

    It reads a request's head and up to 64 KiB of its body before a routing decision, so
    that a slow sender holds no slot and a short request can be sent again. Pipelined
    requests run concurrently, in a task each, if their method is safe and their body is
    short. Their responses are sent in order. Routing decisions are made by the entry
    service.
    """

    def __init__(
        self,
        entry: _entry.EntryService,
        watch: _liveness.LivenessWatch,
        get_limits: _caller_exchange.LimitsSource,
        daemon_id: str,
        error_log: supervision.ErrorLog,
        dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._error_log = error_log
        self._entry = entry
        self._watch = watch
        self._get_limits = get_limits
        self._daemon_id = daemon_id
        self.is_draining = False
        self.is_closing = False
        self._read_until = math.inf
        self._idle_pipelines: set[_request_pipeline.RequestPipeline] = set()
        self._listening_since = trio.current_time()
        self._closed = trio.Event()
        self._is_ending = False
        self._call_scopes: set[trio.CancelScope] = set()
        self._receive_scopes: set[trio.CancelScope] = set()

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve the requests of one connection until it ends."""
        async with trio.open_nursery() as nursery:
            pipeline = _request_pipeline.RequestPipeline(connection, nursery)
            try:
                with pipeline.read_scope:
                    await self._read_requests(pipeline)
                if pipeline.is_final:
                    await pipeline.wait_for_turn()
                    await _caller_exchange.discard_input(connection)
            except sockets.ConnectionLostError:
                # The caller can't receive the responses to requests in progress.
                nursery.cancel_scope.cancel()
            except Exception as fault:
                # Requests that were read before are still answered.
                self._error_log.record("caller_connection", fault)
                pipeline.is_final = True

    def set_listening_since(self, since: float) -> None:
        """Set since when callers could connect, if before this server was created."""
        self._listening_since = since

    async def accept(self, listener: socket.socket, max_connections: int) -> None:
        """Serve the connections of ``listener`` until it is closed and they ended."""
        await sockets.accept_connections(listener, self.serve, max_connections)
        self._closed.set()

    def end_calls(self) -> None:
        """Refuse the requests in progress, whose outcome is unknown to their callers.

        A response that was started stays incomplete. Requests that are still being
        received are refused as not run.
        """
        self._is_ending = True
        for scope in [*self._call_scopes, *self._receive_scopes]:
            scope.cancel()

    async def wait_closed(self) -> None:
        """Wait until ``accept`` has ended, after ``start_closing``."""
        await self._closed.wait()

    def start_draining(self) -> None:
        """Close each connection after the responses to the requests it has sent.

        A request of a caller that doesn't wait for its responses could cross the
        announcement of the close. Its connection is closed by ``start_closing``.
        """
        self.is_draining = True

    def start_closing(self) -> None:
        """Close idle connections now and the others after their current requests.

        A caller that sends requests without a pause is disconnected after
        ``LAST_REQUESTS_SECONDS``.
        """
        self.is_draining = True
        self.is_closing = True
        self._read_until = trio.current_time() + LAST_REQUESTS_SECONDS
        for pipeline in list(self._idle_pipelines):
            # Other connections are closed after their last response.
            if pipeline.is_idle():
                self._close_idle(pipeline)

    def _close_idle(self, pipeline: _request_pipeline.RequestPipeline) -> None:
        """Close an idle connection, a new one only if no request follows soon."""
        if pipeline.is_unused:
            pipeline.limit_idle_time(FIRST_REQUEST_SECONDS)
        else:
            pipeline.connection.close()

    async def _read_requests(self, pipeline: _request_pipeline.RequestPipeline) -> None:
        """Read and start requests until the connection is to be closed."""
        unparsed = b""
        is_first = True
        while not pipeline.is_final and not self._must_stop_reading(pipeline):
            exchange = _caller_exchange.CallerExchange(
                pipeline.connection,
                self._get_limits,
                self._daemon_id,
                self._dialect,
                unparsed,
            )
            has_begun = exchange.has_request_begun()
            if not has_begun and not await self._wait_for_bytes(exchange, pipeline):
                return
            pipeline.start_receiving()
            try:
                waited_seconds = 0.0 if has_begun else self._get_wait_seconds(pipeline)
                received = await self._receive_request(exchange, waited_seconds)
                if received is None:
                    return
            except _call.BodyLostError as fault:
                self._entry.record_unread(fault.failure)
                await pipeline.wait_for_turn()
                await exchange.refuse(fault.failure, "")
                return
            if pipeline.is_final:
                # An earlier response closes the connection, so this is not run.
                return
            if is_first and pipeline.connection.is_lost():
                # The caller closed while this daemon was starting.
                return
            is_first = False
            request, body = received
            pipeline.has_unparsed = bool(exchange.get_unparsed())
            await self._start(pipeline, exchange, request, body)
            # The end of a relayed body may have brought bytes of the next request.
            unparsed = exchange.get_unparsed()
            pipeline.has_unparsed = bool(unparsed)

    async def _receive_request(
        self, exchange: _caller_exchange.CallerExchange, waited_seconds: float
    ) -> tuple[_entry.IncomingRequest, _call.RequestBody] | None:
        """Return a request with the first part of its body, None if there is none.

        Raises ``BodyLostError``, also if the calls are ended first.
        """
        with trio.CancelScope() as scope:
            self._receive_scopes.add(scope)
            try:
                if self._is_ending:
                    scope.cancel()
                request = await exchange.receive_request(waited_seconds)
                if request is None:
                    return None
                return request, await exchange.receive_first_body_part()
            finally:
                self._receive_scopes.discard(scope)
        detail = "the daemon ended before the request was received"
        raise _call.BodyLostError(
            errors.fail(errors.ErrorKind.ENDPOINT_LEAVING, detail)
        )

    def _must_stop_reading(self, pipeline: _request_pipeline.RequestPipeline) -> bool:
        """Return whether this server closes and takes no more from the connection."""
        if not self.is_closing:
            return False
        if pipeline.n_in_flight and trio.current_time() >= self._read_until:
            pipeline.is_final = True
        if pipeline.is_idle():
            self._close_idle(pipeline)
        return pipeline.is_final or pipeline.connection.is_closed

    def _get_wait_seconds(self, pipeline: _request_pipeline.RequestPipeline) -> float:
        """Return how many seconds the bytes of a request waited before they were read.

        Load pattern: a daemon that is starting, was paused or gets little processor
        time reads requests long after they arrived. Their deadlines count from then.
        """
        waited_seconds = pipeline.connection.get_seconds_since_receive()
        return min(waited_seconds, trio.current_time() - self._listening_since)

    async def _wait_for_bytes(
        self,
        exchange: _caller_exchange.CallerExchange,
        pipeline: _request_pipeline.RequestPipeline,
    ) -> bool:
        """Return whether the caller began another request before the idle timeout."""
        self._idle_pipelines.add(pipeline)
        try:
            if await exchange.wait_for_first_byte(pipeline):
                return True
        finally:
            self._idle_pipelines.discard(pipeline)
        if pipeline.n_in_flight:
            raise sockets.ConnectionLostError("the caller has closed the connection")
        # No request may arrive between the check for data and the close.
        pipeline.connection.close()
        return False

    async def _start(
        self,
        pipeline: _request_pipeline.RequestPipeline,
        exchange: _caller_exchange.CallerExchange,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
    ) -> None:
        """Respond to one request, concurrently with earlier ones if that is safe."""
        may_overlap = request.method in SAFE_METHODS and body.is_complete
        if not may_overlap or pipeline.n_in_flight >= MAX_PIPELINED_REQUESTS:
            await pipeline.wait_for_turn()
            if pipeline.is_final:
                return
        position = pipeline.add_request()
        if may_overlap:
            pipeline.nursery.start_soon(
                self._respond, pipeline, position, exchange, request, body
            )
            return
        await self._respond(pipeline, position, exchange, request, body)

    async def _respond(
        self,
        pipeline: _request_pipeline.RequestPipeline,
        position: _request_pipeline.PipelinePosition,
        exchange: _caller_exchange.CallerExchange,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
    ) -> None:
        is_last = True
        try:
            is_last = not await self._respond_in_order(
                pipeline, position, exchange, request, body
            )
        except (sockets.ConnectionLostError, _call.SinkLostError):
            pipeline.nursery.cancel_scope.cancel()
        except Exception as fault:
            # Later responses can't be sent in place of this one.
            self._error_log.record("caller_connection", fault)
            pipeline.nursery.cancel_scope.cancel()
        finally:
            pipeline.remove_request(position)
            if is_last or (self.is_closing and pipeline.is_idle()):
                pipeline.close()

    async def _respond_in_order(
        self,
        pipeline: _request_pipeline.RequestPipeline,
        position: _request_pipeline.PipelinePosition,
        exchange: _caller_exchange.CallerExchange,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
    ) -> bool:
        """Run the request and respond; False if the connection must be closed."""
        sink = _caller_exchange.CallerSink(
            exchange, position, lambda: self._must_close(pipeline, position, exchange)
        )
        connection = pipeline.connection
        with trio.CancelScope() as scope, self._watch.watch(connection, scope):
            self._call_scopes.add(scope)
            try:
                outcome = await self._handle(request, body, sink)
            finally:
                self._call_scopes.discard(scope)
        if scope.cancelled_caught:
            if not self._is_ending:
                return False
            outcome = _build_ending_outcome(request)
        await position.turn.wait()
        if outcome.result.is_error():
            if sink.has_sent:
                # The response is incomplete, which only a close can signal.
                return False
            if self._must_close(pipeline, position, exchange):
                exchange.announce_close()
            await exchange.refuse(outcome.result.error, outcome.request_id)
        else:
            await sink.send_pending()
            if not exchange.has_read_request:
                # The upstream responded before it had received the whole body.
                await exchange.linger()
        is_end = pipeline.is_final and pipeline.is_newest(position)
        return exchange.can_reuse_connection() and not is_end

    async def _handle(
        self,
        request: _entry.IncomingRequest,
        body: _call.RequestBody,
        sink: _caller_exchange.CallerSink,
    ) -> _entry.EntryOutcome:
        """Run the request; an unexpected error becomes a failure of this request."""
        try:
            return await self._entry.handle(request, body, sink)
        except (sockets.ConnectionLostError, _call.SinkLostError):
            raise
        except Exception as fault:
            request_id = request.fields.request_id
            self._error_log.record("call", fault, request=request_id)
            failure = errors.fail(
                errors.ErrorKind.INTERNAL,
                f"request {request_id or '-'} was aborted by an error in the daemon",
                errors.Execution.MAY_HAVE_RUN,
            )
            return _entry.EntryOutcome(expression.Error(failure), request_id)

    def _must_close(
        self,
        pipeline: _request_pipeline.RequestPipeline,
        position: _request_pipeline.PipelinePosition,
        exchange: _caller_exchange.CallerExchange,
    ) -> bool:
        """Return whether the connection closes after the response at ``position``.

        A stopping server closes it after the last request that has arrived.
        """
        if pipeline.is_newest(position):
            pipeline.has_unparsed = bool(exchange.get_unparsed())
        if self._may_close(pipeline) and pipeline.is_newest(position):
            is_over = trio.current_time() >= self._read_until
            if not pipeline.has_next_request() or (
                is_over and not pipeline.is_receiving
            ):
                pipeline.is_final = True
        return pipeline.is_final and pipeline.is_newest(position)

    def _may_close(self, pipeline: _request_pipeline.RequestPipeline) -> bool:
        return self.is_closing or (self.is_draining and not pipeline.is_overlapping)


def _build_ending_outcome(request: _entry.IncomingRequest) -> _entry.EntryOutcome:
    failure = errors.fail(
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "the daemon ended before the response arrived",
        errors.Execution.MAY_HAVE_RUN,
    )
    return _entry.EntryOutcome(expression.Error(failure), request.fields.request_id)
