"""Identity of a request's content, by which its repetitions are recognised."""

import hashlib
from collections.abc import Iterable

FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 8


def compute_fingerprint(parts: Iterable[bytes]) -> bytes:
    """Return a digest of the parts of a request that its repetitions share.

    The parts are the method, the target, what names the caller, and the body. Each is
    hashed with its length, so that no two lists of parts are taken for each other.

    Example: ``compute_fingerprint([b"GET", b"/cards/17", b"payments", b""])``.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
