"""Record of request ids begun, by which a non-idempotent request runs at most once."""

from umberdrum.outcomes._record import (
    MAX_ANSWER_BYTES,
    KeptAnswer,
    OutcomeRecord,
    OutcomeReport,
    RequestState,
)

__all__ = [
    "MAX_ANSWER_BYTES",
    "KeptAnswer",
    "OutcomeRecord",
    "OutcomeReport",
    "RequestState",
]
