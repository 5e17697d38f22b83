"""Rule for which failures may be retried."""

from umberdrum import errors

_NON_RETRYABLE_KINDS = frozenset(
    (
        errors.ErrorKind.MALFORMED_REQUEST,
        errors.ErrorKind.HEAD_TOO_LARGE,
        errors.ErrorKind.CALLER_TOO_SLOW,
        errors.ErrorKind.UNKNOWN_SERVICE,
        errors.ErrorKind.UNKNOWN_CLASS,
        errors.ErrorKind.DEADLINE_EXCEEDED,
        errors.ErrorKind.DUPLICATE_REQUEST,
        errors.ErrorKind.REQUEST_BARRED,
        errors.ErrorKind.REQUEST_CRASHES_UPSTREAMS,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.CALLER_GONE,
    )
)


def may_retry(failure: errors.Failure, is_idempotent: bool) -> bool:
    """Return whether the request may be sent again after ``failure``.

    Failures of some kinds are never retried. After the others, a non-idempotent request
    is retried only if it is proven not to have run.
    """
    if failure.kind in _NON_RETRYABLE_KINDS:
        return False
    if failure.execution is errors.Execution.NOT_RUN:
        return True
    return is_idempotent
