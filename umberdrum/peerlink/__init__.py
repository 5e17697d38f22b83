"""Links between daemons: authenticated frames on pooled TCP connections."""

from umberdrum.peerlink._channel import (
    MAX_FRAME_BYTES,
    Frame,
    FrameChannel,
    FrameError,
    FrameKind,
)
from umberdrum.peerlink._handshake import (
    AcceptedPeer,
    DaemonIdentity,
    PeerNotAuthenticError,
    accept_handshake,
    open_handshake,
)
from umberdrum.peerlink._pool import PeerAddress, PeerLink, PeerLinkPool

__all__ = [
    "MAX_FRAME_BYTES",
    "AcceptedPeer",
    "DaemonIdentity",
    "Frame",
    "FrameChannel",
    "FrameError",
    "FrameKind",
    "PeerAddress",
    "PeerLink",
    "PeerLinkPool",
    "PeerNotAuthenticError",
    "accept_handshake",
    "open_handshake",
]
