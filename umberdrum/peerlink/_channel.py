"""Frames on a peer connection.

A frame is a fixed header (length of all that follows it, kind, length of the head), a
protobuf head, raw body bytes and an authentication tag. The tag covers a counter of
frames, so that a frame that is forged, altered, replayed or left out is noticed.
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
_COUNTER = struct.Struct(">Q")
_NO_TAG = bytes(TAG_BYTES)


class FrameKind(enum.IntEnum):
    """Kinds of frames; the numbers are part of the peer protocol."""

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


class Frame(NamedTuple):
    """One received frame: its kind, its encoded protobuf head and its body bytes."""

    kind: FrameKind
    head: bytes
    body: bytes


class FrameError(Exception):
    """A frame is too large, of unknown kind or not authentic."""


class FrameChannel:
    """Frames over one connection, in both directions.

    Before ``set_keys`` frames carry no tag; only the handshake uses that. The channel
    never interprets a head. ``is_receiving`` and ``has_received`` tell a watch whether
    something is awaited and whether anything came; the watch resets the latter. After a
    ``FrameError`` the connection must be closed.
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
        """Authenticate all further frames with the keys of this session."""
        self._send_hasher = hashlib.blake2b(key=send_key, digest_size=TAG_BYTES)
        self._receive_hasher = hashlib.blake2b(key=receive_key, digest_size=TAG_BYTES)
        self._max_frame_bytes = MAX_FRAME_BYTES

    def has_buffered_data(self) -> bool:
        """Return whether bytes were received that belong to no frame read so far."""
        return bool(self._buffer)

    async def send(self, kind: FrameKind, head: bytes = b"", body: bytes = b"") -> None:
        """Send one frame; waits while the connection takes nothing."""
        await self.connection.send(self._encode(kind, head, body))

    def try_send(self, kind: FrameKind) -> None:
        """Send an empty frame if that needs no waiting, else do nothing."""
        if self.connection.can_send_now():
            self.connection.try_send(self._encode(kind, b"", b""))

    async def receive(self) -> Frame:
        """Return the next frame.

        Raises ``sockets.ConnectionLostError`` when the connection ends and
        ``FrameError`` when a frame is not valid.
        """
        while True:
            frame = self._take_frame()
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
        """Return the next frame, or None when none arrives in time."""
        frame = self._take_frame()
        if frame is not None:
            return frame
        with trio.move_on_after(timeout_seconds):
            return await self.receive()
        return None

    def _encode(self, kind: FrameKind, head: bytes, body: bytes) -> bytes:
        n_rest = len(head) + len(body) + TAG_BYTES
        header = _HEADER.pack(n_rest, kind, len(head))
        tag = _compute_tag(self._send_hasher, self._n_sent, header, head, body)
        self._n_sent += 1
        return b"".join((header, head, body, tag))

    def _take_frame(self) -> Frame | None:
        """Return the frame at the start of the buffer once it is whole."""
        buffer = self._buffer
        if len(buffer) < _HEADER.size:
            return None
        n_rest, kind_number, n_head = _HEADER.unpack_from(buffer)
        if n_rest > self._max_frame_bytes:
            limit = self._max_frame_bytes
            raise FrameError(f"expected at most {limit} bytes, found {n_rest}")
        if n_head + TAG_BYTES > n_rest:
            raise FrameError(f"head of {n_head} bytes in a frame of {n_rest}")
        n_frame = _HEADER.size + n_rest
        if len(buffer) < n_frame:
            return None
        with memoryview(buffer) as view:
            raw = bytes(view[:n_frame])
        del buffer[:n_frame]
        body_at = _HEADER.size + n_head
        header = raw[: _HEADER.size]
        head = raw[_HEADER.size : body_at]
        body = raw[body_at : n_frame - TAG_BYTES]
        expected = _compute_tag(
            self._receive_hasher, self._n_received, header, head, body
        )
        if raw[n_frame - TAG_BYTES :] != expected:
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
    state.update(_COUNTER.pack(counter) + header + head)
    if body:
        state.update(body)
    return state.digest()
