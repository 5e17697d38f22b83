"""Request bodies that are received before their calls are admitted."""

from umberdrum.callpath import _call

# Most uploads are photos and scans of some 60 KB; the rest of a longer one is relayed
# while the call runs.
MAX_BODY_BYTES = 262_144
# All bodies of one daemon together, of its 256 MB.
MAX_TOTAL_BYTES = 16 << 20


class BodyGatherer:
    """Receives the bodies of calls that wait for admission, within bounds.

    Load pattern: bodies that come over slow links. An upstream begins the work of a
    call when its body is whole. A call that was admitted before would hold a slot
    meanwhile, and what was known of the upstream's pace would be old when its work
    begins.
    """

    def __init__(self) -> None:
        self.n_bytes = 0

    async def gather(self, body: _call.RequestBody) -> _call.RequestBody:
        """Return the same body with as much of it at hand as the bounds allow.

        Raises ``BodyLostError`` when the rest can't be had. ``release`` gives the
        bytes back.
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
            return _GatheredBody(b"".join(parts), body)
        finally:
            if not is_done:
                self.n_bytes -= n_received

    def _may_receive(self, n_bytes: int) -> bool:
        return n_bytes < MAX_BODY_BYTES and self.n_bytes < MAX_TOTAL_BYTES

    def release(self, before: _call.RequestBody, after: _call.RequestBody) -> None:
        """Note that a gathered body is held no longer."""
        self.n_bytes -= len(after.initial) - len(before.initial)


class _GatheredBody:
    """Request body of which more is at hand than came with its head."""

    is_complete = False
    can_be_sent_again = False

    def __init__(self, initial: bytes, rest: _call.RequestBody) -> None:
        self.initial = initial
        self._rest = rest

    async def receive(self) -> bytes:
        """Return the next bytes, none at the end."""
        return await self._rest.receive()
