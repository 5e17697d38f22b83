"""Asks for requests of allotments, on behalf of the calls that arrive here."""

import math
from collections.abc import Callable
from typing import Protocol

import expression
import trio

from umberdrum import accounts, errors, supervision
from umberdrum.allotments import _grantee, _messages, _placement

REFRESH_CHECK_SECONDS = 0.1
# A grantor in the same region answers within a few ms; a busy one within 40 ms.
ASK_TIMEOUT_SECONDS = 0.04
MAX_ASK_TIMEOUT_SECONDS = 0.16
ASK_PAUSE_SECONDS = 0.02
# A caller has little use of a longer wait, since its call still has to run.
MAX_WAIT_SHARE_OF_DEADLINE = 0.2
UNKNOWN_RETRY_MS = 300
MAX_REQUESTS_PER_ASK = 64
MS_PER_SECOND = 1000.0

TakeResult = expression.Result[_grantee.Ticket | None, errors.Failure]


class AskTransport(Protocol):
    """Sends asks to other daemons."""

    async def ask(
        self,
        grantor: _placement.Member,
        ask: _messages.AllotmentAsk,
        timeout_seconds: float,
    ) -> _messages.AllotmentGrant | None:
        """Return the grant of ``grantor``, or None if none arrives in time."""


class _Waiter:
    """Call that waits for a granted request; ``event`` is set at its end."""

    __slots__ = ("event", "failure", "ticket")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.ticket: _grantee.Ticket | None = None
        self.failure: errors.Failure | None = None


