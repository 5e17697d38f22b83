"""Grantee: the part of a daemon that lets calls through within allotments."""

from collections.abc import Callable
from typing import NamedTuple

from umberdrum.allotments import _messages, _placement

# A few refreshes may be lost before a delegation runs out, and a half whose grantor has
# changed is not used for this time.
MIN_DELEGATION_SECONDS = 1.2
# Keeps the refreshes that one grantor receives at 125 a second in large fleets.
DELEGATION_SECONDS_PER_DAEMON = 0.02
REFRESH_SHARE = 0.4
# Allows for clocks that run at slightly different rates.
HOLD_FACTOR = 1.05
# Requests that were granted and not used are void after this time, so that they can't
# add to those of a later window.
GRANT_SECONDS = 0.5
EMPTY_SECONDS = 0.1


class Ticket(NamedTuple):
    """Right to let one request of ``account`` through, void after ``valid_until``."""

    account: str
    valid_until: float


class _Half:
    """Half of this daemon's share in one group, delegated to one grantor at a time."""

    __slots__ = ("grantor", "held_until", "is_confirmed")

    def __init__(self, held_until: float) -> None:
        self.is_confirmed = False
        self.grantor: _placement.Member | None = None
        self.held_until = held_until


class _GrantorClock(NamedTuple):
    """Clock of a grantor in its last grant, and when that grant arrived here."""

    clock: float
    received_at: float


