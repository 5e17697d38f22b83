"""Handler that keeps log writing off the path of calls."""

import logging
import os
import time
from collections.abc import Callable

MAX_BUFFERED_BYTES = 1 << 20
FLUSH_INTERVAL_SECONDS = 0.25
MAX_BYTES_PER_SECOND = 256 << 10


class LineWriter(logging.Handler):
    """Handler that buffers lines and writes them to a descriptor when flushed.

    A call never waits for a slow reader: lines go to a bounded buffer, which a thread
    of its own flushes ``FLUSH_INTERVAL_SECONDS`` after the first line. Lines that find
    the buffer full, and lines below a warning beyond ``MAX_BYTES_PER_SECOND``, are
    counted in ``n_dropped`` and left out; a line tells how many.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._n_buffered_bytes = 0
        self._second = -1
        self._stamp = ""
        self._announce_first_line: Callable[[], None] | None = None
        self.n_dropped = 0
        self._n_reported = 0
        self._n_second_bytes = 0

    def set_first_line_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a line is buffered after the buffer was empty."""
        self._announce_first_line = listener

    def handle(self, record: logging.LogRecord) -> bool:
        """Buffer one line without taking a lock; all events come from one thread."""
        self.emit(record)
        return True

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped when the buffer is full."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._n_second_bytes = 0
            self._stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        text = (
            f"time={self._stamp}.{int(record.msecs):03d}Z "
            f"level={record.levelname.lower()} {record.getMessage()}\n"
        )
        line = text.encode("utf-8", "backslashreplace")
        is_over_rate = self._n_second_bytes + len(line) > MAX_BYTES_PER_SECOND
        if is_over_rate and record.levelno < logging.WARNING:
            self.n_dropped += 1
            return
        if self._n_buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.n_dropped += 1
            return
        self._n_second_bytes += len(line)
        self._lines.append(line)
        self._n_buffered_bytes += len(line)
        if len(self._lines) == 1 and self._announce_first_line is not None:
            self._announce_first_line()

    def flush(self) -> None:
        """Write all that is buffered; waits for a slow reader."""
        lines = self._lines
        if self.n_dropped != self._n_reported:
            n_more = self.n_dropped - self._n_reported
            self._n_reported = self.n_dropped
            stamp = f"time={self._stamp}.000Z level=warning"
            lines.append(f"{stamp} event=lines_dropped count={n_more}\n".encode())
        self._lines = []
        self._n_buffered_bytes = 0
        view = memoryview(b"".join(lines))
        while view:
            try:
                n_written = os.write(self._descriptor, view)
            except OSError:
                return
            view = view[n_written:]
