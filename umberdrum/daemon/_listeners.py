"""Listening sockets of a daemon."""

import socket
from typing import NamedTuple

from umberdrum import controlhttp
from umberdrum.daemon import _parts


class Listeners(NamedTuple):
    """Listening TCP sockets of the daemon; ``ready`` is optional."""

    caller: socket.socket
    peer: socket.socket
    admin: socket.socket
    announce: socket.socket
    ready: socket.socket | None

    def list_control_servers(
        self, parts: _parts.DaemonParts
    ) -> list[tuple[socket.socket, controlhttp.ControlServer]]:
        """Return the listeners of control requests, each with its server."""
        servers = [
            (self.admin, parts.admin_server),
            (self.announce, parts.announce_server),
        ]
        if self.ready is not None:
            servers.append((self.ready, parts.ready_server))
        return servers
