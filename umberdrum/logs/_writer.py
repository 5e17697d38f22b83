"""Logging handler that buffers lines, so that calls never wait for log output."""

import contextlib
import logging
import os
import threading
import time
from collections.abc import Callable

MAX_BUFFERED_BYTES = 1 << 20
FLUSH_INTERVAL_SECONDS = 0.25
MAX_BYTES_PER_SECOND = 256 << 10


class LineWriter(logging.Handler):
    """Handler that buffers lines and writes them to a file descriptor when flushed.

    A call never waits for a slow reader of the log. Lines go to a buffer of at most
    ``MAX_BUFFERED_BYTES``, which a separate thread flushes ``FLUSH_INTERVAL_SECONDS``
    after the first line. A line is dropped when the buffer is full, or when its level
    is below warning and ``MAX_BYTES_PER_SECOND`` is exceeded. ``n_dropped`` counts the
    dropped lines; each flush writes a ``lines_dropped`` event if the count has grown.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._n_buffered_bytes = 0
        self._current_second = -1
        self._timestamp = ""
        self._on_first_line: Callable[[], None] | None = None
        self.n_dropped = 0
        self._n_reported_drops = 0
        self._n_bytes_this_second = 0
        self._is_flushing = False

    def set_first_line_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a line enters the empty buffer."""
        self._on_first_line = listener

    def handle(self, record: logging.LogRecord) -> bool:
        """Buffer one line without a lock, because all events come from one thread."""
        self.emit(record)
        return True

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or drop it when the buffer is full or the rate exceeded."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._n_bytes_this_second = 0
            self._timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        text = (
            f"time={self._timestamp}.{int(record.msecs):03d}Z "
            f"level={record.levelname.lower()} {record.getMessage()}\n"
        )
        line = text.encode("utf-8", "backslashreplace")
        is_over_rate = self._n_bytes_this_second + len(line) > MAX_BYTES_PER_SECOND
        if is_over_rate and record.levelno < logging.WARNING:
            self.n_dropped += 1
            return
        if self._n_buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.n_dropped += 1
            return
        self._n_bytes_this_second += len(line)
        self._lines.append(line)
        self._n_buffered_bytes += len(line)
        if len(self._lines) == 1 and self._on_first_line is not None:
            self._on_first_line()

    def flush(self) -> None:
        """Write all buffered lines; blocks while the reader is slow.

        Lines that can't be written because of an ``OSError`` are discarded.
        """
        self._is_flushing = True
        try:
            self._write_lines()
        finally:
            self._is_flushing = False

    def flush_within(self, timeout_seconds: float) -> None:
        """Write the buffered lines in a thread, for which the caller waits that long.

        A thread that is still writing then does not keep the process from ending. While
        an earlier flush is in progress nothing is written, so that no lines are mixed.
        """
        if self._is_flushing:
            return
        thread = threading.Thread(target=self.flush, daemon=True)
        with contextlib.suppress(RuntimeError):
            # No thread can be started when memory is exhausted.
            thread.start()
            thread.join(timeout_seconds)

    def _write_lines(self) -> None:
        lines = self._lines
        if self.n_dropped != self._n_reported_drops:
            n_unreported = self.n_dropped - self._n_reported_drops
            self._n_reported_drops = self.n_dropped
            prefix = f"time={self._timestamp}.000Z level=warning"
            lines.append(
                f"{prefix} event=lines_dropped count={n_unreported}\n".encode()
            )
        self._lines = []
        self._n_buffered_bytes = 0
        view = memoryview(b"".join(lines))
        while view:
            try:
                n_written = os.write(self._descriptor, view)
            except OSError:
                return
            view = view[n_written:]
