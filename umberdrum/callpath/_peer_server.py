"""Serving side of the peer link: one task for each connection of a peer."""

import trio

from umberdrum import errors, logs, outcomes, peerlink, sockets, wire
from umberdrum.callpath import _call, _endpoint, _frames, _liveness, _sync

BODY_FRAME_BYTES = 1 << 16
MAX_BODY_IDLE_SECONDS = 30.0


class PeerServer:
    """Serves the calls, outcome queries and synchronisations of other daemons.

    One exchange at a time runs on a connection. An outcome query names the connection
    that went silent, which is closed before the answer, so that nothing more can come
    over it.
    """

    def __init__(
        self,
        own: peerlink.DaemonIdentity,
        cluster_key: bytes,
        endpoint: _endpoint.EndpointService,
        watch: _liveness.LivenessWatch,
        synchronizer: _sync.Synchronizer,
        log: logs.EventLog,
    ) -> None:
        self._own = own
        self._cluster_key = cluster_key
        self._endpoint = endpoint
        self._watch = watch
        self._synchronizer = synchronizer
        self._log = log
        self._connections: dict[tuple[int, int], sockets.Connection] = {}

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve one connection until it ends."""
        channel = peerlink.FrameChannel(connection)
        try:
            peer = await peerlink.accept_handshake(
                channel, self._own, self._cluster_key
            )
            place = (peer.identity.process_id, peer.connection_id)
            self._connections[place] = connection
            try:
                await self._serve_frames(channel, peer.identity)
            finally:
                if self._connections.get(place) is connection:
                    del self._connections[place]
        except (peerlink.PeerNotAuthenticError, peerlink.FrameError) as fault:
            self._log.warn("peer_refused", peer=connection.peer_name, reason=str(fault))
        except sockets.ConnectionLostError:
            return

    async def _serve_frames(
        self, channel: peerlink.FrameChannel, peer: peerlink.DaemonIdentity
    ) -> None:
        while not channel.connection.is_closed:
            frame = await channel.receive()
            if frame.kind is peerlink.FrameKind.CALL:
                if not await self._serve_call(channel, frame):
                    return
                continue
            if frame.kind is peerlink.FrameKind.OUTCOME_QUERY:
                await self._serve_query(channel, frame, peer)
                continue
            if frame.kind is peerlink.FrameKind.SYNC_REQUEST:
                request = _frames.parse_head(wire.messages.SyncRequest, frame)
                reply = self._synchronizer.answer_sync(request, trio.current_time())
                await channel.send(
                    peerlink.FrameKind.SYNC_REPLY, reply.SerializeToString()
                )
                continue
            raise peerlink.FrameError(f"unexpected frame {frame.kind.name}")

    async def _serve_call(
        self, channel: peerlink.FrameChannel, frame: peerlink.Frame
    ) -> bool:
        """Run one call; False means that the connection must not be used again."""
        head = _frames.parse_head(wire.messages.CallHead, frame)
        call = _frames.decode_call(head, trio.current_time())
        if head.target_process_id != self._own.process_id:
            failure = errors.fail(
                errors.ErrorKind.STALE_INCARNATION,
                f"expected process {head.target_process_id:x}, "
                f"found {self._own.process_id:x}",
            )
            await self._refuse(channel, call, failure)
            return head.is_body_complete
        body: _call.RequestBody = _call.WholeBody(frame.body)
        if not head.is_body_complete:
            body = _FrameBody(channel, frame.body)
        sink = PeerSink(channel, call.request_id)
        with (
            trio.CancelScope() as scope,
            self._watch.watch(channel.connection, scope, channel),
        ):
            result = await self._endpoint.run(call, body, sink)
        if scope.cancelled_caught:
            return False
        if result.is_ok():
            return not isinstance(body, _FrameBody) or body.is_ended
        return await self._report_failure(channel, call, body, sink, result.error)

    async def _report_failure(
        self,
        channel: peerlink.FrameChannel,
        call: _call.Call,
        body: _call.RequestBody,
        sink: "PeerSink",
        failure: errors.Failure,
    ) -> bool:
        if not sink.is_sent:
            await self._refuse(channel, call, failure)
            return body.is_complete or (isinstance(body, _FrameBody) and body.is_ended)
        head = _frames.encode_refusal(call.request_id, failure, None)
        await channel.send(peerlink.FrameKind.ABORT, head)
        return False

    async def _refuse(
        self,
        channel: peerlink.FrameChannel,
        call: _call.Call,
        failure: errors.Failure,
    ) -> None:
        load = self._endpoint.build_load_report(trio.current_time())
        head = _frames.encode_refusal(call.request_id, failure, load)
        await channel.send(peerlink.FrameKind.REFUSAL, head)

    async def _serve_query(
        self,
        channel: peerlink.FrameChannel,
        frame: peerlink.Frame,
        peer: peerlink.DaemonIdentity,
    ) -> None:
        query = _frames.parse_head(wire.messages.OutcomeQuery, frame)
        if query.target_process_id != self._own.process_id:
            raise peerlink.FrameError("the query is meant for another process")
        self._close_silent((peer.process_id, query.silent_connection_id))
        report = await self._find_outcome(channel, query)
        head = _frames.encode_outcome(query.request_id, report)
        await channel.send(peerlink.FrameKind.OUTCOME, head)
        if report.response is not None:
            await self._send_kept_answer(channel, query.request_id, report.response)

    async def _find_outcome(
        self, channel: peerlink.FrameChannel, query: wire.messages.OutcomeQuery
    ) -> outcomes.OutcomeReport:
        with (
            trio.CancelScope() as scope,
            self._watch.watch(channel.connection, scope, channel),
        ):
            report = await self._endpoint.record.query(
                query.request_id, query.wait_ms / 1000.0, trio.current_time()
            )
            self._log.write(
                "outcome_query",
                request=query.request_id,
                execution=report.execution.token,
                running=report.is_running,
            )
            return report
        raise sockets.ConnectionLostError("closed by the peer")

    def _close_silent(self, place: tuple[int, int]) -> None:
        """Close the connection that a peer has given up."""
        connection = self._connections.pop(place, None)
        if connection is not None:
            connection.close()

    async def _send_kept_answer(
        self,
        channel: peerlink.FrameChannel,
        request_id: str,
        answer: outcomes.StoredResponse,
    ) -> None:
        head = _call.HttpResponseHead(
            answer.status, answer.reason, list(answer.headers)
        )
        report = _call.CallReport(answer.status, 0.0, 0.0, None)
        encoded = _frames.encode_answer(request_id, head, report, True)
        await channel.send(peerlink.FrameKind.RESPONSE, encoded, answer.body)


class PeerSink:
    """Writes the answer to a call as frames; a small answer goes out in one frame."""

    def __init__(self, channel: peerlink.FrameChannel, request_id: str) -> None:
        self._channel = channel
        self._request_id = request_id
        self._head: _call.HttpResponseHead | None = None
        self._report: _call.CallReport | None = None
        self._parts: list[bytes] = []
        self._n_pending = 0
        self.is_sent = False

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Keep the head until there is a reason to send it."""
        self._head = head
        self._report = report

    async def write(self, data: bytes) -> None:
        """Take body bytes; send when a frame's worth is pending."""
        self._parts.append(data)
        self._n_pending += len(data)
        if self._n_pending >= BODY_FRAME_BYTES:
            await self.flush()
            await trio.lowlevel.checkpoint()

    async def flush(self) -> None:
        """Send what is pending."""
        if self.is_sent and not self._parts:
            return
        if self.is_sent:
            await self._send(peerlink.FrameKind.BODY, b"")
            return
        await self._send(peerlink.FrameKind.RESPONSE, self._encode_head(False))
        self.is_sent = True

    async def finish(self) -> None:
        """Send the rest and mark the end."""
        if self.is_sent:
            await self._send(peerlink.FrameKind.BODY_END, b"")
            return
        await self._send(peerlink.FrameKind.RESPONSE, self._encode_head(True))
        self.is_sent = True

    def _encode_head(self, is_complete: bool) -> bytes:
        if self._head is None or self._report is None:
            raise RuntimeError("expected start before the first send")
        return _frames.encode_answer(
            self._request_id, self._head, self._report, is_complete
        )

    async def _send(self, kind: peerlink.FrameKind, head: bytes) -> None:
        body = b"".join(self._parts)
        self._parts.clear()
        self._n_pending = 0
        try:
            await self._channel.send(kind, head, body)
        except sockets.ConnectionLostError as fault:
            raise _call.SinkLostError(str(fault)) from None