class AllotmentClient:
    """Lets calls through within the allotment of their account.

    One ask at a time is under way for an account; calls that arrive meanwhile share the
    next one. A call over the allotment is refused at once, and so are those that follow
    it within a moment, without an ask. If no grantor answers, the call waits for a part
    of its time and is then refused as not run.
    """

    def __init__(
        self,
        grantee: _grantee.AllotmentGrantee,
        transport: AskTransport,
        get_clock: Callable[[], float],
        tasks: supervision.TaskStarter,
    ) -> None:
        self._grantee = grantee
        self._transport = transport
        self._get_clock = get_clock
        self._tasks = tasks
        self._waiters: dict[str, list[_Waiter]] = {}
        self._retry_at: dict[str, float] = {}
        self._turn = 0
        self.n_taken = 0
        self.n_over_limit = 0
        self.n_unknown = 0
        self.n_asks = 0

    async def keep_delegations(self, is_needed: Callable[[], bool]) -> None:
        """Refresh the delegations while ``is_needed`` returns true, until cancelled."""
        while True:
            await trio.sleep(REFRESH_CHECK_SECONDS)
            if not is_needed():
                continue
            self._grantee.forget_expired(self._get_clock())
            async with trio.open_nursery() as nursery:
                for grantor in self._grantee.list_due_grantors(self._get_clock()):
                    nursery.start_soon(self._refresh, grantor)

    async def take(self, account: accounts.Account, deadline: float) -> TakeResult:
        """Return the right to let one request through, None if there is no limit.

        ``deadline`` is the call's, in seconds of trio's clock.
        """
        if not account.is_limited:
            return expression.Ok(None)
        ticket = self._grantee.take(account.name, self._get_clock())
        if ticket is None:
            if self._is_used_up(account.name):
                return expression.Error(self._refuse(account, 0.0))
            waited = await self._wait(account, deadline)
            if waited.is_error():
                return waited
            ticket = waited.ok
        self.n_taken += 1
        return expression.Ok(ticket)

    def give_back(self, ticket: _grantee.Ticket) -> None:
        """Return a request that no upstream has run."""
        self._grantee.give_back(ticket, self._get_clock())

    async def find_refusal(self, account: accounts.Account) -> errors.Failure | None:
        """Return how a call would be refused now, None if it would be let through.

        It finds what ``take`` would: requests that were granted before, then the last
        refusals of the grantors, then what they hold. Nothing is taken, delegated or
        remembered, so the next call finds the same.
        """
        if not account.is_limited:
            return None
        if self._grantee.has_ticket(account.name, self._get_clock()):
            return None
        wait_seconds = math.inf
        n_empty = 0
        for grantor in self._grantee.list_grantors(account.name):
            if self._grantee.is_empty(account.name, grantor, self._get_clock()):
                n_empty += 1
                continue
            question = _messages.build_question(account.name)
            grant = await self._transport.ask(
                grantor, question, MAX_ASK_TIMEOUT_SECONDS
            )
            row = _find_row(grant, account.name)
            if row is None:
                continue
            if not row.wait_seconds:
                return None
            n_empty += 1
            wait_seconds = min(wait_seconds, row.wait_seconds)
        if not n_empty:
            return _build_unknown(account)
        retry_at = self._compute_retry_at(account, wait_seconds)
        return self._build_refusal(account, retry_at)

    def _is_used_up(self, account: str) -> bool:
        """Return whether all grantors had nothing left a moment ago."""
        now = self._get_clock()
        grantors = self._grantee.list_grantors(account)
        return bool(grantors) and all(
            self._grantee.is_empty(account, grantor, now) for grantor in grantors
        )

    async def _wait(self, account: accounts.Account, deadline: float) -> TakeResult:
        waiter = _Waiter()
        waiters = self._waiters.get(account.name)
        if waiters is None:
            self._waiters[account.name] = [waiter]
            self._tasks.start_soon(self._ask_for, account)
        else:
            waiters.append(waiter)
        now = trio.current_time()
        give_up_at = now + (deadline - now) * MAX_WAIT_SHARE_OF_DEADLINE
        try:
            with trio.move_on_at(give_up_at):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.ticket is not None:
                self.give_back(waiter.ticket)
            raise
        finally:
            self._remove(account.name, waiter)
        if waiter.ticket is not None:
            return expression.Ok(waiter.ticket)
        if waiter.failure is not None:
            return expression.Error(waiter.failure)
        self.n_unknown += 1
        return expression.Error(_build_unknown(account))

    async def _ask_for(self, account: accounts.Account) -> None:
        try:
            await self._ask_until_settled(account)
        finally:
            del self._waiters[account.name]

    async def _ask_until_settled(self, account: accounts.Account) -> None:
        """Ask the grantors in turn while calls wait; let these through or refuse."""
        timeout_seconds = ASK_TIMEOUT_SECONDS
        while self._waiters[account.name]:
            wait_seconds = math.inf
            n_empty = 0
            has_granted = False
            self._turn += 1
            for grantor in self._grantee.list_grantors(account.name, self._turn):
                if self._grantee.is_empty(account.name, grantor, self._get_clock()):
                    n_empty += 1
                    continue
                row = await self._ask(grantor, account.name, timeout_seconds)
                self._distribute(account.name)
                if row is not None and not row.wait_seconds:
                    has_granted = True
                if row is not None and row.wait_seconds:
                    n_empty += 1
                    wait_seconds = min(wait_seconds, row.wait_seconds)
                if not self._waiters[account.name]:
                    return
            if n_empty and not has_granted:
                # What a grantor that doesn't answer may have left can't be had now.
                self._refuse_all(account, wait_seconds)
                continue
            timeout_seconds = min(timeout_seconds * 2, MAX_ASK_TIMEOUT_SECONDS)
            await trio.sleep(ASK_PAUSE_SECONDS)

    async def _ask(
        self, grantor: _placement.Member, account: str, timeout_seconds: float
    ) -> _messages.AccountGrant | None:
        n_requests = min(len(self._waiters[account]), MAX_REQUESTS_PER_ASK)
        row = _messages.AccountAsk(account, n_requests)
        grant = await self._send(grantor, (row,), timeout_seconds)
        return _find_row(grant, account)

    async def _refresh(self, grantor: _placement.Member) -> None:
        await self._send(grantor, (), MAX_ASK_TIMEOUT_SECONDS)

    async def _send(
        self,
        grantor: _placement.Member,
        rows: tuple[_messages.AccountAsk, ...],
        timeout_seconds: float,
    ) -> _messages.AllotmentGrant | None:
        asked_at = self._get_clock()
        ask = self._grantee.build_ask(grantor, rows, asked_at)
        self.n_asks += 1
        grant = await self._transport.ask(grantor, ask, timeout_seconds)
        if grant is None:
            return None
        now = self._get_clock()
        if self._grantee.record_grant(grantor, grant, asked_at, now):
            again = self._grantee.build_ask(grantor, (), now)
            await self._transport.ask(grantor, again, timeout_seconds)
        return grant

    def _distribute(self, account: str) -> None:
        """Give granted requests to waiting calls, in the order of their arrival."""
        waiters = self._waiters.get(account, [])
        now = self._get_clock()
        while waiters:
            ticket = self._grantee.take(account, now)
            if ticket is None:
                return
            waiter = waiters.pop(0)
            waiter.ticket = ticket
            waiter.event.set()

    def _refuse_all(self, account: accounts.Account, wait_seconds: float) -> None:
        waiters = self._waiters.get(account.name, [])
        while waiters:
            waiter = waiters.pop(0)
            waiter.failure = self._refuse(account, wait_seconds)
            waiter.event.set()

    def _remove(self, account: str, waiter: _Waiter) -> None:
        waiters = self._waiters.get(account)
        if waiters is not None and waiter in waiters:
            waiters.remove(waiter)

    def _refuse(self, account: accounts.Account, wait_seconds: float) -> errors.Failure:
        """Return the refusal of one call, which is counted."""
        self.n_over_limit += 1
        retry_at = self._compute_retry_at(account, wait_seconds)
        self._retry_at[account.name] = retry_at
        return self._build_refusal(account, retry_at)

    def _compute_retry_at(
        self, account: accounts.Account, wait_seconds: float
    ) -> float:
        """Return the clock at which to return, at the rate of the allotment."""
        now = self._get_clock()
        interval_seconds = 1.0 / account.rate_per_second
        if not math.isfinite(wait_seconds) or wait_seconds <= 0:
            wait_seconds = interval_seconds
        retry_at = max(
            now + wait_seconds, self._retry_at.get(account.name, 0.0) + interval_seconds
        )
        return min(retry_at, now + max(1.0, wait_seconds))

    def _build_refusal(
        self, account: accounts.Account, retry_at: float
    ) -> errors.Failure:
        detail = (
            f"account {account.name} has used up {account.rate_per_second:g} requests "
            f"a second and a burst of {account.burst:g}"
        )
        return errors.Failure(
            errors.ErrorKind.ALLOTMENT_EXCEEDED,
            errors.Execution.NOT_RUN,
            detail,
            int((retry_at - self._get_clock()) * MS_PER_SECOND),
        )


def _find_row(
    grant: _messages.AllotmentGrant | None, account: str
) -> _messages.AccountGrant | None:
    """Return what the grantor said of ``account``, None if it said nothing."""
    for row in grant.accounts if grant is not None else ():
        if row.account == account:
            return row
    return None


def _build_unknown(account: accounts.Account) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.ALLOTMENT_UNKNOWN,
        errors.Execution.NOT_RUN,
        f"no daemon has answered for account {account.name}",
        UNKNOWN_RETRY_MS,
    )
