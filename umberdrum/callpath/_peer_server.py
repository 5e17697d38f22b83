"""Server side of peer links, with one task per connection of a peer."""

import expression
import trio

from umberdrum import errors, logs, outcomes, peerlink, sockets, wire
from umberdrum.callpath import _call, _endpoint, _frames, _liveness, _sync

BODY_FRAME_BYTES = 1 << 16
MAX_BODY_IDLE_SECONDS = 30.0
MS_PER_SECOND = 1000.0
# A request that crosses a closing frame arrives within a round trip of it; this allows
# for another region.
CROSSING_SECONDS = 0.3
CLOSE_POLL_SECONDS = 0.01


class _ServedLink:
    """Link of a peer, with one exchange at a time.

    ``scope`` cancels the call or query in progress. ``is_closing`` is set once a
    closing frame was sent; frames that arrive after it are dropped. ``changed_at`` is
    when the link was accepted or the closing frame was sent.
    """

    def __init__(self, channel: peerlink.FrameChannel) -> None:
        self.channel = channel
        self.scope: trio.CancelScope | None = None
        self.is_busy = False
        self.is_closing = False
        self.n_exchanges = 0
        self.changed_at = trio.current_time()

    def close_for_requests(self) -> None:
        """Tell the peer that no further request is read, unless an exchange runs."""
        if self.is_busy or self.is_closing:
            return
        if not self.channel.try_send(peerlink.FrameKind.CLOSING):
            return
        self.channel.connection.finish_sending()
        self.is_closing = True
        self.changed_at = trio.current_time()

    def may_lose_answer(self, now: float) -> bool:
        """Return whether a request may still arrive or is still to be answered."""
        if self.channel.connection.is_closed:
            return False
        return self.is_busy or now - self.changed_at < CROSSING_SECONDS


