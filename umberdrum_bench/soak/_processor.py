"""Time for which processes were ready to run but got no processor."""

import pathlib
from typing import NamedTuple

NS_PER_SECOND = 1e9
PROCESSES_PATH = pathlib.Path("/proc")


class ProcessorWait(NamedTuple):
    """Time for which a process has waited for a processor since it began."""

    process_id: int
    seconds: float


def read_wait(
    process_id: int, directory: pathlib.Path = PROCESSES_PATH
) -> ProcessorWait:
    """Return how long the main thread of a process has waited so far.

    It is the second field of the kernel's ``schedstat``, in nanoseconds. The result is
    0 s for a process that has ended and where the kernel keeps no such statistics, so
    that nothing is excused.
    """
    path = directory / str(process_id) / "schedstat"
    try:
        fields = path.read_text().split()
    except OSError:
        return ProcessorWait(process_id, 0.0)
    if len(fields) < 2:
        return ProcessorWait(process_id, 0.0)
    return ProcessorWait(process_id, int(fields[1]) / NS_PER_SECOND)


def count_starved_seconds(before: ProcessorWait, after: ProcessorWait) -> float:
    """Return the time for which a daemon had no processor between two readings.

    All of the wait of a process that began in between counts, for instance that of its
    start.
    """
    if before.process_id != after.process_id:
        return after.seconds
    return max(0.0, after.seconds - before.seconds)
