"""State of an endpoint, and the announcement an upstream sends to its daemon."""

import enum
import hashlib
from typing import NamedTuple

from umberdrum import settings

MARK_BYTES = 8


class EndpointState(enum.Enum):
    """State of an endpoint; it takes new calls only in ``SERVING``."""

    ABSENT = "absent"
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint takes new calls."""
        return self is EndpointState.SERVING


class UpstreamAnnouncement(NamedTuple):
    """Announcement of an upstream to its daemon.

    ``n_slots`` is the number of calls the upstream can run at a time. ``load_path`` is
    the path on which it reports its load, empty if there is none. ``instance_id``
    identifies this run of the upstream and is empty if the upstream sends no id.
    ``born_ms`` is the start of the run in Unix milliseconds. ``sequence`` counts the
    announcements of the run. Both are 0 if the upstream does not send them.
    ``cold_seconds`` is the remaining time in which the upstream, having just started,
    is still slow.
    """

    service: str
    address: settings.Address
    n_slots: int
    state: EndpointState
    load_path: str
    instance_id: str = ""
    born_ms: int = 0
    sequence: int = 0
    cold_seconds: float = 0.0

    @property
    def run_mark(self) -> int:
        """64-bit mark of the run, 0 if the announcement does not identify it."""
        if not (self.instance_id and self.born_ms):
            return 0
        run = f"{self.instance_id}/{self.born_ms}"
        digest = hashlib.blake2b(run.encode(), digest_size=MARK_BYTES).digest()
        return int.from_bytes(digest, "big")
