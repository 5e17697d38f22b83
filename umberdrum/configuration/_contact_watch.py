"""When a daemon reads the store in place of the contacts of its zone."""

import math
import random
from collections.abc import Mapping

from umberdrum import gossip

CHECK_INTERVAL_SECONDS = 0.2
DEFAULT_SPREAD_SECONDS = 2.0
# Shares of the time within which a change has to be in force. A contact renews its
# lease every quarter of it.
MAX_STORE_AGE_SHARE = 0.45
PROBE_AFTER_SHARE = 0.3
ANSWER_SHARE = 0.2
# Of all daemons of a zone together.
MEAN_STARTS_PER_CHECK = 1.0
MIN_BACKOFF_SECONDS = 0.6
MAX_BACKOFF_SECONDS = 15.0
BACKOFF_GROWTH = 1.5


class ContactWatch:
    """Decides when to probe the contacts of the zone, and when to read the store.

    Load pattern: at the moment of a change, all contacts of a zone have ended, or have
    lost the store while they still answer their peers. Gossip suspects ended ones after
    more than a second, a call to the store times out after 2 s, and a daemon that
    replaces a contact has to claim a key first. Users require a change to be in force
    within ``spread_seconds``, of which the following times are shares.

    Contacts tell in their messages when the store last answered them. A daemon that
    knows of no answer within ``PROBE_AFTER_SHARE`` probes them. It reads the
    documents itself if each leaves the probe unanswered for ``ANSWER_SHARE`` or tells
    of no answer within ``MAX_STORE_AGE_SHARE``, or if the zone has no contact for
    ``ANSWER_SHARE``. A large zone probes and reads no more often than a small one.

    ``signs`` gives the last sign of each contact of the zone, ``n_readers`` the number
    of its other daemons, and ``now`` is in seconds of this daemon's monotonic clock.

    Example: two contacts are probed. One gives no answer, the other one answers that
    the store did so 0.3 s ago. Nothing is read.
    """

    def __init__(
        self, rng: random.Random, spread_seconds: float = DEFAULT_SPREAD_SECONDS
    ) -> None:
        self._rng = rng
        self._max_store_age_seconds = MAX_STORE_AGE_SHARE * spread_seconds
        self._probe_after_seconds = PROBE_AFTER_SHARE * spread_seconds
        self._answer_seconds = ANSWER_SHARE * spread_seconds
        self._probed_at: dict[str, float] = {}
        self._without_contact_since = math.inf
        self._backoff_seconds = 0.0
        self._next_read_at = -math.inf

    def take_probes(
        self, signs: Mapping[str, gossip.ContactSign], n_readers: int, now: float
    ) -> list[str]:
        """Return the ids of the contacts to probe now."""
        self._probed_at = {
            contact: probed_at
            for contact, probed_at in self._probed_at.items()
            if contact in signs
            and signs[contact].store_answered_at
            < probed_at - self._max_store_age_seconds
        }
        for sign in signs.values():
            if now - sign.store_answered_at < self._probe_after_seconds:
                return []
        chosen = [contact for contact in signs if contact not in self._probed_at]
        if not chosen or not self._draw_start(n_readers):
            return []
        for contact in chosen:
            self._probed_at[contact] = now
        return chosen

    def take_read(
        self, signs: Mapping[str, gossip.ContactSign], n_readers: int, now: float
    ) -> bool:
        """Return whether to read the store now, and set the time of the next read."""
        if signs:
            self._without_contact_since = math.inf
        else:
            self._without_contact_since = min(self._without_contact_since, now)
        if not self._are_silent(signs, now):
            self._backoff_seconds = 0.0
            self._next_read_at = -math.inf
            return False
        if now < self._next_read_at:
            return False
        # Probes begin at times of their own already.
        is_first = self._next_read_at == -math.inf
        if is_first and not signs and not self._draw_start(n_readers):
            return False
        grown_seconds = self._backoff_seconds * BACKOFF_GROWTH
        lowest = max(MIN_BACKOFF_SECONDS, n_readers * CHECK_INTERVAL_SECONDS)
        highest = max(MAX_BACKOFF_SECONDS, lowest)
        self._backoff_seconds = min(max(grown_seconds, lowest), highest)
        self._next_read_at = now + self._backoff_seconds * self._rng.uniform(0.5, 1.5)
        return True

    def _draw_start(self, n_readers: int) -> bool:
        """Return whether this daemon is one of the few that begin at this check."""
        return self._rng.random() < MEAN_STARTS_PER_CHECK / max(1, n_readers)

    def _are_silent(self, signs: Mapping[str, gossip.ContactSign], now: float) -> bool:
        """Return whether no contact has shown that it follows the store."""
        if not signs:
            return now - self._without_contact_since >= self._answer_seconds
        for contact, sign in signs.items():
            probed_at = self._probed_at.get(contact, math.inf)
            has_answered = sign.heard_at >= probed_at
            is_outdated = now - sign.store_answered_at >= self._max_store_age_seconds
            if has_answered and is_outdated:
                continue
            if now - probed_at < self._answer_seconds:
                return False
        return True
