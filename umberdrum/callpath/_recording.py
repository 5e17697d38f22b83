"""Sink that keeps a copy of the response to a non-idempotent call."""

from umberdrum import outcomes
from umberdrum.callpath import _call


class RecordingSink:
    """Forwards a response to another sink and keeps a copy if it is small.

    When the other sink is lost or detached, the rest of the response is still read, so
    that the upstream finishes and the outcome is known.
    """

    def __init__(self, sink: _call.ResponseSink) -> None:
        self._sink: _call.ResponseSink | None = sink
        self._head: _call.HttpResponseHead | None = None
        self._parts: list[bytes] = []
        self._n_bytes = 0

    @property
    def is_started(self) -> bool:
        """Whether the head of the response was received."""
        return self._head is not None

    def detach(self) -> None:
        """Stop forwarding to the other sink."""
        self._sink = None

    def get_response(self) -> outcomes.StoredResponse | None:
        """Return the whole response, or None if it was too large or never started."""
        if self._head is None or self._n_bytes > outcomes.MAX_STORED_BODY_BYTES:
            return None
        return outcomes.StoredResponse(
            self._head.status,
            self._head.reason,
            tuple(self._head.headers),
            b"".join(self._parts),
        )

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Keep the head and forward it."""
        self._head = head
        if self._sink is None:
            return
        try:
            await self._sink.start(head, report)
        except _call.SinkLostError:
            self._sink = None

    async def write(self, data: bytes) -> None:
        """Keep up to ``MAX_STORED_BODY_BYTES`` in total and forward the bytes."""
        self._n_bytes += len(data)
        if self._n_bytes <= outcomes.MAX_STORED_BODY_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()
        if self._sink is None:
            return
        try:
            await self._sink.write(data)
        except _call.SinkLostError:
            self._sink = None

    async def flush(self) -> None:
        """Forward the flush."""
        if self._sink is None:
            return
        try:
            await self._sink.flush()
        except _call.SinkLostError:
            self._sink = None

    async def finish(self) -> None:
        """Forward the end of the response."""
        if self._sink is None:
            return
        try:
            await self._sink.finish()
        except _call.SinkLostError:
            self._sink = None
