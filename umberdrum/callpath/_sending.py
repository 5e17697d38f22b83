"""Streaming of request bodies to an upstream or over a peer link."""

import trio

from umberdrum import errors, peerlink, sockets
from umberdrum.callpath import _call, _upstream


class StreamedExchange:
    """Sends the rest of a body to the upstream while waiting for the response."""

    def __init__(
        self,
        body: _call.RequestBody,
        upstream: _upstream.UpstreamConnection,
        request_id: str = "",
    ) -> None:
        self._body = body
        self._request_id = request_id
        self._upstream = upstream
        self._fault: Exception | None = None
        self._head: _call.HttpResponseHead | None = None

    async def run(self) -> _call.HttpResponseHead:
        """Return the head of the response; an early response stops the sending."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, nursery.cancel_scope)
            try:
                self._head = await self._upstream.receive_head(self._request_id)
            except _upstream.UpstreamFailureError as fault:
                self._fault = self._fault or fault
            nursery.cancel_scope.cancel()
        if self._head is not None:
            return self._head
        if self._fault is not None:
            raise self._fault
        raise _call.BodyLostError(
            errors.fail(errors.ErrorKind.INTERNAL, "the exchange was cancelled")
        )

    async def _send(self, scope: trio.CancelScope) -> None:
        try:
            await self._upstream.send_rest_of_body(self._body)
        except (_call.BodyLostError, _upstream.UpstreamFailureError) as fault:
            self._fault = fault
            scope.cancel()
        except sockets.ConnectionLostError:
            # The receiving task gets the response, or detects that there is none.
            return


class FrameBodySender:
    """Sends the rest of a body in frames, concurrently with the receiving task."""

    def __init__(self, channel: peerlink.FrameChannel, body: _call.RequestBody) -> None:
        self._channel = channel
        self._body = body
        self.fault: Exception | None = None
        self.is_done = False

    async def run(self, scope: trio.CancelScope) -> None:
        """Send until the body ends; if the body is lost, cancel ``scope``."""
        channel = self._channel
        try:
            while True:
                data = await self._body.receive()
                if not data:
                    break
                await channel.send(peerlink.FrameKind.BODY, b"", data)
                await trio.lowlevel.checkpoint()
            await channel.send(peerlink.FrameKind.BODY_END)
            self.is_done = True
        except _call.BodyLostError as fault:
            self.fault = fault
            scope.cancel()
        except sockets.ConnectionLostError:
            # The receiving task of the exchange detects the loss too.
            return
