"""Buffering of request bodies before their calls are admitted, and their end."""

from collections.abc import Callable

import trio

from umberdrum import errors
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


class RefusableBody:
    """Request body whose receiving ends once its call can't be served any more.

    Load pattern: uploads whose end arrives shortly before their entry daemon ends. An
    endpoint that has got less than ``MAX_BUFFERED_BODY_BYTES`` has not begun the call,
    which is then refused rather than passed on and cut.
    """

    is_complete = False

    def __init__(
        self,
        body: _call.RequestBody,
        find_refusal: Callable[[], errors.Failure | None],
    ) -> None:
        self._body = body
        self._find_refusal = find_refusal
        self._n_bytes = len(body.initial)
        self.initial = body.initial

    @property
    def can_be_sent_again(self) -> bool:
        """Whether nothing after ``initial`` was received yet."""
        return self._body.can_be_sent_again

    async def receive(self) -> bytes:
        """Return the next bytes after ``initial``, empty at the end.

        Raises ``BodyLostError``, also with the refusal of the call.
        """
        data = await self._body.receive()
        if self._n_bytes < MAX_BUFFERED_BODY_BYTES:
            refusal = self._find_refusal()
            if refusal is not None:
                raise _call.BodyLostError(refusal)
        self._n_bytes += len(data)
        return data


class DetachableBody:
    """Request body whose receiving ends once its call has been answered.

    A call may run on after its caller got an answer. Its body can't be completed then:
    the connection or link that it arrives on belongs to whoever closes it.
    """

    def __init__(self, body: _call.RequestBody) -> None:
        self._body = body
        self._is_detached = False
        self._receive_scope = trio.CancelScope()
        self.initial = body.initial
        self.is_complete = body.is_complete
        self.can_be_sent_again = body.can_be_sent_again

    def detach(self) -> None:
        """End a receive in progress, and all later ones, as lost."""
        self._is_detached = True
        self._receive_scope.cancel()

    async def receive(self) -> bytes:
        """Return the next bytes after ``initial``; raises ``BodyLostError``."""
        if not self._is_detached:
            with trio.CancelScope() as self._receive_scope:
                return await self._body.receive()
        detail = "the call was answered before its body was received"
        raise _call.BodyLostError(errors.fail(errors.ErrorKind.CALLER_GONE, detail))
