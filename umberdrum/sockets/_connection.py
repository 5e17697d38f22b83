"""Connected TCP socket with non-blocking sends and receives."""

import contextlib
import socket
import struct

import trio

from umberdrum import settings

RECEIVE_BYTES = 1 << 16
MS_PER_SECOND = 1000.0
# The field ``tcpi_last_data_recv`` of Linux's ``struct tcp_info``.
_TCP_INFO_BYTES = 56
_LAST_RECEIVED_AT = 52
_LAST_RECEIVED_MS = struct.Struct("=I")


class ConnectionLostError(Exception):
    """The connection was closed or reset, by either side.

    Raised by ``Connection`` only; the parts that use a connection turn it into a
    ``errors.Failure`` or end their task.
    """


class Connection:
    """One TCP connection of the daemon.

    Sends and receives are tried at once and trio is asked to wait only where the kernel
    has nothing to give or take, which saves a pass through the scheduler for most
    calls. One task may send and another may receive; two tasks never send at the same
    time.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._unsent = b""
        self._is_sending = False
        self.is_closed = False

    @property
    def peer_name(self) -> str:
        """Address of the other side as ``IP:PORT``, ``-`` once it is unknown."""
        try:
            host, port = self._socket.getpeername()[:2]
        except OSError:
            return "-"
        return f"{host}:{port}"

    async def receive(self, n_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return 1 to ``n_bytes`` bytes, or no bytes when the other side has closed."""
        while True:
            if self.is_closed:
                raise ConnectionLostError("closed by this side")
            try:
                return self._socket.recv(n_bytes)
            except BlockingIOError:
                pass
            except OSError as fault:
                raise ConnectionLostError(str(fault)) from None
            try:
                await trio.lowlevel.wait_readable(self._socket)
            except trio.ClosedResourceError:
                raise ConnectionLostError("closed by this side") from None

    async def send(self, data: bytes) -> None:
        """Send all of ``data``, after what an earlier ``try_send`` left over."""
        self._is_sending = True
        try:
            if self._unsent:
                data = self._unsent + data
                self._unsent = b""
            await self._send_all(data)
        finally:
            self._is_sending = False

    async def _send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while True:
            if self.is_closed:
                raise ConnectionLostError("closed by this side")
            try:
                n_sent = self._socket.send(view)
            except BlockingIOError:
                n_sent = 0
            except OSError as fault:
                raise ConnectionLostError(str(fault)) from None
            if n_sent == len(view):
                return
            view = view[n_sent:]
            try:
                await trio.lowlevel.wait_writable(self._socket)
            except trio.ClosedResourceError:
                raise ConnectionLostError("closed by this side") from None

    def can_send_now(self) -> bool:
        """Return whether no send is in progress and nothing waits to be sent."""
        return not (self._is_sending or self._unsent or self.is_closed)

    def try_send(self, data: bytes) -> None:
        """Send ``data`` without waiting; the rest goes out before the next send.

        Call it only while ``can_send_now`` holds. A lost connection is left for the
        task that reads from it to notice.
        """
        n_sent = 0
        with contextlib.suppress(OSError):
            n_sent = self._socket.send(data)
        self._unsent = data[n_sent:]

    def is_lost(self) -> bool:
        """Return whether the other side has closed, without consuming any data."""
        if self.is_closed:
            return True
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def has_data(self) -> bool:
        """Return whether bytes, or the close of the other side, wait to be read."""
        if self.is_closed:
            return True
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def get_seconds_since_receive(self) -> float:
        """Return how long ago the last bytes came, 0 where the kernel doesn't tell.

        For a connection that waited to be accepted, this is how long its first bytes
        waited with it.
        """
        try:
            info = self._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
        except OSError:
            return 0.0
        if len(info) < _TCP_INFO_BYTES:
            return 0.0
        (last_received_ms,) = _LAST_RECEIVED_MS.unpack_from(info, _LAST_RECEIVED_AT)
        return float(last_received_ms) / MS_PER_SECOND

    def finish_sending(self) -> None:
        """Tell the other side that nothing more will be sent."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection; tasks that wait on it get ``ConnectionLostError``."""
        if self.is_closed:
            return
        self.is_closed = True
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


async def connect(address: settings.Address, timeout_seconds: float) -> Connection:
    """Return a new connection to ``address``.

    Raises ``ConnectionLostError`` when it is refused or not accepted in time.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with trio.fail_after(timeout_seconds):
            await _wait_for_connect(sock, address)
    except (OSError, trio.TooSlowError) as fault:
        sock.close()
        reason = "timed out" if isinstance(fault, trio.TooSlowError) else str(fault)
        raise ConnectionLostError(f"no connection to {address}: {reason}") from None
    except BaseException:
        sock.close()
        raise
    return Connection(sock)


async def _wait_for_connect(sock: socket.socket, address: settings.Address) -> None:
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
    else:
        return
    error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, f"connect failed with errno {error_number}")
