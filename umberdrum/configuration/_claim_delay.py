"""Random delay before a daemon claims a contact key."""

import random

JITTER_PER_MEMBER_SECONDS = 0.1
MAX_JITTER_SECONDS = 10.0
# Spreads the claims of daemons that start together: the first claim reaches the others
# after two gossip periods.
MIN_INITIAL_JITTER_SECONDS = 2.0
# A restarted daemon reclaims its own key before other daemons look for a free one.
OWN_KEY_JITTER_SECONDS = 0.3
HOLDERS_HEAD_START_SECONDS = 1.0


class ClaimDelay:
    """Draws random delays for one daemon's claims, so that few daemons claim at once.

    The holder of a contact key acts as a contact, see ``ContactManager``.

    Load pattern: all daemons of a zone start together, for the first time or after a
    power failure. After a power failure the keys still exist, under the leases of
    processes that have ended. Daemons whose earlier processes held the keys go first,
    so that the others find enough contacts and make no further store calls.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._is_first = True

    def draw_seconds(
        self, n_zone_members: int, was_holder: bool, had_holders: bool
    ) -> float:
        """Return the seconds to wait before the next claim.

        ``was_holder``: an earlier process at this daemon's address held a key when this
        daemon joined. ``had_holders``: any process of the zone held one at that time.
        Both affect only the first delay.
        """
        is_first, self._is_first = self._is_first, False
        jitter = min(MAX_JITTER_SECONDS, JITTER_PER_MEMBER_SECONDS * n_zone_members)
        if not is_first:
            return self._rng.uniform(0.0, jitter)
        if was_holder:
            return self._rng.uniform(0.0, OWN_KEY_JITTER_SECONDS)
        head_start = HOLDERS_HEAD_START_SECONDS if had_holders else 0.0
        return head_start + self._rng.uniform(
            0.0, max(jitter, MIN_INITIAL_JITTER_SECONDS)
        )
