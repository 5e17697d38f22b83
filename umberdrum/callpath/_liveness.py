"""Detection of closed callers, missed deadlines and silent peers."""

import contextlib
from collections.abc import Iterator

import trio

from umberdrum import peerlink, sockets, supervision

CHECK_INTERVAL_SECONDS = 0.05
MAX_SILENCE_SECONDS = 0.3


class _WatchedCall:
    """Call in progress, with the connection whose other side waits for its response."""

    __slots__ = ("channel", "connection", "scope")

    def __init__(
        self,
        connection: sockets.Connection,
        scope: trio.CancelScope,
        channel: peerlink.FrameChannel | None,
    ) -> None:
        self.connection = connection
        self.scope = scope
        self.channel = channel


class WatchedLink:
    """Peer link on which this daemon waits for a response.

    The watch closes the link once a receive has been pending for
    ``MAX_SILENCE_SECONDS`` without any bytes, or once ``expires_at`` has passed, and
    sets the flag for the reason. The task that uses the link sees a lost connection.
    """

    __slots__ = (
        "channel",
        "expires_at",
        "is_past_deadline",
        "is_silent",
        "n_silent_checks",
    )

    def __init__(self, channel: peerlink.FrameChannel, expires_at: float) -> None:
        self.channel = channel
        self.expires_at = expires_at
        self.is_silent = False
        self.is_past_deadline = False
        self.n_silent_checks = 0

    def check(self, now: float) -> None:
        """Close the link if it has been silent for too long or has expired."""
        if now >= self.expires_at:
            self.is_past_deadline = True
            self.channel.connection.close()
            return
        if not self.channel.is_receiving or self.channel.has_received:
            self.channel.has_received = False
            self.n_silent_checks = 0
            return
        self.n_silent_checks += 1
        if self.n_silent_checks * CHECK_INTERVAL_SECONDS >= MAX_SILENCE_SECONDS:
            self.is_silent = True
            self.channel.connection.close()


class LivenessWatch:
    """Cancels calls whose caller is gone and sends keepalives to waiting peers.

    One task checks all calls in progress every ``CHECK_INTERVAL_SECONDS``, so that a
    call that ends sooner needs no task, timer or acknowledgement of its own.
    """

    def __init__(self, error_log: supervision.ErrorLog) -> None:
        self._error_log = error_log
        self._calls: dict[int, _WatchedCall] = {}
        self._links: dict[int, WatchedLink] = {}
        self._previous_calls: frozenset[int] = frozenset()
        self._next_number = 0
        self._wake = trio.Event()

    @property
    def n_watched(self) -> int:
        """Number of calls in progress at this daemon, as entry or as endpoint."""
        return len(self._calls)

    @contextlib.contextmanager
    def watch(
        self,
        connection: sockets.Connection,
        scope: trio.CancelScope,
        channel: peerlink.FrameChannel | None = None,
    ) -> Iterator[None]:
        """Cancel ``scope`` if the other side closes while the block runs.

        If ``channel`` is given, keepalive frames are sent over it while the block runs.
        """
        number = self._next_number
        self._next_number += 1
        self._calls[number] = _WatchedCall(connection, scope, channel)
        self._wake.set()
        try:
            yield
        finally:
            del self._calls[number]

    def add_link(self, link: WatchedLink) -> int:
        """Watch a peer link; returns the number to pass to ``remove_link``."""
        number = self._next_number
        self._next_number += 1
        self._links[number] = link
        self._wake.set()
        return number

    def remove_link(self, number: int) -> None:
        """Stop watching the link with this number."""
        del self._links[number]

    async def run(self) -> None:
        """Check the calls in progress until cancelled; sleep while there are none."""
        while True:
            if not self._calls and not self._links:
                self._wake = trio.Event()
                await self._wake.wait()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.check(trio.current_time())

    def check(self, now: float) -> None:
        """Check all links, and the calls that were in progress at the last check.

        An error is logged and does not keep the other calls and links from their check.
        """
        for number in self._previous_calls:
            call = self._calls.get(number)
            if call is None:
                continue
            try:
                _check_call(call)
            except Exception as fault:
                self._error_log.record("liveness_watch", fault)
        for link in list(self._links.values()):
            try:
                link.check(now)
            except Exception as fault:
                self._error_log.record("liveness_watch", fault)
        self._previous_calls = frozenset(self._calls)


def _check_call(call: _WatchedCall) -> None:
    """Cancel the call if its caller is gone, or else send a keepalive to a peer."""
    if call.connection.is_lost():
        call.scope.cancel()
        return
    if call.channel is not None:
        call.channel.try_send(peerlink.FrameKind.KEEPALIVE)
