"""How long a daemon waits before it claims a contact key."""

import random

SPREAD_PER_MEMBER_SECONDS = 0.1
MAX_SPREAD_SECONDS = 10.0
# Daemons that start together claim one after the other: the first to do so is known
# to the others after two gossip periods.
FIRST_SPREAD_SECONDS = 2.0
# A daemon that starts again takes its own key back before others look for a place.
OWN_KEY_SPREAD_SECONDS = 0.3
HOLDERS_FIRST_SECONDS = 1.0


class ClaimDelay:
    """Draws the delays of one daemon's claims, so that few daemons claim at once.

    Load pattern: all daemons of a zone start together, for the first time or after a
    loss of power. In the second case the keys are still there, under the leases of
    processes that have ended; those that held them go first, so that the others find
    enough contacts and call the store no more.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._is_first = True

    def draw(self, n_zone_members: int, is_holder: bool, has_holders: bool) -> float:
        """Return the seconds to wait before the next claim.

        ``is_holder`` says whether an earlier process at the own address held a key when
        this daemon joined, ``has_holders`` whether any of the zone did.
        """
        is_first, self._is_first = self._is_first, False
        spread = min(MAX_SPREAD_SECONDS, SPREAD_PER_MEMBER_SECONDS * n_zone_members)
        if not is_first:
            return self._rng.uniform(0.0, spread)
        if is_holder:
            return self._rng.uniform(0.0, OWN_KEY_SPREAD_SECONDS)
        least = HOLDERS_FIRST_SECONDS if has_holders else 0.0
        return least + self._rng.uniform(0.0, max(spread, FIRST_SPREAD_SECONDS))
