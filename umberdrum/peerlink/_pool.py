"""Connection pool from one daemon to its peers."""

import collections
import itertools
from typing import NamedTuple

import trio

from umberdrum import settings, sockets
from umberdrum.peerlink import _channel, _handshake

MAX_IDLE_PER_PEER = 16
MAX_IDLE_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 1.0


class PeerAddress(NamedTuple):
    """Address of a peer and the process ID expected at it; 0 allows any process."""

    address: settings.Address
    process_id: int


class PeerLink:
    """Authenticated connection to a peer, used for one exchange at a time."""

    def __init__(
        self,
        channel: _channel.FrameChannel,
        peer: PeerAddress,
        connection_id: int,
    ) -> None:
        self.channel = channel
        self.peer = peer
        self.connection_id = connection_id
        self.idle_since = 0.0

    def close(self) -> None:
        """Close the connection."""
        self.channel.connection.close()

    def is_reusable(self) -> bool:
        """Return whether the link is open and has no unread data."""
        if self.channel.has_buffered_data():
            return False
        return not self.channel.connection.has_data()


class PeerLinkPool:
    """Pool of idle links, grouped by peer process.

    A link is acquired for one exchange and released only if the exchange ended cleanly.
    Otherwise its user closes it, so that a late response is never taken for that of
    another request. The pool never retries.
    """

    def __init__(self, own: _handshake.DaemonIdentity, cluster_key: bytes) -> None:
        self._own = own
        self._cluster_key = cluster_key
        self._idle: dict[PeerAddress, collections.deque[PeerLink]] = {}
        self._connection_ids = itertools.count(1)
        self._invalid_until = -1.0
        self.n_opened = 0

    @property
    def n_idle(self) -> int:
        """Number of idle links to all peers."""
        return sum(len(links) for links in self._idle.values())

    async def acquire(self, peer: PeerAddress) -> PeerLink:
        """Return an idle link to ``peer``, or a new one.

        Raises ``sockets.ConnectionLostError`` when the peer is unreachable, and
        ``PeerNotAuthenticError`` when authentication fails or another process answers
        at its address.
        """
        links = self._idle.get(peer)
        while links:
            link = links.pop()
            is_valid = link.idle_since > self._invalid_until
            if is_valid and link.is_reusable():
                return link
            link.close()
        return await self.open(peer)

    async def open(self, peer: PeerAddress) -> PeerLink:
        """Open a new link to ``peer``; raises the same errors as ``acquire``.

        A ``process_id`` of 0 accepts any process.
        """
        connection = await sockets.connect(peer.address, CONNECT_TIMEOUT_SECONDS)
        channel = _channel.FrameChannel(connection)
        connection_id = next(self._connection_ids)
        try:
            identity = await _handshake.open_handshake(
                channel, self._own, connection_id, self._cluster_key
            )
            if peer.process_id and identity.process_id != peer.process_id:
                raise _handshake.PeerNotAuthenticError(
                    f"expected process {peer.process_id:x} at {peer.address}, "
                    f"found {identity.process_id:x}"
                )
        except _channel.FrameError as fault:
            connection.close()
            raise _handshake.PeerNotAuthenticError(str(fault)) from None
        except BaseException:
            connection.close()
            raise
        self.n_opened += 1
        found = PeerAddress(peer.address, identity.process_id)
        return PeerLink(channel, found, connection_id)

    def release(self, link: PeerLink) -> None:
        """Return a link to the pool after an exchange that ended cleanly.

        It is closed if ``MAX_IDLE_PER_PEER`` links to its peer are idle already.
        """
        links = self._idle.setdefault(link.peer, collections.deque())
        if len(links) >= MAX_IDLE_PER_PEER:
            link.close()
            return
        link.idle_since = trio.current_time()
        links.append(link)

    def invalidate_idle(self, since: float) -> None:
        """Never reuse links that have been idle since ``since`` or earlier.

        Called when another link has gone silent. The cause may have dropped the state
        of other connections as well, to any peer.
        """
        self._invalid_until = since

    def close_idle(self, now: float) -> None:
        """Close links that have been idle for longer than ``MAX_IDLE_SECONDS``."""
        for peer in list(self._idle):
            links = self._idle[peer]
            while links and now - links[0].idle_since > MAX_IDLE_SECONDS:
                links.popleft().close()
            if not links:
                del self._idle[peer]

    def close_all(self) -> None:
        """Close every idle link."""
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()