class _FrameBody:
    """Request body that arrives in frames; asks for it once the call is admitted."""

    def __init__(self, channel: peerlink.FrameChannel, initial: bytes) -> None:
        self._channel = channel
        self._initial = initial
        self._is_asked = False
        self.is_ended = False

    @property
    def initial(self) -> bytes:
        """Bytes that came with the head."""
        return self._initial

    @property
    def is_complete(self) -> bool:
        """Whether the head brought the whole body: it did not."""
        return False

    @property
    def can_be_sent_again(self) -> bool:
        """Whether nothing was received yet; endpoint daemons never send again."""
        return False

    async def receive(self) -> bytes:
        """Return the bytes of the next body frame, or none at the end."""
        if self.is_ended:
            return b""
        try:
            if not self._is_asked:
                self._is_asked = True
                await self._channel.send(peerlink.FrameKind.ADMITTED)
            frame = await self._channel.receive_within(MAX_BODY_IDLE_SECONDS)
        except (sockets.ConnectionLostError, peerlink.FrameError) as fault:
            raise _call.BodyLostError(
                errors.fail(errors.ErrorKind.LINK_BROKE, str(fault))
            ) from None
        if frame is None:
            detail = f"no body frame within {MAX_BODY_IDLE_SECONDS:g} s"
            raise _call.BodyLostError(
                errors.fail(errors.ErrorKind.CALLER_TOO_SLOW, detail)
            )
        if frame.kind is peerlink.FrameKind.BODY_END:
            self.is_ended = True
        return frame.body
