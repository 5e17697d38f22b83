"""Failure value that operations return instead of raising an exception."""

from typing import NamedTuple

from umberdrum.errors import _kinds


class Failure(NamedTuple):
    """Reason why an operation failed, for callers, operators and the retry decision.

    ``detail`` says what was expected, what was found and where. ``retry_after_ms`` is
    the time in milliseconds after which the caller should retry; 0 means unspecified.

    Example: ``Failure(ErrorKind.OVERLOADED, Execution.NOT_RUN, "queue holds 12 of
    12")``.
    """

    kind: _kinds.ErrorKind
    execution: _kinds.Execution
    detail: str
    retry_after_ms: int = 0

    @property
    def may_retry_elsewhere(self) -> bool:
        """Whether a non-idempotent request may be sent to another endpoint."""
        return _kinds.is_proven_not_run(self.execution)


def fail(
    kind: _kinds.ErrorKind,
    detail: str,
    execution: _kinds.Execution = _kinds.Execution.NOT_RUN,
) -> Failure:
    """Return a failure of ``kind``; by default it reports that nothing was run."""
    return Failure(kind, execution, detail)
