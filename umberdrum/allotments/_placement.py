"""Which daemons give the requests of which accounts."""

import hashlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

# More groups spread the asks over more daemons, but each daemon sends its delegations
# to the grantors of all groups.
N_GROUPS = 2
# The share of each daemon is delegated to two grantors, so that one goes on giving
# while the delegations to the other run out.
N_HALVES = 2


class Member(NamedTuple):
    """Live daemon: its stable address and the process that runs there."""

    daemon_id: str
    process_id: int


MemberSource = Callable[[], Iterable[Member]]


class GrantorPlacement:
    """Chooses the grantors of each group of accounts among the live daemons.

    Each daemon ranks the members by a hash of group and address (rendezvous hashing),
    so that daemons which know the same members choose the same grantors, and a member
    that comes or goes moves only the groups that it gives. Daemons that disagree do no
    harm: what a grantor gives depends on the shares that were delegated to it.
    """

    def __init__(
        self, list_members: MemberSource, get_generation: Callable[[], int]
    ) -> None:
        self._list_members = list_members
        self._get_generation = get_generation
        self._generation: int | None = None
        self._grantors: list[tuple[Member, ...]] = [()] * N_GROUPS

    def get_grantor(self, group: int, half: int) -> Member | None:
        """Return the grantor of a half of ``group``, None if no member is known.

        With a single member both halves have the same grantor.
        """
        generation = self._get_generation()
        if generation != self._generation:
            self._generation = generation
            self._rank_members()
        grantors = self._grantors[group]
        return grantors[min(half, len(grantors) - 1)] if grantors else None

    def _rank_members(self) -> None:
        members = list(self._list_members())
        for group in range(N_GROUPS):
            ranked = sorted(members, key=lambda row: _compute_rank(group, row))
            self._grantors[group] = tuple(ranked[:N_HALVES])


def compute_group(account: str) -> int:
    """Return the group of an account, the same at all daemons."""
    digest = hashlib.blake2b(account.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % N_GROUPS


def _compute_rank(group: int, member: Member) -> bytes:
    return hashlib.blake2b(
        f"{group} {member.daemon_id}".encode(), digest_size=8
    ).digest()
