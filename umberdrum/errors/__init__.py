"""Closed list of error kinds and the answer that belongs to each kind."""

from umberdrum.errors._failure import Failure, fail
from umberdrum.errors._kinds import (
    ANSWERS,
    Answer,
    ErrorKind,
    Execution,
    get_answer,
    is_proven_not_run,
)
from umberdrum.errors._problem import (
    EXECUTION_HEADER,
    KIND_HEADER,
    ProblemAnswer,
    render_problem,
)

__all__ = [
    "ANSWERS",
    "EXECUTION_HEADER",
    "KIND_HEADER",
    "Answer",
    "ErrorKind",
    "Execution",
    "Failure",
    "ProblemAnswer",
    "fail",
    "get_answer",
    "is_proven_not_run",
    "render_problem",
]
