"""Steps on structured logging."""

import fcntl
import logging
import os
import tempfile
import threading
import time

import behave
import trio
import trio.testing
from behave import runner

from umberdrum import logs

MAX_WAIT_SECONDS = 0.125


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


class _BlockedWriter(logs.LineWriter):
    """Writer whose flushes wait until they are released."""

    def __init__(self) -> None:
        super().__init__(-1)
        self.has_begun = threading.Event()
        self.is_released = threading.Event()
        self.n_begun = 0
        self.n_ended = 0

    def flush(self) -> None:
        """Wait for the release in place of a slow reader."""
        self.n_begun += 1
        self.has_begun.set()
        self.is_released.wait()
        self.n_ended += 1


@behave.when("a daemon ends while its lines are being written and {reader}")
def end_during_flush(context: runner.Context, reader: str) -> None:
    context.writer = writer = _BlockedWriter()
    flusher = logs.LineFlusher(writer)
    # The clock stands still while the worker thread is at work.
    clock = trio.testing.MockClock()
    wait_until_blocked = trio.testing.wait_all_tasks_blocked

    async def run() -> None:
        finished = trio.Event()

        async def finish() -> None:
            await flusher.finish()
            finished.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(flusher.run)
            await wait_until_blocked()
            clock.jump(logs.FLUSH_INTERVAL_SECONDS)
            await wait_until_blocked()
            writer.has_begun.wait()
            writer.emit(logging.LogRecord("d", logging.INFO, "", 0, "late", (), None))
            began_at = trio.current_time()
            nursery.start_soon(finish)
            await wait_until_blocked()
            context.is_waiting = not finished.is_set()
            if reader == "the reader of the log takes them":
                writer.is_released.set()
            else:
                clock.jump(MAX_WAIT_SECONDS)
            await finished.wait()
            context.seconds = trio.current_time() - began_at
            context.n_unfinished = writer.n_begun - writer.n_ended
            writer.is_released.set()
            clock.jump(2 * logs.FLUSH_INTERVAL_SECONDS)
            await wait_until_blocked()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=clock)


@behave.then(
    "it waits for {seconds:g} s, {n_unfinished:d} writes are unfinished then, and no "
    "further one begins"
)
def check_wait(context: runner.Context, seconds: float, n_unfinished: int) -> None:
    assert context.is_waiting
    assert context.seconds == seconds, context.seconds
    assert context.n_unfinished == n_unfinished, context.n_unfinished
    assert context.writer.n_begun == 1, context.writer.n_begun


@behave.when("the last lines are written while an earlier write waits for the reader")
def write_beside_earlier(context: runner.Context) -> None:
    read_end, write_end = os.pipe()
    os.write(write_end, bytes(fcntl.fcntl(write_end, fcntl.F_GETPIPE_SZ)))
    writer = logs.LineWriter(write_end)
    writer.emit(logging.LogRecord("d", logging.INFO, "", 0, "first", (), None))
    earlier = threading.Thread(target=writer.flush)
    earlier.start()
    while writer._lines:
        time.sleep(0.001)
    writer.emit(logging.LogRecord("d", logging.INFO, "", 0, "last", (), None))
    writer.flush_within(MAX_WAIT_SECONDS)
    context.lines = list(writer._lines)
    # The write in progress fails.
    os.close(read_end)
    earlier.join()
    os.close(write_end)


@behave.then("they are still in the buffer")
def check_buffered(context: runner.Context) -> None:
    assert len(context.lines) == 1 and b"last" in context.lines[0], context.lines
