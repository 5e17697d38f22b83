"""Buffering of request bodies before their calls are admitted."""

from umberdrum.callpath import _call

# Most uploads are photos and scans of about 60 KB. The rest of a longer body is relayed
# while the call runs.
MAX_BUFFERED_BODY_BYTES = 262_144
# Limit for all bodies of one daemon, which may use 256 MB of memory.
MAX_TOTAL_BUFFERED_BYTES = 16 << 20


class BodyBuffer:
    """Receives request bodies before their calls are admitted, within limits.

    Load pattern: bodies that arrive over slow links. An upstream starts the work of a
    call when the body is complete. A call admitted earlier would hold a slot while its
    body arrives, and the known pace of the upstream would be stale when the work
    starts. ``n_bytes`` counts the bytes buffered for all bodies.
    """

    def __init__(self) -> None:
        self.n_bytes = 0

    async def read_ahead(self, body: _call.RequestBody) -> _call.RequestBody:
        """Return the body with as much of it buffered as the limits allow.

        Raises ``BodyLostError`` if the rest can't be received. The buffered bytes count
        against the limit until ``release`` is called.
        """
        parts = [body.initial]
        n_received = 0
        is_done = False
        try:
            while self._may_receive(len(body.initial) + n_received):
                data = await body.receive()
                if not data:
                    is_done = True
                    return _call.WholeBody(b"".join(parts), can_be_sent_again=False)
                parts.append(data)
                n_received += len(data)
                self.n_bytes += len(data)
            is_done = True
            return _BufferedBody(b"".join(parts), body)
        finally:
            if not is_done:
                self.n_bytes -= n_received

    def _may_receive(self, n_bytes: int) -> bool:
        return (
            n_bytes < MAX_BUFFERED_BODY_BYTES
            and self.n_bytes < MAX_TOTAL_BUFFERED_BYTES
        )

    def release(self, original: _call.RequestBody, buffered: _call.RequestBody) -> None:
        """Release the bytes that ``read_ahead`` buffered beyond ``original``."""
        self.n_bytes -= len(buffered.initial) - len(original.initial)


class _BufferedBody:
    """Request body with a buffered first part, whose rest is still to be received."""

    is_complete = False
    can_be_sent_again = False

    def __init__(self, initial: bytes, rest: _call.RequestBody) -> None:
        self.initial = initial
        self._rest = rest

    async def receive(self) -> bytes:
        """Return the bytes after the buffered part, no bytes at the end."""
        return await self._rest.receive()
