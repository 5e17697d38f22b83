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
FIRST_RETRY_SECONDS = 2.0
# Mean time between the claims of all members of a zone together.
RETRY_SECONDS_PER_MEMBER = 1.5
MIN_RETRY_JITTER, MAX_RETRY_JITTER = 0.5, 1.5


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
        self._n_failed = 0

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

    def draw_retry_seconds(self, n_zone_members: int) -> float:
        """Return the seconds to wait after a claim that has failed.

        Load pattern: the store is down and the zone has lost its contacts, so that all
        its daemons claim. They claim less often the more they are: the store gets as
        few calls from a large zone as from a small one, and soon after it recovers some
        daemon of the zone claims successfully.
        """
        longest = RETRY_SECONDS_PER_MEMBER * max(1, n_zone_members)
        doubled = FIRST_RETRY_SECONDS * 2.0**self._n_failed
        if doubled < longest:
            self._n_failed += 1
        jitter = self._rng.uniform(MIN_RETRY_JITTER, MAX_RETRY_JITTER)
        return min(longest, doubled) * jitter

    def record_success(self) -> None:
        """Record a successful claim: the next one that fails is retried soon."""
        self._n_failed = 0
