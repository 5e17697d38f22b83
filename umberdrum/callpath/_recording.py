"""Sink that keeps the answer of a non-idempotent call while it passes on."""

from umberdrum import outcomes
from umberdrum.callpath import _call


class RecordingSink:
    """Passes an answer on and keeps a copy of a small one.

    When the sink behind it is lost or detached, the rest of the answer is still taken,
    so that the upstream finishes and the outcome is known.
    """

    def __init__(self, sink: _call.ResponseSink) -> None:
        self._sink: _call.ResponseSink | None = sink
        self._head: _call.HttpResponseHead | None = None
        self._parts: list[bytes] = []
        self._n_bytes = 0

    @property
    def is_started(self) -> bool:
        """Whether the head of the answer has come."""
        return self._head is not None

    def detach(self) -> None:
        """Write nothing more to the sink behind."""
        self._sink = None

    def get_answer(self) -> outcomes.StoredResponse | None:
        """Return the whole answer, or None when it is too large to keep."""
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
        """Keep the head and pass it on."""
        self._head = head
        if self._sink is None:
            return
        try:
            await self._sink.start(head, report)
        except _call.SinkLostError:
            self._sink = None

    async def write(self, data: bytes) -> None:
        """Keep the bytes, up to the bound, and pass them on."""
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
        """Pass the flush on."""
        if self._sink is None:
            return
        try:
            await self._sink.flush()
        except _call.SinkLostError:
            self._sink = None

    async def finish(self) -> None:
        """Pass the end on."""
        if self._sink is None:
            return
        try:
            await self._sink.finish()
        except _call.SinkLostError:
            self._sink = None
