"""Deadline, attempt, hedging and queue limits derived from the target of a class."""

from typing import NamedTuple

from umberdrum.classes import _request_class

DEADLINE_TO_TARGET_RATIO = 8
MIN_DEADLINE_MS = 1_000
MAX_DEADLINE_MS = 900_000
MAX_ATTEMPTS_IDEMPOTENT = 3
# A non-idempotent request is repeated only when it is proven not run.
MAX_ATTEMPTS_NON_IDEMPOTENT = 3
QUEUE_SHARE_OF_TARGET = 0.5
HEDGE_DELAY_SHARE_OF_TARGET = 0.5


class CallPolicy(NamedTuple):
    """Limits that the call path applies to one class; all times in milliseconds.

    ``deadline_ms`` applies when the caller sends no deadline. ``hedge_after_ms`` is 0
    for classes that must not be hedged. ``max_queue_ms`` limits the wait for a slot.
    ``timeout_ms`` limits the deadline that a caller sends; 0 sets no limit.
    ``priority`` orders the calls that wait for a slot, lowest number first.
    ``is_public`` says that calls need no client account.
    """

    deadline_ms: int
    max_attempts: int
    hedge_after_ms: int
    max_queue_ms: int
    timeout_ms: int = 0
    priority: int = 0
    is_public: bool = False


def derive_policy(request_class: _request_class.RequestClass) -> CallPolicy:
    """Return the limits for ``request_class``, derived from its latency target.

    The percentile has no influence. A non-idempotent class is never hedged.
    """
    latency_ms = request_class.target.latency_ms
    deadline_ms = latency_ms * DEADLINE_TO_TARGET_RATIO
    deadline_ms = max(MIN_DEADLINE_MS, min(MAX_DEADLINE_MS, deadline_ms))
    max_queue_ms = max(1, int(latency_ms * QUEUE_SHARE_OF_TARGET))
    if not request_class.is_idempotent:
        return CallPolicy(deadline_ms, MAX_ATTEMPTS_NON_IDEMPOTENT, 0, max_queue_ms)
    hedge_after_ms = max(1, int(latency_ms * HEDGE_DELAY_SHARE_OF_TARGET))
    return CallPolicy(
        deadline_ms, MAX_ATTEMPTS_IDEMPOTENT, hedge_after_ms, max_queue_ms
    )
