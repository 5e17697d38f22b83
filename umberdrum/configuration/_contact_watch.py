"""When a daemon reads the store in place of the contacts of its zone."""

import math
import random
from collections.abc import Mapping

CHECK_INTERVAL_SECONDS = 0.2
PROBE_AFTER_SECONDS = 0.4
ANSWER_SECONDS = 0.4
# Of all daemons of a zone together, to each contact.
MEAN_PROBES_PER_CHECK = 2.0
MIN_BACKOFF_SECONDS = 0.6
MAX_BACKOFF_SECONDS = 15.0


class ContactWatch:
    """Decides when to probe the contacts of the zone, and when to read the store.

    Load pattern: all contacts of a zone end, or lose the store and each other, at the
    moment of a change. Gossip suspects them after more than a second, and one that
    replaces them has to claim a key first. Users require a change to be in force within
    2 s. A daemon that has not heard a contact for ``PROBE_AFTER_SECONDS`` probes it,
    and reads the documents itself if none of the contacts answers within
    ``ANSWER_SECONDS``. A large zone sends no more probes than a small one.

    ``heard_at`` gives the contacts of the zone and when each was last heard, in seconds
    of this daemon's monotonic clock.

    Example: two contacts were heard 0.5 s ago. Both are probed, and one answers, so
    that nothing is read.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._probed_at: dict[str, float] = {}
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._next_read_at = -math.inf

    def take_probes(
        self, heard_at: Mapping[str, float], n_zone_members: int, now: float
    ) -> list[str]:
        """Return the ids of the contacts to probe now."""
        self._probed_at = {
            contact: probed_at
            for contact, probed_at in self._probed_at.items()
            if heard_at.get(contact, math.inf) < probed_at
        }
        share = MEAN_PROBES_PER_CHECK / max(1, n_zone_members)
        chosen: list[str] = []
        for contact, last_heard_at in heard_at.items():
            if contact in self._probed_at or now - last_heard_at < PROBE_AFTER_SECONDS:
                continue
            if self._rng.random() >= share:
                continue
            self._probed_at[contact] = now
            chosen.append(contact)
        return chosen

    def take_read(self, heard_at: Mapping[str, float], now: float) -> bool:
        """Return whether to read the store now, and set the time of the next read."""
        if not self._are_silent(heard_at, now):
            self._backoff_seconds = MIN_BACKOFF_SECONDS
            self._next_read_at = -math.inf
            return False
        if now < self._next_read_at:
            return False
        self._next_read_at = now + self._backoff_seconds * self._rng.uniform(0.5, 1.5)
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, self._backoff_seconds * 2)
        return True

    def _are_silent(self, heard_at: Mapping[str, float], now: float) -> bool:
        """Return whether every contact has left a probe unanswered."""
        if not heard_at:
            return False
        for contact in heard_at:
            if now - self._probed_at.get(contact, now) < ANSWER_SECONDS:
                return False
        return True
