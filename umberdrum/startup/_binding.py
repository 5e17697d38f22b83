"""Creation of listening TCP sockets."""

import socket

BACKLOG = 1024


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that listens at an IP address.

    From then on the kernel completes up to ``BACKLOG`` connections and buffers their
    data until the program accepts them. Raises ``OSError``.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