class PeerServer:
    """Serves the calls, outcome queries and synchronisations of other daemons.

    One exchange at a time runs on a connection. An outcome query names the connection
    that went silent. That connection is closed before the query is answered, so that no
    further frame can arrive over it.

    A daemon that stops sends a closing frame over each link between two exchanges. The
    peer then knows that a request which crossed that frame has not run. New connections
    are still served, because a peer may query an outcome.
    """

    def __init__(
        self,
        own_identity: peerlink.DaemonIdentity,
        cluster_key: bytes,
        endpoint: _endpoint.EndpointService,
        watch: _liveness.LivenessWatch,
        synchronizer: _sync.Synchronizer,
        log: logs.EventLog,
    ) -> None:
        self._own_identity = own_identity
        self._cluster_key = cluster_key
        self._endpoint = endpoint
        self._watch = watch
        self._synchronizer = synchronizer
        self._log = log
        self._connections: dict[tuple[int, int], sockets.Connection] = {}
        self._links: set[_ServedLink] = set()
        self._is_closing = False
        self._is_cutting = False

    def start_closing(self) -> None:
        """Close each link for requests, now or after its present or first exchange."""
        self._is_closing = True
        for link in self._links:
            if link.n_exchanges:
                link.close_for_requests()

    async def close(self) -> None:
        """Close all links for requests; return once no answer can be lost.

        Exchanges that are still in progress are cut. Their peers are told that the
        calls may have run.
        """
        self.start_closing()
        self._is_cutting = True
        for link in self._links:
            if link.scope is not None:
                link.scope.cancel()
        with trio.move_on_after(CROSSING_SECONDS):
            while self._may_lose_answer():
                await trio.sleep(CLOSE_POLL_SECONDS)
        for link in self._links:
            link.close_for_requests()

    def _may_lose_answer(self) -> bool:
        now = trio.current_time()
        return any(link.may_lose_answer(now) for link in self._links)

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve one connection until it ends."""
        link = _ServedLink(peerlink.FrameChannel(connection))
        self._links.add(link)
        try:
            peer = await peerlink.accept_handshake(
                link.channel, self._own_identity, self._cluster_key
            )
            key = (peer.identity.process_id, peer.connection_id)
            self._connections[key] = connection
            try:
                await self._serve_frames(link, peer.identity)
            finally:
                if self._connections.get(key) is connection:
                    del self._connections[key]
        except (peerlink.PeerNotAuthenticError, peerlink.FrameError) as fault:
            self._log.warn("peer_refused", peer=connection.peer_name, reason=str(fault))
        except sockets.ConnectionLostError:
            return
        finally:
            self._links.discard(link)

    async def _serve_frames(
        self, link: _ServedLink, peer: peerlink.DaemonIdentity
    ) -> None:
        connection = link.channel.connection
        while not connection.is_closed:
            frame = await link.channel.receive()
            if link.is_closing:
                continue
            link.is_busy = True
            can_reuse = await self._serve_exchange(link, frame, peer)
            link.is_busy = False
            link.n_exchanges += 1
            if not can_reuse:
                await self._end_link(link)
                return
            if self._is_closing:
                link.close_for_requests()

    async def _end_link(self, link: _ServedLink) -> None:
        """Drop what the peer still sends for a moment, then close.

        Closing a connection with unread bytes would reset it, by which the peer could
        lose the response.
        """
        link.close_for_requests()
        with trio.move_on_after(CROSSING_SECONDS):
            while True:
                await link.channel.receive()

    async def _serve_exchange(
        self,
        link: _ServedLink,
        frame: peerlink.Frame,
        peer: peerlink.DaemonIdentity,
    ) -> bool:
        """Answer one request; return False if the connection can't be used again."""
        if frame.kind is peerlink.FrameKind.CALL:
            return await self._serve_call(link, frame)
        if frame.kind is peerlink.FrameKind.OUTCOME_QUERY:
            await self._serve_query(link, frame, peer)
            return True
        if frame.kind is peerlink.FrameKind.SYNC_REQUEST:
            request = _frames.parse_head(wire.messages.SyncRequest, frame)
            reply = self._synchronizer.answer_sync(request, trio.current_time())
            encoded = reply.SerializeToString()
            await link.channel.send(peerlink.FrameKind.SYNC_REPLY, encoded)
            return True
        raise peerlink.FrameError(f"unexpected frame {frame.kind.name}")

    async def _serve_call(self, link: _ServedLink, frame: peerlink.Frame) -> bool:
        """Run one call; returns False if the connection can't be used again."""
        channel = link.channel
        head = _frames.parse_head(wire.messages.CallHead, frame)
        call = _frames.decode_call(head, trio.current_time())
        if head.target_process_id != self._own_identity.process_id:
            failure = errors.fail(
                errors.ErrorKind.STALE_INCARNATION,
                f"expected process {head.target_process_id:x}, "
                f"found {self._own_identity.process_id:x}",
            )
            await self._refuse(channel, call, failure)
            return True
        body: _call.WholeBody | _FrameBody = _call.WholeBody(frame.body)
        if not head.is_body_complete:
            body = _FrameBody(channel, frame.body)
        sink = PeerSink(channel, call.request_id)
        with (
            trio.CancelScope() as link.scope,
            self._watch.watch(channel.connection, link.scope, channel),
        ):
            result = await self._endpoint.run(call, body, sink)
        if link.scope.cancelled_caught:
            if not self._is_cutting:
                return False
            result = expression.Error(await self._build_cut_failure(call))
        if result.is_error():
            await self._report_failure(channel, call, sink, result.error)
            if sink.is_sent:
                return False
        return not isinstance(body, _FrameBody) or body.is_settled

    async def _build_cut_failure(self, call: _call.Call) -> errors.Failure:
        """Return the failure of a call that this daemon's end has interrupted."""
        execution = errors.Execution.MAY_HAVE_RUN
        if not call.is_idempotent:
            # The query also bars a call that still waits for its slot.
            now = trio.current_time()
            report = await self._endpoint.record.query(call.request_id, 0.0, now)
            execution = report.execution
        return errors.fail(
            errors.ErrorKind.ENDPOINT_LEAVING, "the endpoint has ended", execution
        )

    async def _report_failure(
        self,
        channel: peerlink.FrameChannel,
        call: _call.Call,
        sink: "PeerSink",
        failure: errors.Failure,
    ) -> None:
        if not sink.is_sent:
            await self._refuse(channel, call, failure)
            return
        head = _frames.encode_refusal(call.request_id, failure, None)
        await channel.send(peerlink.FrameKind.ABORT, head)

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
        link: _ServedLink,
        frame: peerlink.Frame,
        peer: peerlink.DaemonIdentity,
    ) -> None:
        query = _frames.parse_head(wire.messages.OutcomeQuery, frame)
        if query.target_process_id != self._own_identity.process_id:
            raise peerlink.FrameError("the query is addressed to another process")
        self._close_abandoned((peer.process_id, query.silent_connection_id))
        report = await self._find_outcome(link, query)
        head = _frames.encode_outcome(query.request_id, report)
        await link.channel.send(peerlink.FrameKind.OUTCOME, head)
        if report.response is not None:
            await self._send_recorded_response(
                link.channel, query.request_id, report.response
            )

    async def _find_outcome(
        self, link: _ServedLink, query: wire.messages.OutcomeQuery
    ) -> outcomes.OutcomeReport:
        record = self._endpoint.record
        report: outcomes.OutcomeReport | None = None
        with (
            trio.CancelScope() as link.scope,
            self._watch.watch(link.channel.connection, link.scope, link.channel),
        ):
            wait_seconds = 0.0 if self._is_cutting else query.wait_ms / MS_PER_SECOND
            report = await record.query(
                query.request_id, wait_seconds, trio.current_time()
            )
        if self._is_cutting:
            # No later query would be answered, so this answer is final.
            report = await record.query(query.request_id, 0.0, trio.current_time())
            report = report._replace(is_running=False)
        if report is None:
            raise sockets.ConnectionLostError("closed by the peer")
        self._log.write(
            "outcome_query",
            request=query.request_id,
            execution=report.execution.token,
            running=report.is_running,
        )
        return report

    def _close_abandoned(self, key: tuple[int, int]) -> None:
        """Close the connection that a peer has stopped using."""
        connection = self._connections.pop(key, None)
        if connection is not None:
            connection.close()

    async def _send_recorded_response(
        self,
        channel: peerlink.FrameChannel,
        request_id: str,
        response: outcomes.StoredResponse,
    ) -> None:
        head = _call.HttpResponseHead(
            response.status, response.reason, list(response.headers)
        )
        report = _call.CallReport(response.status, 0.0, 0.0, None)
        encoded = _frames.encode_response(request_id, head, report, True)
        await channel.send(peerlink.FrameKind.RESPONSE, encoded, response.body)


