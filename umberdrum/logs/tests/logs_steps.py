"""Steps on logs."""

import logging
import os
import tempfile

import behave
from behave import runner

from umberdrum import logs


@behave.when('the value "{value}" is logged')
def format_value(context: runner.Context, value: str) -> None:
    raw = value.replace("\\n", "\n")
    context.line = logs.format_line("e", {"key": raw})


@behave.then('the line is "{line}"')
def check_line(context: runner.Context, line: str) -> None:
    assert context.line == line, context.line
    assert "\n" not in context.line


@behave.when("more than a megabyte of lines is written without a flush")
def fill_writer(context: runner.Context) -> None:
    context.file = tempfile.TemporaryFile()  # noqa: SIM115
    context.writer = logs.LineWriter(context.file.fileno())
    logger = logging.Logger("full")
    logger.addHandler(context.writer)
    event_log = logs.EventLog(logger, "d")
    for index in range(2000):
        event_log.write("filler", text="x" * 1000, index=index)


@behave.then("the rest is counted as dropped and a flush writes what was kept")
def check_writer(context: runner.Context) -> None:
    assert context.writer.n_dropped > 0
    context.writer.flush()
    size = os.fstat(context.file.fileno()).st_size
    assert 0 < size <= 1 << 20, size
    context.file.close()
