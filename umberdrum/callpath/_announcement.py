"""What an upstream says of itself to the daemon beside it."""

import enum
from typing import NamedTuple

from umberdrum import settings


class EndpointState(enum.Enum):
    """State of the endpoint as a whole."""

    ABSENT = "absent"
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class UpstreamAnnouncement(NamedTuple):
    """What an upstream says of itself to the daemon beside it.

    ``load_path`` is the path of its load endpoint, empty when it has none.
    ``instance_id`` names this run of the upstream where it has a name, ``born_ms`` is
    the start of the run in Unix milliseconds and ``sequence`` counts its announcements;
    both are 0 where the upstream states none. ``cold_seconds`` is how much longer it
    stays slow after its start.
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
