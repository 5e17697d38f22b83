"""Program ``umberdrum``, the command-line tool for operators."""

import sys
from collections.abc import Sequence

import trio

from umberdrum import errors
from umberdrum.commandline import (
    _account_commands,
    _class_commands,
    _daemon_commands,
    _exit_codes,
    _options,
    _parser,
    _snapshot_commands,
    _trace_command,
    _where_command,
    _zone_commands,
)


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run one command, print its output or failure and return its exit code."""
    parsed = _parser.build_parser().parse_args(arguments)
    parsed.is_target_missed = False
    options = _options.read_options(parsed)
    if options.is_error():
        return _print_failure(options.error)
    if parsed.command == "class":
        result = trio.run(_class_commands.run_class_command, parsed, options.ok)
    elif parsed.command == "trace":
        result = _trace_command.run_trace_command(parsed, options.ok)
    elif parsed.command == "snapshot":
        result = trio.run(_snapshot_commands.run_snapshot_command, parsed, options.ok)
    elif parsed.command == "where":
        result = trio.run(_where_command.run_where_command, parsed, options.ok)
    elif parsed.command == "account":
        result = trio.run(_account_commands.run_account_command, parsed, options.ok)
    elif parsed.command == "zone":
        result = trio.run(_zone_commands.run_zone_command, parsed, options.ok)
    else:
        result = trio.run(_daemon_commands.run_daemon_command, parsed, options.ok)
    if result.is_error():
        return _print_failure(result.error)
    sys.stdout.write(result.ok)
    if parsed.command == "status" and parsed.check and parsed.is_target_missed:
        return _exit_codes.ExitCode.TARGET_MISSED
    return _exit_codes.ExitCode.OK


def _print_failure(failure: errors.Failure) -> int:
    title = errors.ERROR_RESPONSES[failure.kind].title
    sys.stderr.write(f"umberdrum: {title}: {failure.detail}\n")
    failed = _exit_codes.ExitCode.FAILED
    return _exit_codes.EXIT_CODES.get(failure.kind, failed)


if __name__ == "__main__":
    sys.exit(run_program())
