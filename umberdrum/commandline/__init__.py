"""Operators' command-line tool; it keeps nothing between two calls."""

from umberdrum.commandline._exit_codes import EXIT_CODES, ExitCode

__all__ = ["EXIT_CODES", "ExitCode"]
