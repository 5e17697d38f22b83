"""Mutual authentication of two daemons with the shared cluster key.

Both sides send a fresh nonce. The accepting side proves that it has the key in its
welcome frame. The opening side proves it with the tag of its first frame after the
handshake: the key of that tag is derived from both nonces. A recorded connection can
therefore not be replayed.
"""

import hmac
import secrets
from typing import NamedTuple

import trio
from google.protobuf import message as protobuf_message

from umberdrum import sockets, wire
from umberdrum.peerlink import _channel

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_SECONDS = 2.0


class DaemonIdentity(NamedTuple):
    """ID of a daemon and random ID of its current process."""

    daemon_id: str
    process_id: int


class PeerNotAuthenticError(Exception):
    """The peer has no valid proof of the cluster key or sent an invalid handshake.

    Also raised when another process than expected answers.
    """


class AcceptedPeer(NamedTuple):
    """Authenticated opener of a connection, and the ID it gave to the connection."""

    identity: DaemonIdentity
    connection_id: int


async def open_handshake(
    channel: _channel.FrameChannel,
    own: DaemonIdentity,
    connection_id: int,
    cluster_key: bytes,
) -> DaemonIdentity:
    """Authenticate a connection that this daemon opened; return the peer's identity.

    Raises ``PeerNotAuthenticError``, and ``sockets.ConnectionLostError`` when the
    connection ends or the peer does not answer within ``HANDSHAKE_TIMEOUT_SECONDS``.
    """
    hello = wire.messages.Hello(
        protocol_version=PROTOCOL_VERSION,
        daemon_id=own.daemon_id,
        process_id=own.process_id,
        nonce=secrets.token_bytes(NONCE_BYTES),
        connection_id=connection_id,
    ).SerializeToString()
    await channel.send(_channel.FrameKind.HELLO, hello)
    frame = await channel.receive_within(HANDSHAKE_TIMEOUT_SECONDS)
    if frame is None:
        detail = f"no welcome within {HANDSHAKE_TIMEOUT_SECONDS:g} s"
        raise sockets.ConnectionLostError(detail)
    if frame.kind is not _channel.FrameKind.WELCOME:
        raise PeerNotAuthenticError("expected a welcome frame")
    welcome = _decode_welcome(frame.head)
    proof = welcome.proof
    welcome.proof = b""
    transcript = hello + welcome.SerializeToString()
    if not hmac.compare_digest(proof, _compute_hmac(cluster_key, b"proof", transcript)):
        raise PeerNotAuthenticError("the peer does not hold the cluster key")
    channel.set_keys(
        _compute_hmac(cluster_key, b"from-opener", transcript),
        _compute_hmac(cluster_key, b"from-acceptor", transcript),
    )
    return DaemonIdentity(welcome.daemon_id, welcome.process_id)


async def accept_handshake(
    channel: _channel.FrameChannel, own: DaemonIdentity, cluster_key: bytes
) -> AcceptedPeer:
    """Authenticate this daemon on a connection that a peer opened; return the peer.

    The peer itself is authenticated by the tag of its next frame, which the channel
    verifies. Raises ``PeerNotAuthenticError``, including when no hello frame arrives
    within ``HANDSHAKE_TIMEOUT_SECONDS``.
    """
    frame = None
    with trio.move_on_after(HANDSHAKE_TIMEOUT_SECONDS):
        frame = await channel.receive()
    if frame is None or frame.kind is not _channel.FrameKind.HELLO:
        raise PeerNotAuthenticError("expected a hello frame")
    hello = _decode_hello(frame.head)
    welcome = wire.messages.Welcome(
        protocol_version=PROTOCOL_VERSION,
        daemon_id=own.daemon_id,
        process_id=own.process_id,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )
    transcript = frame.head + welcome.SerializeToString()
    welcome.proof = _compute_hmac(cluster_key, b"proof", transcript)
    await channel.send(_channel.FrameKind.WELCOME, welcome.SerializeToString())
    channel.set_keys(
        _compute_hmac(cluster_key, b"from-acceptor", transcript),
        _compute_hmac(cluster_key, b"from-opener", transcript),
    )
    identity = DaemonIdentity(hello.daemon_id, hello.process_id)
    return AcceptedPeer(identity, hello.connection_id)


def _decode_hello(head: bytes) -> wire.messages.Hello:
    try:
        hello = wire.messages.Hello.FromString(head)
    except protobuf_message.DecodeError as fault:
        raise PeerNotAuthenticError(f"hello can't be decoded: {fault}") from None
    if hello.protocol_version < 1 or len(hello.nonce) != NONCE_BYTES:
        raise PeerNotAuthenticError("expected a protocol version and a nonce")
    return hello


def _decode_welcome(head: bytes) -> wire.messages.Welcome:
    try:
        welcome = wire.messages.Welcome.FromString(head)
    except protobuf_message.DecodeError as fault:
        raise PeerNotAuthenticError(f"welcome can't be decoded: {fault}") from None
    if welcome.protocol_version < 1 or len(welcome.nonce) != NONCE_BYTES:
        raise PeerNotAuthenticError("expected a protocol version and a nonce")
    return welcome


def _compute_hmac(cluster_key: bytes, label: bytes, transcript: bytes) -> bytes:
    return hmac.digest(cluster_key, label + b"\0" + transcript, "sha256")
