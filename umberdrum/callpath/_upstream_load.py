"""Load that an upstream states of itself on its answers."""

from typing import NamedTuple

USUAL_PACE = 1.0
PERCENT = 100.0
N_FIGURES = 3


class UpstreamLoad(NamedTuple):
    """Counts of the upstream, and how long its work takes at this moment.

    ``pace`` is that time as a multiple of the usual one; neighbours on the same
    machine change it many times a second.
    """

    n_running: int
    n_queued: int
    n_slots: int
    pace: float


def parse_upstream_load(value: bytes) -> UpstreamLoad | None:
    """Return the load that a header field spells, or None for a malformed one.

    Example: ``parse_upstream_load(b"3,0,8,150")`` has a pace of 1.5.
    """
    parts = value.split(b",")
    figures: list[int] = []
    for part in parts:
        stripped = part.strip()
        if not stripped.isdigit() or len(stripped) > 9:
            return None
        figures.append(int(stripped))
    if len(figures) < N_FIGURES:
        return None
    pace = USUAL_PACE
    if len(figures) > N_FIGURES:
        pace = figures[N_FIGURES] / PERCENT
    return UpstreamLoad(figures[0], figures[1], figures[2], pace)
