"""Outcomes by request id, so that a non-idempotent request runs at most once."""

from umberdrum.outcomes._record import (
    MAX_STORED_BODY_BYTES,
    OutcomeRecord,
    OutcomeReport,
    RequestState,
    StoredResponse,
)

__all__ = [
    "MAX_STORED_BODY_BYTES",
    "OutcomeRecord",
    "OutcomeReport",
    "RequestState",
    "StoredResponse",
]
