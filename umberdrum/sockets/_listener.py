"""Listening TCP sockets and the loop that accepts from them."""

import errno
import logging
import socket
from collections.abc import Awaitable, Callable

import trio

from umberdrum import logs, settings, startup
from umberdrum.sockets import _connection

ACCEPT_RETRY_SECONDS = 0.1
_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

_LOGGER = logging.getLogger("umberdrum.sockets")

ConnectionHandler = Callable[[_connection.Connection], Awaitable[None]]


def bind_tcp(address: settings.Address) -> socket.socket:
    """Return a listening socket bound to ``address``; raises ``OSError``."""
    return startup.bind_listener(address.host, address.port)


def close_listener(listener: socket.socket) -> None:
    """Close a listening socket; the task that accepts from it ends."""
    if listener.fileno() < 0:
        return
    trio.lowlevel.notify_closing(listener)
    listener.close()


async def accept_connections(
    listener: socket.socket,
    handler: ConnectionHandler,
    max_connections: int,
) -> None:
    """Run ``handler`` in one task for each connection until cancelled or closed.

    While ``max_connections`` are open, new ones wait in the kernel's backlog. Handlers
    that are running when the listener is closed go on to their end.
    """
    places = trio.CapacityLimiter(max_connections)
    async with trio.open_nursery() as nursery:
        while True:
            ticket = object()
            await places.acquire_on_behalf_of(ticket)
            connection = await _accept_one(listener)
            if connection is None:
                places.release_on_behalf_of(ticket)
                return
            nursery.start_soon(_run_handler, handler, connection, places, ticket)


async def _accept_one(listener: socket.socket) -> _connection.Connection | None:
    """Return the next connection, or None once the listener was closed."""
    while True:
        try:
            accepted, _ = listener.accept()
        except BlockingIOError:
            try:
                await trio.lowlevel.wait_readable(listener)
            except (trio.ClosedResourceError, ValueError, OSError):
                return None
            continue
        except OSError as fault:
            if fault.errno in _RESOURCE_ERRORS:
                await trio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if fault.errno == errno.EBADF:
                return None
            continue
        return _connection.Connection(accepted)


async def _run_handler(
    handler: ConnectionHandler,
    connection: _connection.Connection,
    places: trio.CapacityLimiter,
    ticket: object,
) -> None:
    try:
        await handler(connection)
    except _connection.ConnectionLostError:
        pass
    except Exception as fault:
        # What one connection brings must not end the daemon with all its calls.
        _LOGGER.error(logs.format_line("connection_failed", {"reason": repr(fault)}))
    finally:
        connection.close()
        places.release_on_behalf_of(ticket)
