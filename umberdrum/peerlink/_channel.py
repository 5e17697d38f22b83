"""Framing and authentication of messages on a peer connection.

A frame consists of a fixed header (length of the rest of the frame, kind, length of the
head), a protobuf head, raw body bytes and an authentication tag. The tag also covers a
frame counter, so that forged, altered, replayed and omitted frames are detected.
"""

import enum
import hashlib
import struct
from typing import NamedTuple

import trio

from umberdrum import sockets

TAG_BYTES = 16
MAX_FRAME_BYTES = 1 << 20
_HEADER = struct.Struct(">IBI")
_FRAME_COUNTER = struct.Struct(">Q")
_NO_TAG = bytes(TAG_BYTES)


class FrameKind(enum.IntEnum):
    """Frame kinds; the numbers are part of the peer protocol."""

    HELLO = 1
    WELCOME = 2
    CALL = 3
    BODY = 4
    BODY_END = 5
    ADMITTED = 6
    RESPONSE = 7
    REFUSAL = 8
    KEEPALIVE = 9
    OUTCOME_QUERY = 10
    OUTCOME = 11
    SYNC_REQUEST = 12
    SYNC_REPLY = 13
    ABORT = 14
    # Sent by the acceptor while no exchange runs: it reads no further request on this
    # connection, so a request that it has not begun to answer has not run.
    CLOSING = 15


class Frame(NamedTuple):
    """Received frame; ``head`` is the encoded protobuf message."""

    kind: FrameKind
    head: bytes
    body: bytes


class FrameError(Exception):
    """A frame is not valid.

    It is too large, its lengths are inconsistent, its tag is wrong, or its kind is
    unknown.
    """


class FrameChannel:
    """Sends and receives frames over one connection.

    Before ``set_keys``, frames carry a tag of zeros; only the handshake uses such
    frames. The channel never decodes a head.

    ``is_receiving`` and ``has_received`` are read by the liveness watch: whether a task
    waits for data, and whether data has arrived. The watch resets ``has_received``.
    After a ``FrameError`` the connection must be closed.
    """

    def __init__(self, connection: sockets.Connection) -> None:
        self.connection = connection
        self._buffer = bytearray()
        self._send_hasher: hashlib.blake2b | None = None
        self._receive_hasher: hashlib.blake2b | None = None
        self._n_sent = 0
        self._n_received = 0
        self._max_frame_bytes = 4096
        self.is_receiving = False
        self.has_received = False

    def set_keys(self, send_key: bytes, receive_key: bytes) -> None:
        """Authenticate all further frames, and allow up to ``MAX_FRAME_BYTES`` each."""
        self._send_hasher = hashlib.blake2b(key=send_key, digest_size=TAG_BYTES)
        self._receive_hasher = hashlib.blake2b(key=receive_key, digest_size=TAG_BYTES)
        self._max_frame_bytes = MAX_FRAME_BYTES

    def has_buffered_data(self) -> bool:
        """Return whether received bytes are left that belong to no returned frame."""
        return bool(self._buffer)

    async def send(self, kind: FrameKind, head: bytes = b"", body: bytes = b"") -> None:
        """Send one frame; waits while the kernel's send buffer is full.

        Raises ``sockets.ConnectionLostError``.
        """
        await self.connection.send(self._encode(kind, head, body))

    def try_send(self, kind: FrameKind) -> bool:
        """Send an empty frame if the connection can send now; return whether it can."""
        if not self.connection.can_send_now():
            return False
        self.connection.try_send(self._encode(kind, b"", b""))
        return True

    async def receive(self) -> Frame:
        """Return the next frame.

        Raises ``sockets.ConnectionLostError`` when the connection ends and
        ``FrameError`` when the frame is invalid.
        """
        while True:
            frame = self._pop_frame()
            if frame is not None:
                return frame
            self.is_receiving = True
            data = await self.connection.receive()
            self.is_receiving = False
            if not data:
                raise sockets.ConnectionLostError("closed by the peer")
            self.has_received = True
            self._buffer += data

    async def receive_within(self, timeout_seconds: float) -> Frame | None:
        """Return the next frame, or None if it does not arrive in time.

        Raises the same errors as ``receive``.
        """
        frame = self._pop_frame()
        if frame is not None:
            return frame
        with trio.move_on_after(timeout_seconds):
            return await self.receive()
        return None

    def _encode(self, kind: FrameKind, head: bytes, body: bytes) -> bytes:
        n_remaining_bytes = len(head) + len(body) + TAG_BYTES
        header = _HEADER.pack(n_remaining_bytes, kind, len(head))
        tag = _compute_tag(self._send_hasher, self._n_sent, header, head, body)
        self._n_sent += 1
        return b"".join((header, head, body, tag))

    def _pop_frame(self) -> Frame | None:
        """Remove and return the first frame of the buffer, None if incomplete.

        Raises ``FrameError`` for an invalid frame.
        """
        buffer = self._buffer
        if len(buffer) < _HEADER.size:
            return None
        n_remaining_bytes, kind_number, n_head_bytes = _HEADER.unpack_from(buffer)
        if n_remaining_bytes > self._max_frame_bytes:
            limit = self._max_frame_bytes
            raise FrameError(
                f"expected at most {limit} bytes, found {n_remaining_bytes}"
            )
        if n_head_bytes + TAG_BYTES > n_remaining_bytes:
            raise FrameError(
                f"head of {n_head_bytes} bytes in a frame of {n_remaining_bytes}"
            )
        n_frame_bytes = _HEADER.size + n_remaining_bytes
        if len(buffer) < n_frame_bytes:
            return None
        with memoryview(buffer) as view:
            raw = bytes(view[:n_frame_bytes])
        del buffer[:n_frame_bytes]
        body_offset = _HEADER.size + n_head_bytes
        header = raw[: _HEADER.size]
        head = raw[_HEADER.size : body_offset]
        body = raw[body_offset : n_frame_bytes - TAG_BYTES]
        expected = _compute_tag(
            self._receive_hasher, self._n_received, header, head, body
        )
        if raw[n_frame_bytes - TAG_BYTES :] != expected:
            raise FrameError(f"frame {self._n_received} is not authentic")
        self._n_received += 1
        try:
            kind = FrameKind(kind_number)
        except ValueError:
            raise FrameError(f"unknown frame kind {kind_number}") from None
        return Frame(kind, head, body)


def _compute_tag(
    hasher: "hashlib.blake2b | None",
    counter: int,
    header: bytes,
    head: bytes,
    body: bytes,
) -> bytes:
    if hasher is None:
        return _NO_TAG
    state = hasher.copy()
    state.update(_FRAME_COUNTER.pack(counter) + header + head)
    if body:
        state.update(body)
    return state.digest()
