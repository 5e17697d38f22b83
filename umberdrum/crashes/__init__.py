"""Memory of requests under which upstreams have ended.

A request may end each upstream that begins to run it. Its caller repeats it, so without
such a memory it ends one upstream after the other.
"""

from umberdrum.crashes._codec import decode_mark, encode_mark
from umberdrum.crashes._fingerprint import FINGERPRINT_BYTES, compute_fingerprint
from umberdrum.crashes._registry import (
    MIN_CRASHES_TO_REFUSE,
    N_CRASHES_TO_REFUSE,
    RETENTION_SECONDS,
    CrashMark,
    CrashRegistry,
)
from umberdrum.crashes._turns import SuspectTurns

__all__ = [
    "FINGERPRINT_BYTES",
    "MIN_CRASHES_TO_REFUSE",
    "N_CRASHES_TO_REFUSE",
    "RETENTION_SECONDS",
    "CrashMark",
    "CrashRegistry",
    "SuspectTurns",
    "compute_fingerprint",
    "decode_mark",
    "encode_mark",
]
