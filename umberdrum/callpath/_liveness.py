"""Watch over the connections of calls in progress."""

import contextlib
from collections.abc import Iterator
from typing import NamedTuple

import trio

from umberdrum import peerlink, sockets

TICK_SECONDS = 0.05


class _Watched(NamedTuple):
    """Connection whose other side waits for an answer."""

    connection: sockets.Connection
    scope: trio.CancelScope
    channel: peerlink.FrameChannel | None


class LivenessWatch:
    """Cancels calls whose caller is gone and tells waiting peers that one goes on.

    One task looks at all calls in progress each ``TICK_SECONDS``, so that a call that
    ends sooner pays for no task, timer or acknowledgement of its own.
    """

    def __init__(self) -> None:
        self._watched: dict[int, _Watched] = {}
        self._previous: frozenset[int] = frozenset()
        self._next_number = 0

    @property
    def n_watched(self) -> int:
        """Calls in progress."""
        return len(self._watched)

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
        self._watched[number] = _Watched(connection, scope, channel)
        try:
            yield
        finally:
            del self._watched[number]

    async def run(self) -> None:
        """Look at the calls in progress for ever."""
        while True:
            await trio.sleep(TICK_SECONDS)
            self.look()

    def look(self) -> None:
        """Look once at each call that was in progress at the last look already."""
        for number in self._previous:
            watched = self._watched.get(number)
            if watched is None:
                continue
            if watched.connection.is_lost():
                watched.scope.cancel()
                continue
            if watched.channel is not None:
                watched.channel.try_send(peerlink.FrameKind.KEEPALIVE)
        self._previous = frozenset(self._watched)