class AllotmentGrantee:
    """Delegates this daemon's shares, and keeps the requests granted to it.

    A half of the share is delegated to another grantor only once the delegation before
    it has run out. A new process delegates at once: its predecessor delegated to the
    same grantor, which replaces the delegation, or to one that has ended as well,
    unless the grantors have changed in the last moments. Waiting for that case would
    refuse all calls for a second after a power failure. Times are seconds of this
    daemon's clock, which counts while it is suspended.
    """

    def __init__(
        self,
        placement: _placement.GrantorPlacement,
        count_daemons: Callable[[], int],
        started_at: float,
    ) -> None:
        self._placement = placement
        self._count_daemons = count_daemons
        self._started_at = started_at
        self._halves = {
            (group, half): _Half(started_at)
            for group in range(_placement.N_GROUPS)
            for half in range(_placement.N_HALVES)
        }
        self._clocks: dict[_placement.Member, _GrantorClock] = {}
        self._sent_at: dict[_placement.Member, float] = {}
        self._tickets: dict[str, list[Ticket]] = {}
        self._empty_until: dict[tuple[str, _placement.Member], float] = {}

    def list_grantors(self, account: str, turn: int = 0) -> list[_placement.Member]:
        """Return the grantors to ask for requests of ``account``.

        ``turn`` tells which one comes first. Asked in turn, the grantors run out of
        requests at the same time. If one of them were always asked first, it would
        always be empty, and refusals would depend on the other one.
        """
        group = _placement.compute_group(account)
        grantors: list[_placement.Member] = []
        for index in range(_placement.N_HALVES):
            half = (index + turn) % _placement.N_HALVES
            grantor = self._placement.get_grantor(group, half)
            if grantor is not None and grantor not in grantors:
                grantors.append(grantor)
        return grantors

    def list_due_grantors(self, now: float) -> list[_placement.Member]:
        """Return the grantors whose delegations have to be refreshed."""
        refresh_seconds = self._get_delegation_seconds() * REFRESH_SHARE
        due: list[_placement.Member] = []
        for (group, half), state in self._halves.items():
            grantor = self._placement.get_grantor(group, half)
            if grantor is None or grantor in due:
                continue
            if now - self._sent_at.get(grantor, -refresh_seconds) < refresh_seconds:
                continue
            if self._may_delegate(state, grantor, now):
                due.append(grantor)
        return due

    def build_ask(
        self,
        grantor: _placement.Member,
        rows: tuple[_messages.AccountAsk, ...],
        now: float,
    ) -> _messages.AllotmentAsk:
        """Return the ask to send to ``grantor`` now, with the halves that it gets."""
        seconds = self._get_delegation_seconds()
        halves: list[tuple[int, int]] = []
        is_idle = True
        for key, state in self._halves.items():
            if self._placement.get_grantor(*key) != grantor:
                continue
            if not self._may_delegate(state, grantor, now):
                continue
            state.grantor = grantor
            state.held_until = now + seconds * HOLD_FACTOR
            halves.append(key)
            is_idle = is_idle and not state.is_confirmed
        self._sent_at[grantor] = now
        known = self._clocks.get(grantor)
        return _messages.AllotmentAsk(
            tuple(halves),
            seconds,
            self._count_daemons(),
            known.clock if known is not None else None,
            now - known.received_at if known is not None else 0.0,
            rows,
            now - self._started_at if is_idle else 0.0,
        )

    def record_grant(
        self,
        grantor: _placement.Member,
        grant: _messages.AllotmentGrant,
        asked_at: float,
        now: float,
    ) -> bool:
        """Keep what ``grantor`` has granted; return whether it gave its clock first.

        The first ask to a process of a grantor delegates nothing yet, so another one
        should follow at once.
        """
        is_first = grantor not in self._clocks
        if is_first:
            self._drop_old_clocks(grantor)
        else:
            self._confirm_halves(grantor)
        self._clocks[grantor] = _GrantorClock(grant.grantor_clock, now)
        for row in grant.accounts:
            tickets = self._tickets.setdefault(row.account, [])
            ticket = Ticket(row.account, asked_at + GRANT_SECONDS)
            tickets.extend([ticket] * row.n_requests)
            if row.wait_seconds:
                empty_until = now + min(row.wait_seconds, EMPTY_SECONDS)
                self._empty_until[row.account, grantor] = empty_until
        return is_first

    def take(self, account: str, now: float) -> Ticket | None:
        """Return one granted request that is still valid, or None."""
        tickets = self._tickets.get(account)
        while tickets:
            ticket = tickets.pop()
            if ticket.valid_until > now:
                return ticket
        return None

    def has_ticket(self, account: str, now: float) -> bool:
        """Return whether a granted request that is still valid has not been used."""
        return any(row.valid_until > now for row in self._tickets.get(account, ()))

    def give_back(self, ticket: Ticket, now: float) -> None:
        """Return a request that no upstream has run; it keeps its validity."""
        if ticket.valid_until > now:
            self._tickets.setdefault(ticket.account, []).append(ticket)

    def is_empty(self, account: str, grantor: _placement.Member, now: float) -> bool:
        """Return whether ``grantor`` had nothing left for the account a moment ago."""
        return self._empty_until.get((account, grantor), 0.0) > now

    def forget_expired(self, now: float) -> None:
        """Drop what is void, so that it takes no memory."""
        for account, tickets in list(self._tickets.items()):
            valid = [row for row in tickets if row.valid_until > now]
            if valid:
                self._tickets[account] = valid
            else:
                del self._tickets[account]
        for key, until in list(self._empty_until.items()):
            if until <= now:
                del self._empty_until[key]

    def _confirm_halves(self, grantor: _placement.Member) -> None:
        for state in self._halves.values():
            if state.grantor == grantor:
                state.is_confirmed = True

    def _may_delegate(
        self, state: _Half, grantor: _placement.Member, now: float
    ) -> bool:
        """Return whether no other living process can hold the half now."""
        if state.grantor is not None and state.grantor.daemon_id == grantor.daemon_id:
            return True
        return now >= state.held_until

    def _get_delegation_seconds(self) -> float:
        return max(
            MIN_DELEGATION_SECONDS,
            DELEGATION_SECONDS_PER_DAEMON * self._count_daemons(),
        )

    def _drop_old_clocks(self, grantor: _placement.Member) -> None:
        """Forget earlier processes at the address of ``grantor``."""
        for member in list(self._clocks):
            if member.daemon_id == grantor.daemon_id:
                del self._clocks[member]
                self._sent_at.pop(member, None)
