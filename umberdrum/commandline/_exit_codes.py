"""Exit codes of the tool and the exit code for each error kind."""

import enum

from umberdrum import errors


class ExitCode(enum.IntEnum):
    """Result of a command, as scripts see it.

    Error kinds that are not in ``EXIT_CODES`` give ``FAILED``.
    """

    OK = 0
    FAILED = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    NOT_FOUND = 4
    STORE_UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    DAEMON_UNAVAILABLE = 7
    TARGET_MISSED = 8


EXIT_CODES: dict[errors.ErrorKind, ExitCode] = {
    errors.ErrorKind.INVALID_CLASS: ExitCode.INVALID_INPUT,
    errors.ErrorKind.INVALID_SETTINGS: ExitCode.INVALID_INPUT,
    errors.ErrorKind.STORE_CONFLICT: ExitCode.CONFLICT,
    errors.ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
    errors.ErrorKind.UNKNOWN_CLASS: ExitCode.NOT_FOUND,
    errors.ErrorKind.STORE_UNAVAILABLE: ExitCode.STORE_UNAVAILABLE,
    errors.ErrorKind.STORE_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    errors.ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    errors.ErrorKind.DAEMON_UNAVAILABLE: ExitCode.DAEMON_UNAVAILABLE,
}
