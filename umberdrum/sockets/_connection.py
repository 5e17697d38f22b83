"""Connected TCP socket with non-blocking sends and receives."""

import contextlib
import errno
import socket
import struct

import trio

from umberdrum import settings
from umberdrum.sockets import _turns

MAX_RECEIVE_BYTES = 1 << 16
MAX_RECEIVES_PER_TURN = 8
MS_PER_SECOND = 1000.0
# With these the kernel ends a connection whose peer has been silent for 2 s.
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
N_KEEP_ALIVE_PROBES = 1
UNACKNOWLEDGED_TIMEOUT_MS = 2000
_KEEP_ALIVE_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEP_ALIVE_PROBES),
    # The kernel sends no probes while sent data is not acknowledged.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
)
# Size of the prefix of Linux's ``struct tcp_info`` that ends with the field
# ``tcpi_last_data_recv``, and the offset and format of that field.
_TCP_INFO_BYTES = 56
_LAST_RECEIVED_OFFSET = 52
_LAST_RECEIVED_FORMAT = struct.Struct("=I")
# Values of the kernel's ``struct linger``. With a time of 0, a close sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_FINISH_ON_CLOSE = struct.pack("ii", 0, 0)


class ConnectionLostError(Exception):
    """The connection was closed or reset by either side, or was not established.

    Code that uses a connection converts it to an ``errors.Failure`` or ends its task.
    """


class PeerRefusedError(ConnectionLostError):
    """No process listens at the address."""


class Connection:
    """TCP connection that sends and receives without waiting where possible.

    A send or receive calls the kernel first and waits through trio only when the kernel
    would block. This saves a pass through the scheduler for most calls. One task may
    send while another receives; two tasks must not send at the same time.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._unsent = b""
        self._is_sending = False
        self._resets_on_close = False
        self._turn_limit = _turns.TurnLimit(MAX_RECEIVES_PER_TURN)
        self.is_closed = False

    def enable_keep_alive(self) -> None:
        """Let the kernel end the connection when its peer no longer responds.

        The kernel then probes it while it is idle, so that a task that waits for data
        gets ``ConnectionLostError``.
        """
        for level, option, value in _KEEP_ALIVE_OPTIONS:
            with contextlib.suppress(OSError):
                self._socket.setsockopt(level, option, value)

    @property
    def peer_name(self) -> str:
        """Address of the peer as ``IP:PORT``, or ``-`` when it is not available."""
        try:
            host, port = self._socket.getpeername()[:2]
        except OSError:
            return "-"
        return f"{host}:{port}"

    async def receive(self, max_bytes: int = MAX_RECEIVE_BYTES) -> bytes:
        """Return 1 to ``max_bytes`` bytes, or ``b""`` when the peer has closed.

        Other tasks run after ``MAX_RECEIVES_PER_TURN`` calls that did not wait. Raises
        ``ConnectionLostError``.
        """
        await self._turn_limit.count_step()
        while True:
            if self.is_closed:
                raise ConnectionLostError("closed by this side")
            try:
                return self._socket.recv(max_bytes)
            except BlockingIOError:
                pass
            except OSError as fault:
                raise ConnectionLostError(str(fault)) from None
            self._turn_limit.reset()
            try:
                await trio.lowlevel.wait_readable(self._socket)
            except trio.ClosedResourceError:
                raise ConnectionLostError("closed by this side") from None

    async def wait_for_data(self) -> None:
        """Wait until ``has_data``; raises ``ConnectionLostError``."""
        if self.has_data():
            await trio.lowlevel.checkpoint()
            return
        try:
            await trio.lowlevel.wait_readable(self._socket)
        except trio.ClosedResourceError:
            raise ConnectionLostError("closed by this side") from None

    async def send(self, data: bytes) -> None:
        """Send all of ``data``, after any bytes left unsent by ``try_send``.

        Raises ``ConnectionLostError``.
        """
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
        """Return whether the connection is open with no send in progress or pending."""
        return not (self._is_sending or self._unsent or self.is_closed)

    def try_send(self, data: bytes) -> None:
        """Send ``data`` without waiting; unsent bytes are sent with the next ``send``.

        Call it only while ``can_send_now`` returns true. Errors are ignored here: the
        task that receives from the connection detects a lost connection.
        """
        n_sent = 0
        with contextlib.suppress(OSError):
            n_sent = self._socket.send(data)
        self._unsent = data[n_sent:]

    def is_lost(self) -> bool:
        """Return whether the connection is closed or broken; consumes no data."""
        if self.is_closed:
            return True
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def has_data(self) -> bool:
        """Return whether ``receive`` would not wait, without consuming any data.

        That is the case when data has arrived or the connection is closed or broken.
        """
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
        """Return the time since the last data arrived, 0 if it is not available.

        For a connection that has just been accepted, this is how long its first bytes
        waited in the kernel's backlog.
        """
        try:
            info = self._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
        except OSError:
            return 0.0
        if len(info) < _TCP_INFO_BYTES:
            return 0.0
        (last_received_ms,) = _LAST_RECEIVED_FORMAT.unpack_from(
            info, _LAST_RECEIVED_OFFSET
        )
        return float(last_received_ms) / MS_PER_SECOND

    def set_reset_on_close(self, resets: bool) -> None:
        """Choose whether the end of the connection is a reset.

        That holds also if the process ends. It tells the receiver of data that the
        close would delimit that the data is incomplete.
        """
        self._resets_on_close = resets
        value = _RESET_ON_CLOSE if resets else _FINISH_ON_CLOSE
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def finish_sending(self) -> None:
        """Shut down the sending direction; the connection can still receive.

        A connection whose end is a reset is closed.
        """
        if self._resets_on_close:
            self.close()
            return
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

    Raises ``PeerRefusedError`` when nothing listens there, and ``ConnectionLostError``
    when the connection is not established in time or fails otherwise.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with trio.fail_after(timeout_seconds):
            await _connect_socket(sock, address)
    except (OSError, trio.TooSlowError) as fault:
        sock.close()
        reason = "timed out" if isinstance(fault, trio.TooSlowError) else str(fault)
        detail = f"no connection to {address}: {reason}"
        if isinstance(fault, OSError) and fault.errno == errno.ECONNREFUSED:
            raise PeerRefusedError(detail) from None
        raise ConnectionLostError(detail) from None
    except BaseException:
        sock.close()
        raise
    return Connection(sock)


async def _connect_socket(sock: socket.socket, address: settings.Address) -> None:
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
    else:
        return
    error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, f"connect failed with errno {error_number}")
