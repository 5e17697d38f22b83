"""Load that an upstream reports in a header field of its responses."""

from typing import NamedTuple

USUAL_PACE = 1.0
PERCENT = 100.0
N_REQUIRED_FIELDS = 3


class UpstreamLoad(NamedTuple):
    """Load counts of the upstream and its current pace.

    ``pace`` is how long its work takes now, as a multiple of the usual duration. Other
    processes on the same machine can change it many times a second.
    """

    n_running: int
    n_queued: int
    n_slots: int
    pace: float


def parse_upstream_load(value: bytes) -> UpstreamLoad | None:
    """Return the load in the value of a header field, or None if it is malformed.

    The fields are the running and queued calls, the slots and, optionally, the pace in
    percent. Example: ``parse_upstream_load(b"3,0,8,150")`` has a pace of 1.5.
    """
    parts = value.split(b",")
    numbers: list[int] = []
    for part in parts:
        stripped = part.strip()
        if not stripped.isdigit() or len(stripped) > 9:
            return None
        numbers.append(int(stripped))
    if len(numbers) < N_REQUIRED_FIELDS:
        return None
    pace = USUAL_PACE
    if len(numbers) > N_REQUIRED_FIELDS:
        pace = numbers[N_REQUIRED_FIELDS] / PERCENT
    return UpstreamLoad(numbers[0], numbers[1], numbers[2], pace)
