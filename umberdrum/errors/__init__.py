"""Error kinds, the HTTP response for each of them and failure values."""

from umberdrum.errors._failure import Failure, fail
from umberdrum.errors._kinds import (
    ERROR_RESPONSES,
    ErrorKind,
    ErrorResponse,
    Execution,
    get_error_response,
    is_not_run_status,
    is_proven_not_run,
)
from umberdrum.errors._problem import (
    EXECUTION_HEADER,
    KIND_HEADER,
    ProblemResponse,
    render_problem,
)

__all__ = [
    "ERROR_RESPONSES",
    "EXECUTION_HEADER",
    "KIND_HEADER",
    "ErrorKind",
    "ErrorResponse",
    "Execution",
    "Failure",
    "ProblemResponse",
    "fail",
    "get_error_response",
    "is_not_run_status",
    "is_proven_not_run",
    "render_problem",
]
