"""Watch over the calls in progress: callers that leave, deadlines and silent peers."""

import contextlib
from collections.abc import Iterator

import trio

from umberdrum import peerlink, sockets

TICK_SECONDS = 0.05
SILENCE_SECONDS = 0.3


class _WatchedCall:
    """Connection whose other side waits for an answer."""

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
    """Peer link on which this daemon waits for an answer.

    Once nothing was received for ``SILENCE_SECONDS`` while something was awaited, or
    once ``give_up_at`` has passed, the watch closes the link and says why. Its user
    sees the close as a lost connection.
    """

    __slots__ = ("channel", "give_up_at", "is_past_deadline", "is_silent", "n_ticks")

    def __init__(self, channel: peerlink.FrameChannel, give_up_at: float) -> None:
        self.channel = channel
        self.give_up_at = give_up_at
        self.is_silent = False
        self.is_past_deadline = False
        self.n_ticks = 0

    def look(self, now: float) -> None:
        """Close the link if it is silent or too late."""
        if now >= self.give_up_at:
            self.is_past_deadline = True
            self.channel.connection.close()
            return
        if not self.channel.is_receiving or self.channel.has_received:
            self.channel.has_received = False
            self.n_ticks = 0
            return
        self.n_ticks += 1
        if self.n_ticks * TICK_SECONDS >= SILENCE_SECONDS:
            self.is_silent = True
            self.channel.connection.close()


class LivenessWatch:
    """Cancels calls whose caller is gone and tells waiting peers that one goes on.

    One task looks at all calls in progress each ``TICK_SECONDS``, so that a call that
    ends sooner pays for no task, timer or acknowledgement of its own.
    """

    def __init__(self) -> None:
        self._calls: dict[int, _WatchedCall] = {}
        self._links: dict[int, WatchedLink] = {}
        self._previous: frozenset[int] = frozenset()
        self._next_number = 0
        self._wake = trio.Event()

    @property
    def n_watched(self) -> int:
        """Calls in progress, as entry or as endpoint."""
        return len(self._calls)

    @contextlib.contextmanager
    def watch(
        self,
        connection: sockets.Connection,
        scope: trio.CancelScope,
        channel: peerlink.FrameChannel | None = None,
    ) -> Iterator[None]:
        """Cancel ``scope`` if the other side closes while the block runs.

        With a ``channel``, keepalive frames are sent over it meanwhile.
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
        """Watch a peer link until ``remove_link`` gets the number returned here."""
        number = self._next_number
        self._next_number += 1
        self._links[number] = link
        self._wake.set()
        return number

    def remove_link(self, number: int) -> None:
        """Watch the link no longer."""
        del self._links[number]

    async def run(self) -> None:
        """Look at the calls in progress for ever; sleep while there are none."""
        while True:
            if not self._calls and not self._links:
                self._wake = trio.Event()
                await self._wake.wait()
            await trio.sleep(TICK_SECONDS)
            self.look(trio.current_time())

    def look(self, now: float) -> None:
        """Look once at all links, and at each call that the last look saw already."""
        for number in self._previous:
            call = self._calls.get(number)
            if call is None:
                continue
            if call.connection.is_lost():
                call.scope.cancel()
                continue
            if call.channel is not None:
                call.channel.try_send(peerlink.FrameKind.KEEPALIVE)
        for link in list(self._links.values()):
            link.look(now)
        self._previous = frozenset(self._calls)
