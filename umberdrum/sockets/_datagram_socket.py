"""UDP socket with non-blocking sends and receives."""

import socket
from typing import NamedTuple

import trio

from umberdrum import settings
from umberdrum.sockets import _turns

MAX_DATAGRAM_BYTES = 65_536
MAX_RECEIVES_PER_TURN = 16


class Datagram(NamedTuple):
    """Received datagram and the address of its sender."""

    data: bytes
    sender: settings.Address


class DatagramSocket:
    """UDP socket that sends and receives without waiting where possible.

    Load pattern: a process with many ready tasks has long passes of its scheduler. With
    a pass for each datagram and each answer, datagrams would arrive faster than they
    are handled. All that have arrived are received in one pass, up to
    ``MAX_RECEIVES_PER_TURN``, and sends take none.
    """

    def __init__(self, listen: settings.Address) -> None:
        """Bind the socket; raises ``OSError``."""
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._turn_limit = _turns.TurnLimit(MAX_RECEIVES_PER_TURN)
        try:
            self._socket.bind((listen.host, listen.port))
        except OSError:
            self._socket.close()
            raise

    def close(self) -> None:
        """Close the socket; tasks that wait on it get ``trio.ClosedResourceError``."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    async def receive(self) -> Datagram:
        """Return the next datagram.

        Raises ``OSError``, for example when a peer's host reports a closed port.
        """
        await self._turn_limit.count_step()
        while True:
            self._check_open()
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._turn_limit.reset()
                await trio.lowlevel.wait_readable(self._socket)
                continue
            return Datagram(data, settings.Address(*sender[:2]))

    async def sendto(self, data: bytes, address: settings.Address) -> None:
        """Send one datagram; raises ``OSError``."""
        while True:
            self._check_open()
            try:
                self._socket.sendto(data, (address.host, address.port))
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)
                continue
            return

    def _check_open(self) -> None:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("closed by this side")