class PeerSink:
    """Writes the response to a call as frames; a small response takes one frame."""

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
        """Store the head, which is sent with the first flush or at the end."""
        self._head = head
        self._report = report

    async def write(self, data: bytes) -> None:
        """Buffer body bytes, and flush once ``BODY_FRAME_BYTES`` are pending."""
        self._parts.append(data)
        self._n_pending += len(data)
        if self._n_pending >= BODY_FRAME_BYTES:
            await self.flush()
            await trio.lowlevel.checkpoint()

    async def flush(self) -> None:
        """Send the pending head and body bytes, if any."""
        if self.is_sent and not self._parts:
            return
        if self.is_sent:
            await self._send(peerlink.FrameKind.BODY, b"")
            return
        await self._send(peerlink.FrameKind.RESPONSE, self._encode_head(False))
        self.is_sent = True

    async def finish(self) -> None:
        """Send the pending bytes in a frame that marks the end of the response."""
        if self.is_sent:
            await self._send(peerlink.FrameKind.BODY_END, b"")
            return
        await self._send(peerlink.FrameKind.RESPONSE, self._encode_head(True))
        self.is_sent = True

    def _encode_head(self, is_complete: bool) -> bytes:
        if self._head is None or self._report is None:
            raise RuntimeError("start() must be called before data is sent")
        return _frames.encode_response(
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
    """Request body that arrives in frames; the first receive tells the peer to send."""

    def __init__(self, channel: peerlink.FrameChannel, initial: bytes) -> None:
        self._channel = channel
        self._initial = initial
        self._is_requested = False
        self.is_ended = False

    @property
    def initial(self) -> bytes:
        """Bytes that arrived in the frame with the head."""
        return self._initial

    @property
    def is_complete(self) -> bool:
        """Whether ``initial`` is the whole body: always false."""
        return False

    @property
    def is_settled(self) -> bool:
        """Whether the peer sends no more of the body: it ended or wasn't requested."""
        return self.is_ended or not self._is_requested

    @property
    def can_be_sent_again(self) -> bool:
        """Whether the body can be sent again: endpoint daemons never retry."""
        return False

    async def receive(self) -> bytes:
        """Return the bytes of the next body frame, empty at the end.

        Raises ``BodyLostError`` if the link fails or no frame arrives within
        ``MAX_BODY_IDLE_SECONDS``.
        """
        if self.is_ended:
            return b""
        try:
            if not self._is_requested:
                self._is_requested = True
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
        elif frame.kind is not peerlink.FrameKind.BODY:
            detail = f"expected a body frame, found {frame.kind.name}"
            raise _call.BodyLostError(errors.fail(errors.ErrorKind.LINK_BROKE, detail))
        return frame.body
