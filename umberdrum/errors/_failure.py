"""Failure value that operations return in place of raising."""

from typing import NamedTuple

from umberdrum.errors import _kinds


class Failure(NamedTuple):
    """Why an operation failed, for callers, operators and the retry decision.

    ``detail`` says what was expected, what was found and where. ``retry_after_ms`` is
    the time in milliseconds after which the caller should ask again; 0 states none.

    Example: ``Failure(ErrorKind.OVERLOADED, Execution.NOT_RUN, "queue holds 12 of
    12")``.
    """

    kind: _kinds.ErrorKind
    execution: _kinds.Execution
    detail: str
    retry_after_ms: int = 0

    @property
    def may_retry_elsewhere(self) -> bool:
        """Whether another endpoint may be tried for a non-idempotent request."""
        return _kinds.is_proven_not_run(self.execution)


def fail(
    kind: _kinds.ErrorKind,
    detail: str,
    execution: _kinds.Execution = _kinds.Execution.NOT_RUN,
) -> Failure:
    """Return a failure of ``kind``; unless stated otherwise nothing was run."""
    return Failure(kind, execution, detail)
