"""Steps on structured logging."""

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


@behave.when("more than a megabyte of lines is logged without a flush")
def exceed_buffer(context: runner.Context) -> None:
    context.file = tempfile.TemporaryFile()  # noqa: SIM115
    context.writer = logs.LineWriter(context.file.fileno())
    logger = logging.Logger("full")
    logger.addHandler(context.writer)
    event_log = logs.EventLog(logger, "d")
    for index in range(2000):
        event_log.write("filler", text="x" * 1000, index=index)


@behave.then("the excess is counted as dropped and a flush writes the buffered lines")
def check_dropped_lines(context: runner.Context) -> None:
    assert context.writer.n_dropped > 0
    context.writer.flush()
    size = os.fstat(context.file.fileno()).st_size
    assert 0 < size <= 1 << 20, size
    context.file.close()


@behave.when("5000 lines and then a warning are logged in one second")
def exceed_rate_limit(context: runner.Context) -> None:
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
    "the file has at most {n_kilobytes:d} KB, the warning and the number of dropped "
    "lines"
)
def check_limited_volume(context: runner.Context, n_kilobytes: int) -> None:
    context.file.seek(0)
    text = context.file.read().decode()
    context.file.close()
    assert len(text) <= n_kilobytes << 10, len(text)
    assert "event=kept" in text
    n_kept = text.count("x" * 100)
    assert f"event=lines_dropped count={5000 - n_kept}" in text, text[-300:]
