"""Task that flushes buffered log lines in a worker thread."""

import trio

from umberdrum.logs import _writer

MAX_FLUSH_WAIT_SECONDS = 0.125


class LineFlusher:
    """Flushes log lines in a worker thread, so that calls do not wait for writes.

    Pending lines are flushed ``FLUSH_INTERVAL_SECONDS`` after the first of them.
    """

    def __init__(self, writer: _writer.LineWriter) -> None:
        self._writer = writer
        self._has_lines = trio.Event()
        self._is_finishing = False
        self._flushed: trio.Event | None = None
        writer.set_first_line_listener(self._signal_first_line)

    async def run(self) -> None:
        """Flush lines until cancelled or finished."""
        # A flush that failed has left its lines in the buffer.
        self._has_lines.set()
        while not self._is_finishing:
            await self._has_lines.wait()
            self._has_lines = trio.Event()
            await trio.sleep(_writer.FLUSH_INTERVAL_SECONDS)
            if self._is_finishing:
                return
            self._flushed = trio.Event()
            try:
                await trio.to_thread.run_sync(
                    self._writer.flush, abandon_on_cancel=True
                )
            finally:
                self._flushed.set()

    async def finish(self) -> None:
        """Begin no further flush, and wait for one that is in progress.

        A thread that still works when the interpreter ends loses its lines and can keep
        the process from ending. The wait ends after ``MAX_FLUSH_WAIT_SECONDS`` if the
        reader of the log is slow.
        """
        self._is_finishing = True
        if self._flushed is not None:
            with trio.move_on_after(MAX_FLUSH_WAIT_SECONDS):
                await self._flushed.wait()

    def _signal_first_line(self) -> None:
        self._has_lines.set()
