"""Attempt of a call over a peer link, and settling of one that went silent."""

import expression
import trio

from umberdrum import errors, peerlink, sockets, wire
from umberdrum.callpath import _call, _frames, _liveness, _sending, _sinks

DEADLINE_GRACE_SECONDS = 0.1
QUERY_WAIT_MS = 1000
SETTLE_PAUSE_SECONDS = 0.05
MAX_REFUSED_CONNECTS = 3
US_PER_SECOND = 1_000_000.0
MS_PER_SECOND = 1000.0
BODY_FRAME_BYTES = 1 << 16
MAX_EAGER_BODY_BYTES = 4096

LegResult = expression.Result[_call.CallReport, errors.Failure]


class PeerClient:
    """Sends calls to endpoint daemons over peer links.

    An attempt whose link breaks or goes silent has an open outcome. For a
    non-idempotent call the leg asks the same process over a new link, which also bars a
    late start; it never sends the request a second time. The watch closes links that go
    silent, so that a quick call needs no timer of its own.
    """

    def __init__(
        self, pool: peerlink.PeerLinkPool, watch: _liveness.LivenessWatch
    ) -> None:
        self._pool = pool
        self._watch = watch
        self.n_silent_links = 0
        self.n_outcome_resolutions = 0

    async def run(
        self,
        call: _call.Call,
        peer: peerlink.PeerAddress,
        body: _call.RequestBody,
        sink: _sinks.CountingSink,
    ) -> LegResult:
        """Run ``call`` at the endpoint of ``peer`` and write its answer to ``sink``."""
        try:
            link = await self._pool.acquire(peer)
        except (sockets.ConnectionLostError, peerlink.PeerNotAuthenticError) as fault:
            return _fail_link(str(fault), errors.Execution.NOT_RUN)
        watched = _liveness.WatchedLink(
            link.channel, call.deadline + DEADLINE_GRACE_SECONDS
        )
        number = self._watch.add_link(watched)
        is_clean = False
        try:
            result = await self._exchange(call, link, body, sink)
            is_clean = True
        except (sockets.ConnectionLostError, peerlink.FrameError) as fault:
            result = self._explain_loss(call, peer, watched, str(fault))
        except _call.BodyLostError as fault:
            failure = fault.failure._replace(execution=errors.Execution.MAY_HAVE_RUN)
            return expression.Error(failure)
        except _call.SinkLostError as fault:
            return expression.Error(
                errors.fail(
                    errors.ErrorKind.CALLER_GONE, str(fault), errors.Execution.RAN
                )
            )
        finally:
            self._watch.remove_link(number)
            if is_clean and not link.channel.connection.is_closed:
                self._pool.release(link)
            else:
                link.close()
        if is_clean or call.is_idempotent or sink.is_started:
            return result
        if watched.is_past_deadline:
            return result
        self.n_outcome_resolutions += 1
        return await self._settle(call, link, sink)

    def _explain_loss(
        self,
        call: _call.Call,
        peer: peerlink.PeerAddress,
        watched: _liveness.WatchedLink,
        detail: str,
    ) -> LegResult:
        """Return the failure for a link that was lost or that the watch has closed."""
        if watched.is_past_deadline:
            return expression.Error(_report_deadline(call))
        if watched.is_silent:
            self.n_silent_links += 1
            self._pool.invalidate_idle(trio.current_time())
            detail = f"{peer.address} kept silent for {_liveness.SILENCE_SECONDS:g} s"
        return _fail_link(detail, errors.Execution.MAY_HAVE_RUN)

    async def _exchange(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        body: _call.RequestBody,
        sink: _sinks.CountingSink,
    ) -> LegResult:
        """Send the request and relay the answer; the link is clean on return."""
        if len(body.initial) > MAX_EAGER_BODY_BYTES:
            # An endpoint that refuses must not cost the bytes of a long body.
            body = _HeldBody(body)
        now = trio.current_time()
        head = _frames.encode_call(call, link.peer.process_id, body.is_complete, now)
        await link.channel.send(peerlink.FrameKind.CALL, head, body.initial)
        if body.is_complete:
            return await self._relay_answer(call, link, sink)
        return await self._exchange_streamed(call, link, body, sink)

    async def _exchange_streamed(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        body: _call.RequestBody,
        sink: _sinks.CountingSink,
    ) -> LegResult:
        """Send the rest of the body while the answer is awaited."""
        frame = await self._receive(link)
        if frame.kind is peerlink.FrameKind.REFUSAL:
            return _read_refusal(frame, call, sink)
        if frame.kind is not peerlink.FrameKind.ADMITTED:
            raise peerlink.FrameError(f"expected admission, found {frame.kind.name}")
        sending = _sending.FrameBodySending(link.channel, body)
        result: LegResult | None = None
        fault: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sending.run, nursery.cancel_scope)
            try:
                result = await self._relay_answer(call, link, sink)
            except (
                sockets.ConnectionLostError,
                peerlink.FrameError,
                _call.SinkLostError,
            ) as raised:
                fault = raised
            nursery.cancel_scope.cancel()
        if sending.fault is not None:
            raise sending.fault
        if fault is not None:
            raise fault
        if result is None:
            raise sockets.ConnectionLostError("the exchange was cancelled")
        if not sending.is_done:
            # The endpoint answered before it took the whole body.
            link.close()
        return result

    async def _relay_answer(
        self, call: _call.Call, link: peerlink.PeerLink, sink: _sinks.CountingSink
    ) -> LegResult:
        frame = await self._receive(link)
        if frame.kind is peerlink.FrameKind.ADMITTED:
            frame = await self._receive(link)
        if frame.kind is peerlink.FrameKind.REFUSAL:
            return _read_refusal(frame, call, sink)
        if frame.kind is not peerlink.FrameKind.RESPONSE:
            raise peerlink.FrameError(f"expected an answer, found {frame.kind.name}")
        return await self._relay_response(call, link, frame, sink)

    async def _relay_response(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        frame: peerlink.Frame,
        sink: _sinks.CountingSink,
    ) -> LegResult:
        message = _frames.parse_head(wire.messages.ResponseHead, frame)
        if message.request_id != call.request_id:
            raise peerlink.FrameError(
                f"expected the answer to {call.request_id}, found {message.request_id}"
            )
        report = _frames.decode_report(message)
        await sink.start(_frames.decode_answer_head(message), report)
        if frame.body:
            await sink.write(frame.body)
        if not message.is_body_complete:
            failure = await self._relay_body(call, link, sink)
            if failure is not None:
                return expression.Error(failure)
        await sink.finish()
        return expression.Ok(report)

    async def _relay_body(
        self, call: _call.Call, link: peerlink.PeerLink, sink: _sinks.CountingSink
    ) -> errors.Failure | None:
        """Write the body frames that follow a response head to ``sink``."""
        await sink.flush()
        while True:
            frame = await self._receive(link)
            if frame.kind is peerlink.FrameKind.ABORT:
                message = _frames.parse_head(wire.messages.Refusal, frame)
                return _frames.decode_refusal(message)
            if frame.body:
                await sink.write(frame.body)
            if frame.kind is peerlink.FrameKind.BODY_END:
                return None
            if frame.kind is not peerlink.FrameKind.BODY:
                raise peerlink.FrameError(f"expected a body, found {frame.kind.name}")
            await sink.flush()

    async def _receive(self, link: peerlink.PeerLink) -> peerlink.Frame:
        """Return the next frame that is no keepalive."""
        while True:
            frame = await link.channel.receive()
            if frame.kind is not peerlink.FrameKind.KEEPALIVE:
                return frame

    async def _settle(
        self, call: _call.Call, silent: peerlink.PeerLink, sink: _sinks.CountingSink
    ) -> LegResult:
        """Find out over new links what became of ``call``, up to its deadline."""
        n_refused = 0
        give_up_at = call.deadline + DEADLINE_GRACE_SECONDS
        with trio.move_on_at(give_up_at):
            while n_refused < MAX_REFUSED_CONNECTS:
                try:
                    result = await self._ask_once(call, silent, sink)
                except peerlink.PeerNotAuthenticError as fault:
                    return _give_up_settling(str(fault))
                except (sockets.ConnectionLostError, peerlink.FrameError):
                    n_refused += 1
                    result = None
                if result is not None:
                    return result
                if sink.is_started:
                    break
                await trio.sleep(SETTLE_PAUSE_SECONDS)
        return _give_up_settling(f"{silent.peer.address} can't be asked")

    async def _ask_once(
        self, call: _call.Call, silent: peerlink.PeerLink, sink: _sinks.CountingSink
    ) -> LegResult | None:
        """Ask once; None means that the request is still in progress."""
        link = await self._pool.open(silent.peer)
        watched = _liveness.WatchedLink(
            link.channel, call.deadline + DEADLINE_GRACE_SECONDS
        )
        number = self._watch.add_link(watched)
        is_clean = False
        try:
            result = await self._query(call, silent, link, sink)
            is_clean = True
            return result
        finally:
            self._watch.remove_link(number)
            if is_clean:
                self._pool.release(link)
            else:
                link.close()

    async def _query(
        self,
        call: _call.Call,
        silent: peerlink.PeerLink,
        link: peerlink.PeerLink,
        sink: _sinks.CountingSink,
    ) -> LegResult | None:
        query = wire.messages.OutcomeQuery(
            request_id=call.request_id,
            target_process_id=silent.peer.process_id,
            silent_connection_id=silent.connection_id,
            wait_ms=QUERY_WAIT_MS,
        )
        kind = peerlink.FrameKind.OUTCOME_QUERY
        await link.channel.send(kind, query.SerializeToString())
        frame = await self._receive(link)
        if frame.kind is not peerlink.FrameKind.OUTCOME:
            raise peerlink.FrameError(f"expected an outcome, found {frame.kind.name}")
        outcome = _frames.parse_head(wire.messages.Outcome, frame)
        if outcome.request_id != call.request_id:
            raise peerlink.FrameError("the outcome is that of another request")
        if outcome.has_answer:
            frame = await self._receive(link)
            return await self._relay_response(call, link, frame, sink)
        if outcome.is_running:
            return None
        execution = errors.Execution(outcome.execution)
        return _fail_link("settled by an outcome query", execution)


