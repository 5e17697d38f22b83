"""Server side of callers' HTTP/1.1 connections at an entry daemon."""

import trio

from umberdrum import sockets
from umberdrum.callpath import (
    _call,
    _caller_exchange,
    _dialect,
    _entry,
    _liveness,
    _request_pipeline,
)

MAX_PIPELINED_REQUESTS = 8
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
        dialect: _dialect.Dialect = _dialect.OWN_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._entry = entry
        self._watch = watch
        self._get_limits = get_limits
        self._daemon_id = daemon_id
        self.is_draining = False
        self.is_closing = False
        self._idle_pipelines: set[_request_pipeline.RequestPipeline] = set()
        self._listening_since = trio.current_time()
        self._n_serving = 0
        self._idle_event = trio.Event()

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

    def set_listening_since(self, since: float) -> None:
        """Set since when callers could connect, if before this server was created."""
        self._listening_since = since

    async def wait_until_idle(self) -> None:
        """Return once no request is being served."""
        while self._n_serving:
            self._idle_event = trio.Event()
            await self._idle_event.wait()

    def start_draining(self) -> None:
        """Close each connection after the responses to the requests it has sent."""
        self.is_draining = True

    def start_closing(self) -> None:
        """Close idle connections now and the others after their current requests."""
        self.is_draining = True
        self.is_closing = True
        for pipeline in list(self._idle_pipelines):
            # Other connections are closed after their last response.
            if not pipeline.n_in_flight and not pipeline.connection.has_data():
                pipeline.connection.close()

    async def _read_requests(self, pipeline: _request_pipeline.RequestPipeline) -> None:
        """Read and start requests until the connection is to be closed."""
        unparsed = b""
        is_first = True
        while not pipeline.is_final and not self._must_stop_reading(pipeline, unparsed):
            exchange = _caller_exchange.CallerExchange(
                pipeline.connection,
                self._get_limits,
                self._daemon_id,
                self._dialect,
                unparsed,
            )
            if not unparsed and not await self._wait_for_bytes(exchange, pipeline):
                return
            try:
                waited_seconds = 0.0 if unparsed else self._get_wait_seconds(pipeline)
                request = await exchange.receive_request(waited_seconds)
                if request is None:
                    return
                body = await exchange.receive_first_body_part()
            except _call.BodyLostError as fault:
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
            unparsed = exchange.get_unparsed()
            await self._start(pipeline, exchange, request, body)

    def _must_stop_reading(
        self, pipeline: _request_pipeline.RequestPipeline, unparsed: bytes
    ) -> bool:
        """Return whether this server closes and no request has arrived meanwhile."""
        return self.is_closing and not unparsed and not pipeline.connection.has_data()

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
        self._n_serving += 1
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
        finally:
            self._n_serving -= 1
            self._idle_event.set()
            pipeline.remove_request(position)
            if is_last or (self.is_closing and not pipeline.n_in_flight):
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
            exchange, position, lambda: self._must_close(pipeline, position)
        )
        connection = pipeline.connection
        with trio.CancelScope() as scope, self._watch.watch(connection, scope):
            outcome = await self._entry.handle(request, body, sink)
        if scope.cancelled_caught:
            return False
        await position.turn.wait()
        if outcome.result.is_error():
            if sink.has_sent:
                # The response is incomplete, which only a close can signal.
                return False
            if self._must_close(pipeline, position):
                exchange.announce_close()
            await exchange.refuse(outcome.result.error, outcome.request_id)
        else:
            await sink.send_pending()
            if not exchange.has_read_request:
                # The upstream responded before it had received the whole body.
                await exchange.linger()
        is_end = pipeline.is_final and pipeline.is_newest(position)
        return exchange.can_reuse_connection() and not is_end

    def _must_close(
        self,
        pipeline: _request_pipeline.RequestPipeline,
        position: _request_pipeline.PipelinePosition,
    ) -> bool:
        """Return whether the connection closes after the response at ``position``."""
        if self.is_draining and pipeline.is_newest(position):
            pipeline.is_final = True
        return pipeline.is_final and pipeline.is_newest(position)
