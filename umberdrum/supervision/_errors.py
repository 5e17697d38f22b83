"""Log and counts of errors that the code did not expect."""

import collections
import contextlib
import pathlib
import traceback
from collections.abc import Iterator

from umberdrum import logs

N_LOGGED_FRAMES = 4


class ErrorLog:
    """Logs unexpected errors with the place where they were raised and counts them.

    ``n_errors`` has the number of errors of each task.
    """

    def __init__(self, log: logs.EventLog) -> None:
        self._log = log
        self.n_errors: collections.Counter[str] = collections.Counter()

    def record(
        self, task: str, fault: BaseException, **fields: logs.FieldValue
    ) -> None:
        """Write one line for ``fault``, and for each part of an exception group.

        Example: a ``ValueError`` of the contact manager gives ``event=task_failed
        task=contact_manager reason="ValueError('...')" at=_contacts.py:328,...``, with
        the innermost frame last.
        """
        if isinstance(fault, BaseExceptionGroup):
            for part in fault.exceptions:
                self.record(task, part, **fields)
            return
        self.n_errors[task] += 1
        self._log.warn(
            "task_failed",
            task=task,
            reason=repr(fault),
            at=_describe_frames(fault),
            **fields,
        )

    @contextlib.contextmanager
    def suppress(self, task: str) -> Iterator[None]:
        """Log an error that the block raises and go on after the block."""
        try:
            yield
        except* Exception as faults:
            self.record(task, faults)


def _describe_frames(fault: BaseException) -> str:
    """Return the innermost frames of the traceback as ``FILE:LINE,FILE:LINE``."""
    frames = traceback.extract_tb(fault.__traceback__)[-N_LOGGED_FRAMES:]
    places = [f"{pathlib.Path(row.filename).name}:{row.lineno}" for row in frames]
    return ",".join(places)