class _HeldBody:
    """Request body of which nothing is sent before the endpoint asks for it."""

    initial = b""
    is_complete = False

    def __init__(self, body: _call.RequestBody) -> None:
        self._body = body
        self._is_initial_taken = False

    @property
    def can_be_sent_again(self) -> bool:
        """Whether nothing after the first part was received yet."""
        return self._body.can_be_sent_again

    async def receive(self) -> bytes:
        """Return the first part, then the next bytes, none at the end."""
        if not self._is_initial_taken:
            self._is_initial_taken = True
            return self._body.initial
        if self._body.is_complete:
            return b""
        return await self._body.receive()


def _report_deadline(call: _call.Call) -> errors.Failure:
    return errors.fail(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        f"request {call.request_id} was not answered by its deadline",
        errors.Execution.MAY_HAVE_RUN,
    )


def _read_refusal(
    frame: peerlink.Frame, call: _call.Call, sink: _sinks.CountingSink
) -> LegResult:
    message = _frames.parse_head(wire.messages.Refusal, frame)
    if message.request_id != call.request_id:
        raise peerlink.FrameError("the refusal is that of another request")
    sink.refusal_load = _frames.decode_refusal_load(message)
    return expression.Error(_frames.decode_refusal(message))


def _fail_link(detail: str, execution: errors.Execution) -> LegResult:
    return expression.Error(errors.fail(errors.ErrorKind.LINK_BROKE, detail, execution))


def _give_up_settling(detail: str) -> LegResult:
    return expression.Error(
        errors.fail(
            errors.ErrorKind.OUTCOME_UNKNOWN, detail, errors.Execution.MAY_HAVE_RUN
        )
    )
