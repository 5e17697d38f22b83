"""Client side of a peer link: sends calls and resolves their unknown outcomes."""

import expression
import trio

from umberdrum import errors, peerlink, sockets, wire
from umberdrum.callpath import _call, _frames, _liveness, _sending, _sinks

DEADLINE_GRACE_SECONDS = 0.1
# A call that another endpoint may run leaves it most of its time. A peer that is busy,
# or in another region, opens a link within the least time.
MAX_LINK_OPEN_SHARE = 1 / 3
MIN_LINK_OPEN_SECONDS = 0.3
QUERY_WAIT_MS = 1000
QUERY_INTERVAL_SECONDS = 0.05
MAX_FAILED_QUERIES = 3
US_PER_SECOND = 1_000_000.0
MS_PER_SECOND = 1000.0
BODY_FRAME_BYTES = 1 << 16
MAX_EAGER_BODY_BYTES = 4096

PeerCallResult = expression.Result[_call.CallReport, errors.Failure]


class _CallNotReadError(Exception):
    """Raised when the peer has not read a call, so that it may be sent again."""


class PeerClient:
    """Sends calls to endpoint daemons over peer links.

    An attempt whose link breaks or goes silent has an unknown outcome. For a
    non-idempotent call the client then queries the same process over a new link, and
    likewise when the body of its request can't be sent to its end. The query also
    prevents the request from being started later. The client never sends the
    request a second time. The liveness watch closes links that go silent, so that a
    fast call needs no timer of its own.
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
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult:
        """Run ``call`` at the endpoint of ``peer``, with the response to ``sink``.

        A call that the peer has not read on an idle link is sent once more, on a new
        link.
        """
        detail = ""
        for open_link in (self._pool.acquire, self._pool.open):
            link: peerlink.PeerLink | None = None
            try:
                with trio.move_on_at(_compute_open_by(call, trio.current_time())):
                    link = await open_link(peer)
            except (
                sockets.ConnectionLostError,
                peerlink.PeerNotAuthenticError,
            ) as fault:
                return _build_link_failure(str(fault), errors.Execution.NOT_RUN)
            if link is None:
                detail = f"no link to {peer.address} was open in time"
                return _build_link_failure(detail, errors.Execution.NOT_RUN)
            try:
                return await self._run_on_link(call, link, body, sink)
            except _CallNotReadError as fault:
                detail = str(fault)
        return expression.Error(errors.fail(errors.ErrorKind.ENDPOINT_LEAVING, detail))

    async def _run_on_link(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult:
        """Run ``call`` over ``link``; raises ``_CallNotReadError``."""
        watched = _liveness.WatchedLink(
            link.channel, call.deadline + DEADLINE_GRACE_SECONDS
        )
        number = self._watch.add_link(watched)
        is_clean = False
        body_failure: errors.Failure | None = None
        try:
            result = await self._exchange(call, link, body, sink)
            is_clean = True
        except (sockets.ConnectionLostError, peerlink.FrameError) as fault:
            result = self._build_loss_result(call, link.peer, watched, str(fault))
        except _call.BodyLostError as fault:
            body_failure = fault.failure
            failure = body_failure._replace(execution=errors.Execution.MAY_HAVE_RUN)
            result = expression.Error(failure)
            if body_failure.kind is errors.ErrorKind.CALLER_GONE:
                return result
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
        resolved = await self._resolve_outcome(call, link, sink)
        if body_failure is None or resolved.is_ok():
            return resolved
        return expression.Error(
            body_failure._replace(execution=resolved.error.execution)
        )

    def _build_loss_result(
        self,
        call: _call.Call,
        peer: peerlink.PeerAddress,
        watched: _liveness.WatchedLink,
        detail: str,
    ) -> PeerCallResult:
        """Return the failure for a link that broke or that the watch has closed."""
        if watched.is_past_deadline:
            return expression.Error(_build_deadline_failure(call))
        if watched.is_silent:
            self.n_silent_links += 1
            self._pool.invalidate_idle(trio.current_time())
            detail = (
                f"{peer.address} sent nothing for {_liveness.MAX_SILENCE_SECONDS:g} s"
            )
        return _build_link_failure(detail, errors.Execution.MAY_HAVE_RUN)

    async def _exchange(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult:
        """Send the request and relay the response; the link is reusable on return.

        Raises ``_CallNotReadError``.
        """
        if len(body.initial) > MAX_EAGER_BODY_BYTES:
            # Don't send a long body before the endpoint has admitted the call.
            body = _DeferredBody(body)
        now = trio.current_time()
        head = _frames.encode_call(call, link.peer.process_id, body.is_complete, now)
        try:
            await link.channel.send(peerlink.FrameKind.CALL, head, body.initial)
        except sockets.ConnectionLostError as fault:
            # A daemon runs no call whose frame is incomplete.
            raise _CallNotReadError(str(fault)) from None
        frame = await self._receive(link)
        if frame.kind is peerlink.FrameKind.CLOSING:
            raise _CallNotReadError(f"{link.peer.address} was closing the link")
        if body.is_complete:
            return await self._read_response(call, link, frame, sink)
        if frame.kind is peerlink.FrameKind.REFUSAL:
            return _read_refusal(frame, call, sink)
        if frame.kind is not peerlink.FrameKind.ADMITTED:
            raise peerlink.FrameError(
                f"expected an admission frame, found {frame.kind.name}"
            )
        return await self._exchange_streamed(call, link, body, sink)

    async def _exchange_streamed(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        body: _call.RequestBody,
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult:
        """Send the rest of the body of an admitted call while its response arrives."""
        sender = _sending.FrameBodySender(link.channel, body)
        result: PeerCallResult | None = None
        fault: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.run, nursery.cancel_scope)
            try:
                frame = await self._receive(link)
                result = await self._read_response(call, link, frame, sink)
            except (
                sockets.ConnectionLostError,
                peerlink.FrameError,
                _call.SinkLostError,
            ) as raised:
                fault = raised
            nursery.cancel_scope.cancel()
        if sender.fault is not None:
            raise sender.fault
        if fault is not None:
            raise fault
        if result is None:
            raise sockets.ConnectionLostError("the exchange was cancelled")
        if not sender.is_done:
            # The endpoint responded before it had received the whole body.
            link.close()
        return result

    async def _read_response(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        frame: peerlink.Frame,
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult:
        """Relay the response that begins with ``frame``, or return the refusal."""
        if frame.kind is peerlink.FrameKind.ADMITTED:
            frame = await self._receive(link)
        if frame.kind is peerlink.FrameKind.REFUSAL:
            return _read_refusal(frame, call, sink)
        if frame.kind is not peerlink.FrameKind.RESPONSE:
            raise peerlink.FrameError(
                f"expected a response frame, found {frame.kind.name}"
            )
        return await self._relay_response(call, link, frame, sink)

    async def _relay_response(
        self,
        call: _call.Call,
        link: peerlink.PeerLink,
        frame: peerlink.Frame,
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult:
        message = _frames.parse_head(wire.messages.ResponseHead, frame)
        if message.request_id != call.request_id:
            raise peerlink.FrameError(
                f"expected a response to {call.request_id}, found {message.request_id}"
            )
        report = _frames.decode_report(message)
        await sink.start(_frames.decode_response_head(message), report)
        if frame.body:
            await sink.write(frame.body)
        if not message.is_body_complete:
            failure = await self._relay_body(call, link, sink)
            if failure is not None:
                return expression.Error(failure)
        await sink.finish()
        return expression.Ok(report)

    async def _relay_body(
        self, call: _call.Call, link: peerlink.PeerLink, sink: _sinks.TrackingSink
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
                raise peerlink.FrameError(
                    f"expected a body frame, found {frame.kind.name}"
                )
            await sink.flush()

    async def _receive(self, link: peerlink.PeerLink) -> peerlink.Frame:
        """Return the next frame, skipping keepalive frames."""
        while True:
            frame = await link.channel.receive()
            if frame.kind is not peerlink.FrameKind.KEEPALIVE:
                return frame

    async def _resolve_outcome(
        self, call: _call.Call, lost_link: peerlink.PeerLink, sink: _sinks.TrackingSink
    ) -> PeerCallResult:
        """Query the outcome of ``call`` over new links until its deadline."""
        n_failed = 0
        expires_at = call.deadline + DEADLINE_GRACE_SECONDS
        with trio.move_on_at(expires_at):
            while n_failed < MAX_FAILED_QUERIES:
                try:
                    result = await self._query_once(call, lost_link, sink)
                except peerlink.PeerNotAuthenticError as fault:
                    return _build_unknown_outcome(str(fault))
                except (sockets.ConnectionLostError, peerlink.FrameError):
                    n_failed += 1
                    result = None
                if result is not None:
                    return result
                if sink.is_started:
                    break
                await trio.sleep(QUERY_INTERVAL_SECONDS)
        return _build_unknown_outcome(
            f"no final outcome was received from {lost_link.peer.address}"
        )

    async def _query_once(
        self, call: _call.Call, lost_link: peerlink.PeerLink, sink: _sinks.TrackingSink
    ) -> PeerCallResult | None:
        """Query once; returns None if the request is still in progress."""
        link = await self._pool.open(lost_link.peer)
        watched = _liveness.WatchedLink(
            link.channel, call.deadline + DEADLINE_GRACE_SECONDS
        )
        number = self._watch.add_link(watched)
        is_clean = False
        try:
            result = await self._exchange_query(call, lost_link, link, sink)
            is_clean = True
            return result
        finally:
            self._watch.remove_link(number)
            if is_clean:
                self._pool.release(link)
            else:
                link.close()

    async def _exchange_query(
        self,
        call: _call.Call,
        lost_link: peerlink.PeerLink,
        link: peerlink.PeerLink,
        sink: _sinks.TrackingSink,
    ) -> PeerCallResult | None:
        query = wire.messages.OutcomeQuery(
            request_id=call.request_id,
            target_process_id=lost_link.peer.process_id,
            silent_connection_id=lost_link.connection_id,
            wait_ms=QUERY_WAIT_MS,
        )
        kind = peerlink.FrameKind.OUTCOME_QUERY
        await link.channel.send(kind, query.SerializeToString())
        frame = await self._receive(link)
        if frame.kind is not peerlink.FrameKind.OUTCOME:
            raise peerlink.FrameError(
                f"expected an outcome frame, found {frame.kind.name}"
            )
        outcome = _frames.parse_head(wire.messages.Outcome, frame)
        if outcome.request_id != call.request_id:
            raise peerlink.FrameError("the outcome belongs to another request")
        if outcome.has_answer:
            frame = await self._receive(link)
            return await self._relay_response(call, link, frame, sink)
        if outcome.is_running:
            return None
        execution = errors.Execution(outcome.execution)
        return _build_link_failure("outcome resolved by a query", execution)


class _DeferredBody:
    """Request body that is sent only after the endpoint has admitted the call."""

    initial = b""
    is_complete = False

    def __init__(self, body: _call.RequestBody) -> None:
        self._body = body
        self._is_initial_returned = False

    @property
    def can_be_sent_again(self) -> bool:
        """Whether nothing after the first part was received from the caller."""
        return self._body.can_be_sent_again

    async def receive(self) -> bytes:
        """Return the first part, then further bytes, and no bytes at the end."""
        if not self._is_initial_returned:
            self._is_initial_returned = True
            return self._body.initial
        if self._body.is_complete:
            return b""
        return await self._body.receive()


def _compute_open_by(call: _call.Call, now: float) -> float:
    """Return until when a link for the call may be opened.

    Load pattern: a daemon has lost power, or is stuck and accepts connections all the
    same, and gossip has not found out yet.
    """
    if call.is_last_resort:
        return call.deadline
    seconds = (call.deadline - now) * MAX_LINK_OPEN_SHARE
    return min(call.deadline, now + max(MIN_LINK_OPEN_SECONDS, seconds))


def _build_deadline_failure(call: _call.Call) -> errors.Failure:
    return errors.fail(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        f"request {call.request_id} was not answered by its deadline",
        errors.Execution.MAY_HAVE_RUN,
    )


def _read_refusal(
    frame: peerlink.Frame, call: _call.Call, sink: _sinks.TrackingSink
) -> PeerCallResult:
    message = _frames.parse_head(wire.messages.Refusal, frame)
    if message.request_id != call.request_id:
        raise peerlink.FrameError("the refusal belongs to another request")
    sink.refusal_load = _frames.decode_refusal_load(message)
    return expression.Error(_frames.decode_refusal(message))


def _build_link_failure(detail: str, execution: errors.Execution) -> PeerCallResult:
    return expression.Error(errors.fail(errors.ErrorKind.LINK_BROKE, detail, execution))


def _build_unknown_outcome(detail: str) -> PeerCallResult:
    return expression.Error(
        errors.fail(
            errors.ErrorKind.OUTCOME_UNKNOWN, detail, errors.Execution.MAY_HAVE_RUN
        )
    )
