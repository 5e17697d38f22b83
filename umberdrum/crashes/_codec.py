"""Conversion between crash marks and their protobuf messages."""

from umberdrum import wire
from umberdrum.crashes import _fingerprint, _registry

MS_PER_SECOND = 1000.0
MAX_RUN_CHARS = 128


def encode_mark(mark: _registry.CrashMark) -> wire.messages.CrashMark:
    """Convert ``mark`` to its protobuf message."""
    return wire.messages.CrashMark(
        fingerprint=mark.fingerprint,
        run=mark.run,
        is_cleared=mark.is_cleared,
        age_ms=int(mark.age_seconds * MS_PER_SECOND),
    )


def decode_mark(message: wire.messages.CrashMark) -> _registry.CrashMark | None:
    """Parse ``message``; None if it is malformed."""
    if len(message.fingerprint) != _fingerprint.FINGERPRINT_BYTES:
        return None
    if not message.run or len(message.run) > MAX_RUN_CHARS:
        return None
    return _registry.CrashMark(
        message.fingerprint,
        message.run,
        message.is_cleared,
        message.age_ms / MS_PER_SECOND,
    )
