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


@behave.when("5000 lines and then a warning are written in one second")
def flood_writer(context: runner.Context) -> None:
    context.file = tempfile.TemporaryFile()  # noqa: SIM115
    context.writer = logs.LineWriter(context.file.fileno())
    for index in range(5000):
        record = logging.LogRecord("d", logging.INFO, "", 0, "x" * 100, (), None)
        record.created = 1000.0 + index / 10_000
        context.writer.emit(record)
    record = logging.LogRecord("d", logging.WARNING, "", 0, "event=kept", (), None)
    record.created = 1000.9
    context.writer.emit(record)
    context.writer.flush()


@behave.then(
    "the file holds at most {n_kilobytes:d} KB, the warning and the count of the lines "
    "left out"
)
def check_flood(context: runner.Context, n_kilobytes: int) -> None:
    context.file.seek(0)
    text = context.file.read().decode()
    context.file.close()
    assert len(text) <= n_kilobytes << 10, len(text)
    assert "event=kept" in text
    n_kept = text.count("x" * 100)
    assert f"event=lines_dropped count={5000 - n_kept}" in text, text[-300:]
