"""Authentication and replay protection of gossip datagrams."""

import collections
import hashlib
import hmac

import expression
from google.protobuf import message as protobuf_message

from umberdrum import errors, wire

MAX_DATAGRAM_BYTES = 1_200
PACKET_OVERHEAD_BYTES = 28  # IPv4 and UDP headers
TAG_BYTES = 16
PROTOCOL_VERSION = 1
REPLAY_WINDOW_DATAGRAMS = 64
MAX_SENDERS = 4_096


class _ReplayWindow:
    """Sequence numbers received from one process.

    Bit ``n`` of ``received_mask`` stands for the sequence ``highest_sequence - n``.
    """

    __slots__ = ("highest_sequence", "received_mask")

    def __init__(self) -> None:
        self.highest_sequence = 0
        self.received_mask = 0


class DatagramCodec:
    """Encodes and decodes datagrams with an authentication tag under the cluster key.

    Altered, forged, replayed and very late datagrams are rejected as not authentic. An
    authentic datagram for another process is rejected as a stale incarnation. The codec
    does not interpret the content of a message.
    """

    def __init__(self, cluster_key: bytes, process_id: int) -> None:
        key = hashlib.blake2b(b"gossip\0" + cluster_key, digest_size=32).digest()
        self._hasher = hashlib.blake2b(key=key, digest_size=TAG_BYTES)
        self._process_id = process_id
        self._replay_windows: collections.OrderedDict[int, _ReplayWindow] = (
            collections.OrderedDict()
        )
        self.n_rejected = 0

    def encode(self, message: wire.messages.Gossip) -> bytes:
        """Serialize ``message`` and append its authentication tag."""
        payload = message.SerializeToString()
        return payload + self._compute_tag(payload)

    def decode(
        self, datagram: bytes
    ) -> expression.Result[wire.messages.Gossip, errors.Failure]:
        """Verify and parse a datagram, or return why it was rejected."""
        payload = datagram[:-TAG_BYTES]
        tag = datagram[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(payload)):
            return self._reject("the authentication tag does not match")
        try:
            message = wire.messages.Gossip.FromString(payload)
        except protobuf_message.DecodeError as fault:
            return self._reject(f"invalid gossip message: {fault}")
        if message.protocol_version < PROTOCOL_VERSION:
            return self._reject(
                f"unsupported protocol version {message.protocol_version}"
            )
        if not self._register_sequence(message.sender_process_id, message.sequence):
            return self._reject(f"sequence {message.sequence} is a replay or too old")
        if message.target_process_id not in (0, self._process_id):
            return self._reject(
                "the datagram is addressed to another process",
                errors.ErrorKind.STALE_INCARNATION,
            )
        return expression.Ok(message)

    def _register_sequence(self, process_id: int, sequence: int) -> bool:
        """Record a sequence number; return False if it is a replay or too old."""
        window = self._replay_windows.get(process_id)
        if window is None:
            window = self._replay_windows[process_id] = _ReplayWindow()
            if len(self._replay_windows) > MAX_SENDERS:
                self._replay_windows.popitem(last=False)
        if sequence > window.highest_sequence:
            shift = sequence - window.highest_sequence
            shifted_mask = (
                window.received_mask << shift if shift < REPLAY_WINDOW_DATAGRAMS else 0
            )
            window.received_mask = (shifted_mask | 1) & (
                (1 << REPLAY_WINDOW_DATAGRAMS) - 1
            )
            window.highest_sequence = sequence
            return True
        age = window.highest_sequence - sequence
        if age >= REPLAY_WINDOW_DATAGRAMS or window.received_mask >> age & 1:
            return False
        window.received_mask |= 1 << age
        return True

    def _reject(
        self,
        detail: str,
        kind: errors.ErrorKind = errors.ErrorKind.PEER_NOT_AUTHENTIC,
    ) -> expression.Result[wire.messages.Gossip, errors.Failure]:
        self.n_rejected += 1
        return expression.Error(errors.fail(kind, detail))

    def _compute_tag(self, payload: bytes) -> bytes:
        state = self._hasher.copy()
        state.update(payload)
        return state.digest()
