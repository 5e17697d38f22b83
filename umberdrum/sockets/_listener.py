"""Listening TCP sockets and the accept loop."""

import contextlib
import errno
import logging
import socket
import weakref
from collections.abc import Awaitable, Callable

import trio

from umberdrum import logs, settings, startup
from umberdrum.sockets import _connection

ACCEPT_RETRY_SECONDS = 0.1
_RESOURCE_EXHAUSTION_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

_LOGGER = logging.getLogger("umberdrum.sockets")

ConnectionHandler = Callable[[_connection.Connection], Awaitable[None]]


def bind_tcp(address: settings.Address) -> socket.socket:
    """Return a listening socket bound to ``address``; raises ``OSError``."""
    return startup.bind_listener(address.host, address.port)


# Connections that the kernel had accepted when their listener was closed.
_accepted_late: "weakref.WeakKeyDictionary[socket.socket, list[socket.socket]]" = (
    weakref.WeakKeyDictionary()
)


def close_listener(listener: socket.socket) -> None:
    """Close a listening socket and end its accept loop; repeated calls do nothing.

    The loop still handles the connections that the kernel has accepted. Closing the
    socket alone would reset them, although their callers may have sent requests.
    """
    if listener.fileno() < 0:
        return
    accepted: list[socket.socket] = []
    with contextlib.suppress(OSError):
        while True:
            accepted.append(listener.accept()[0])
    _accepted_late[listener] = accepted
    trio.lowlevel.notify_closing(listener)
    listener.close()


async def accept_connections(
    listener: socket.socket,
    handler: ConnectionHandler,
    max_connections: int,
) -> None:
    """Accept connections and run ``handler`` in one task for each of them.

    While ``max_connections`` are open, new ones wait in the kernel's backlog. The
    function ends when it is cancelled, or when ``listener`` is closed and all running
    handlers have finished.
    """
    limiter = trio.CapacityLimiter(max_connections)
    async with trio.open_nursery() as nursery:
        while True:
            borrower = object()
            await limiter.acquire_on_behalf_of(borrower)
            connection = await _accept_one(listener)
            if connection is None:
                limiter.release_on_behalf_of(borrower)
                break
            nursery.start_soon(_run_handler, handler, connection, limiter, borrower)
        for accepted in _accepted_late.pop(listener, []):
            late_connection = _set_up(accepted)
            if late_connection is None:
                continue
            borrower = object()
            await limiter.acquire_on_behalf_of(borrower)
            nursery.start_soon(
                _run_handler, handler, late_connection, limiter, borrower
            )


async def _accept_one(listener: socket.socket) -> _connection.Connection | None:
    """Return the next connection, or None once the listener is closed.

    When file descriptors, buffers or memory are exhausted, it retries after
    ``ACCEPT_RETRY_SECONDS``. A connection that can't be set up is closed.
    """
    while True:
        try:
            accepted, _ = listener.accept()
        except BlockingIOError:
            try:
                await trio.lowlevel.wait_readable(listener)
            except (trio.ClosedResourceError, ValueError, OSError) as fault:
                if listener.fileno() < 0:
                    return None
                _log_fault("accept_failed", fault)
                await trio.sleep(ACCEPT_RETRY_SECONDS)
            continue
        except OSError as fault:
            if fault.errno in _RESOURCE_EXHAUSTION_ERRNOS:
                await trio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if fault.errno == errno.EBADF:
                return None
            await trio.lowlevel.checkpoint()
            continue
        connection = _set_up(accepted)
        if connection is not None:
            return connection


def _set_up(accepted: socket.socket) -> _connection.Connection | None:
    """Return the connection over an accepted socket, or None if it can't be used."""
    try:
        return _connection.Connection(accepted)
    except OSError as fault:
        _log_fault("connection_failed", fault)
        accepted.close()
        return None


def _log_fault(event: str, fault: Exception) -> None:
    _LOGGER.error(logs.format_line(event, {"reason": repr(fault)}))


async def _run_handler(
    handler: ConnectionHandler,
    connection: _connection.Connection,
    limiter: trio.CapacityLimiter,
    borrower: object,
) -> None:
    try:
        await handler(connection)
    except _connection.ConnectionLostError:
        pass
    except Exception as fault:
        # An error in one connection's handler must not end the daemon and with it the
        # calls of all other connections.
        _log_fault("connection_failed", fault)
    finally:
        connection.close()
        limiter.release_on_behalf_of(borrower)
