"""Non-blocking TCP and UDP sockets that use trio only to wait for readiness."""

from umberdrum.sockets._connection import (
    Connection,
    ConnectionLostError,
    PeerRefusedError,
    connect,
)
from umberdrum.sockets._datagram_socket import Datagram, DatagramSocket
from umberdrum.sockets._listener import accept_connections, bind_tcp, close_listener
from umberdrum.sockets._turns import TurnLimit

__all__ = [
    "Connection",
    "ConnectionLostError",
    "Datagram",
    "DatagramSocket",
    "PeerRefusedError",
    "TurnLimit",
    "accept_connections",
    "bind_tcp",
    "close_listener",
    "connect",
]
