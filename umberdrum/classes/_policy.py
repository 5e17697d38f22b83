"""Deadline, hedging, queue and probe values that follow from a class's target."""

from typing import NamedTuple

from umberdrum.classes import _request_class

DEADLINE_PER_TARGET = 8
MIN_DEADLINE_MS = 1_000
MAX_DEADLINE_MS = 900_000
MAX_ATTEMPTS_IDEMPOTENT = 3
MAX_ATTEMPTS_NOT_RUN = 3
QUEUE_SHARE_OF_TARGET = 0.5
HEDGE_SHARE_OF_TARGET = 0.5


class CallPolicy(NamedTuple):
    """Values that the call path uses for one class; all times in milliseconds.

    ``deadline_ms`` applies when the caller states none. ``hedge_after_ms`` is 0 for
    classes that must not be hedged. ``max_queue_ms`` bounds the wait for a slot.
    ``timeout_ms`` bounds the deadline that a caller states, unless it is 0.
    ``priority`` ranks calls that wait for a slot, 0 first.
    """

    deadline_ms: int
    max_attempts: int
    hedge_after_ms: int
    max_queue_ms: int
    timeout_ms: int = 0
    priority: int = 0


def derive_policy(request_class: _request_class.RequestClass) -> CallPolicy:
    """Return the policy that follows from the target of ``request_class``."""
    latency_ms = request_class.target.latency_ms
    deadline_ms = latency_ms * DEADLINE_PER_TARGET
    deadline_ms = max(MIN_DEADLINE_MS, min(MAX_DEADLINE_MS, deadline_ms))
    max_queue_ms = max(1, int(latency_ms * QUEUE_SHARE_OF_TARGET))
    if not request_class.is_idempotent:
        return CallPolicy(deadline_ms, MAX_ATTEMPTS_NOT_RUN, 0, max_queue_ms)
    hedge_after_ms = max(1, int(latency_ms * HEDGE_SHARE_OF_TARGET))
    return CallPolicy(
        deadline_ms, MAX_ATTEMPTS_IDEMPOTENT, hedge_after_ms, max_queue_ms
    )
