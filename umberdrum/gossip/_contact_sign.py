"""Signs that a contact is there and that the store answers it."""

import math
from typing import NamedTuple

MS_PER_SECOND = 1000.0


class ContactSign(NamedTuple):
    """When a contact was last heard, and when the store last answered it.

    Both are times of the receiver's monotonic clock in seconds, minus infinity if
    nothing is known. Messages state an age, so that no clocks are compared.
    """

    heard_at: float
    store_answered_at: float


NO_SIGN = ContactSign(-math.inf, -math.inf)


def update_sign(sign: ContactSign, store_age_ms: int, now: float) -> ContactSign:
    """Return the sign after a message; an age of 0 tells nothing of the store."""
    answered_at = sign.store_answered_at
    if store_age_ms:
        answered_at = max(answered_at, now - store_age_ms / MS_PER_SECOND)
    return ContactSign(now, answered_at)


def encode_store_age(age_seconds: float | None) -> int:
    """Return the age as messages state it, 0 for None.

    Example: 0.0002 s is stated as 1 ms.
    """
    if age_seconds is None:
        return 0
    return max(1, round(age_seconds * MS_PER_SECOND))
