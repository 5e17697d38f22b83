"""Command-line tool for operators; it stores no state between invocations."""

from umberdrum.commandline._exit_codes import EXIT_CODES, ExitCode

__all__ = ["EXIT_CODES", "ExitCode"]
