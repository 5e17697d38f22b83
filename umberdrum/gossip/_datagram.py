"""Authentication of gossip datagrams."""

import collections
import hashlib
import hmac

import expression
from google.protobuf import message as protobuf_message

from umberdrum import errors, wire

MAX_DATAGRAM_BYTES = 1_200
PACKET_OVERHEAD_BYTES = 28
TAG_BYTES = 16
PROTOCOL_VERSION = 1
REPLAY_WINDOW = 64
MAX_SENDERS = 4_096


class _Sender:
    """Sequence numbers seen from one process."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = 0
        self.seen = 0


class DatagramCodec:
    """Encodes and decodes datagrams that carry a tag made with the cluster key.

    A datagram that was altered or forged, was seen before, or was meant for another
    process is refused; the last, which is authentic, as a stale incarnation. The codec
    never looks at what the message says.
    """

    def __init__(self, cluster_key: bytes, process_id: int) -> None:
        key = hashlib.blake2b(b"gossip\0" + cluster_key, digest_size=32).digest()
        self._hasher = hashlib.blake2b(key=key, digest_size=TAG_BYTES)
        self._process_id = process_id
        self._senders: collections.OrderedDict[int, _Sender] = collections.OrderedDict()
        self.n_refused = 0

    def encode(self, message: wire.messages.Gossip) -> bytes:
        """Return the datagram of ``message``."""
        payload = message.SerializeToString()
        return payload + self._compute_tag(payload)

    def decode(
        self, datagram: bytes
    ) -> expression.Result[wire.messages.Gossip, errors.Failure]:
        """Return the message of an authentic and fresh datagram."""
        payload = datagram[:-TAG_BYTES]
        tag = datagram[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(payload)):
            return self._refuse("the tag does not match")
        try:
            message = wire.messages.Gossip.FromString(payload)
        except protobuf_message.DecodeError as fault:
            return self._refuse(f"expected a gossip message: {fault}")
        if message.protocol_version < PROTOCOL_VERSION:
            return self._refuse(f"unknown version {message.protocol_version}")
        if not self._is_fresh(message.sender_process_id, message.sequence):
            return self._refuse(f"sequence {message.sequence} was seen before")
        if message.target_process_id not in (0, self._process_id):
            return self._refuse(
                "the datagram is meant for another process",
                errors.ErrorKind.STALE_INCARNATION,
            )
        return expression.Ok(message)

    def _is_fresh(self, process_id: int, sequence: int) -> bool:
        sender = self._senders.get(process_id)
        if sender is None:
            sender = self._senders[process_id] = _Sender()
            if len(self._senders) > MAX_SENDERS:
                self._senders.popitem(last=False)
        if sequence > sender.highest:
            shift = sequence - sender.highest
            kept = sender.seen << shift if shift < REPLAY_WINDOW else 0
            sender.seen = (kept | 1) & ((1 << REPLAY_WINDOW) - 1)
            sender.highest = sequence
            return True
        age = sender.highest - sequence
        if age >= REPLAY_WINDOW or sender.seen >> age & 1:
            return False
        sender.seen |= 1 << age
        return True

    def _refuse(
        self,
        detail: str,
        kind: errors.ErrorKind = errors.ErrorKind.PEER_NOT_AUTHENTIC,
    ) -> expression.Result[wire.messages.Gossip, errors.Failure]:
        self.n_refused += 1
        return expression.Error(errors.fail(kind, detail))

    def _compute_tag(self, payload: bytes) -> bytes:
        state = self._hasher.copy()
        state.update(payload)
        return state.digest()
