"""Grantor: the daemon that gives out the requests of accounts' allotments."""

import math
from collections.abc import Callable
from typing import NamedTuple

from umberdrum import accounts
from umberdrum.allotments import _messages, _placement

MAX_DELEGATION_SECONDS = 60.0
MAX_WAIT_SECONDS = 5.0
MAX_BUCKETS = 20_000
TOKEN_TOLERANCE = 1e-6
# A daemon has loaded its program within this time.
MAX_IDLE_SECONDS = 1.5
# The rest covers requests that are granted and used in the next window.
SLACK_SHARE = 0.5
# Half of what a grantor holds while all daemons delegate one half to it.
MIN_REFUSING_WEIGHT = 0.25

AccountSource = Callable[[str], accounts.Account | None]


class _DelegationKey(NamedTuple):
    """One half of one daemon's share in a group of accounts."""

    daemon_id: str
    half: int


class _Delegation(NamedTuple):
    """Validity of a delegation, and the number of daemons that its sender knows."""

    valid_until: float
    n_daemons: int


class _Bucket:
    """Token bucket of one account for the shares that are delegated to this grantor."""

    __slots__ = ("burst", "n_tokens", "promised_at", "rate", "updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.n_tokens = 0.0
        self.updated_at = now
        self.promised_at = now

    def settle(self, weight: float, now: float) -> None:
        """Add the tokens since the last update, in which the weight did not change."""
        elapsed_seconds = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.n_tokens += elapsed_seconds * self.rate * weight
        self.drop_excess(weight)

    def drop_excess(self, weight: float) -> None:
        """Drop the tokens beyond the capacity."""
        self.n_tokens = min(self.n_tokens, self.get_capacity(weight))

    def get_capacity(self, weight: float) -> float:
        """Return the most tokens; the halves of a small burst still hold a request."""
        return max(self.burst * weight, min(1.0, _placement.N_HALVES * weight))


class _Group:
    """Delegations for the accounts of one group, and the buckets of these accounts."""

    def __init__(self) -> None:
        self.delegations: dict[_DelegationKey, _Delegation] = {}
        self.buckets: dict[str, _Bucket] = {}
        self.weight = 0.0
        self.next_expiry = math.inf
        # Weight integrated over time: what a bucket would have earned at a rate of 1.
        self._earned_seconds = 0.0
        self._earned_at = 0.0
        self._is_fresh = True

    def expire(self, n_daemons: int, now: float) -> None:
        """Remove delegations that have run out, each at its own time."""
        while self.next_expiry <= now:
            at = self.next_expiry
            for key, delegation in list(self.delegations.items()):
                if delegation.valid_until <= at:
                    del self.delegations[key]
            self.update_weight(n_daemons, at)

    def update_weight(self, n_daemons: int, now: float) -> None:
        """Compute the weight again; buckets are settled with the one before."""
        self.next_expiry = math.inf
        n_known = max(1, n_daemons)
        daemon_ids: set[str] = set()
        for key, delegation in self.delegations.items():
            self.next_expiry = min(self.next_expiry, delegation.valid_until)
            n_known = max(n_known, delegation.n_daemons)
            daemon_ids.add(key.daemon_id)
        n_known = max(n_known, len(daemon_ids))
        weight = len(self.delegations) / (_placement.N_HALVES * n_known)
        if weight == self.weight:
            return
        self._earn(now)
        if weight < self.weight:
            # The capacity of buckets shrinks in the same proportion.
            self._earned_seconds *= weight / self.weight
            self._is_fresh = False
        for bucket in self.buckets.values():
            bucket.settle(self.weight, now)
            bucket.drop_excess(weight)
        self.weight = weight

    def get_bucket(
        self, name: str, rate: float, burst: float, n_start: float, now: float
    ) -> _Bucket:
        """Return the bucket of an account; a new one holds what was earned so far.

        Until a first delegation has run out, it also holds its part of ``n_start``.
        """
        bucket = self.buckets.get(name)
        if bucket is not None:
            return bucket
        self._earn(now)
        if len(self.buckets) >= MAX_BUCKETS:
            self.buckets.clear()
            self._earned_seconds = 0.0
            self._is_fresh = False
        bucket = self.buckets[name] = _Bucket(rate, burst, now)
        bucket.n_tokens = rate * self._earned_seconds
        if self._is_fresh:
            bucket.n_tokens += n_start * self.weight
        bucket.drop_excess(self.weight)
        return bucket

    def add_idle(self, seconds: float, now: float) -> None:
        """Add what one half has earned in a time in which nobody used it."""
        if not self.delegations:
            return
        weight_seconds = seconds * self.weight / len(self.delegations)
        self._earn(now)
        self._earned_seconds += weight_seconds
        for bucket in self.buckets.values():
            bucket.settle(self.weight, now)
            bucket.n_tokens += bucket.rate * weight_seconds
            bucket.drop_excess(self.weight)

    def _earn(self, now: float) -> None:
        self._earned_seconds += max(0.0, now - self._earned_at) * self.weight
        self._earned_at = max(now, self._earned_at)


class AllotmentGrantor:
    """Gives requests of allotments to other daemons, out of their delegated shares.

    Load pattern: the calls of one account arrive at any daemon, at most of them only
    now and then, so that equal fixed shares would refuse calls far below the limit.

    Each of N daemons owns the N-th part of every allotment. It delegates it for a short
    time, in two halves, to the grantors of the account's group. A grantor gives at the
    rate of the account times the weight of the delegations it holds. A half is
    delegated to one grantor at a time, so the weights of all grantors never add up to
    more than 1, and the allotment holds whichever daemons are cut off, killed,
    suspended or started again. Daemons that can't reach a grantor become grantors of
    the little that their own shares allow. A new grantor has only what it has earned by
    the delegations that it holds, because another one may have given out the rest.

    ``n_slack`` is the number of requests by which operators allow an allotment to be
    exceeded in a window. ``SLACK_SHARE`` of it is added to each burst, so that accounts
    whose burst is a few requests are not refused below their limit because two grantors
    hold it. A grantor that has just started has that much at once: after a power
    failure of the whole fleet all buckets would else be empty, and all calls refused.
    For the same reason a new process of a daemon tells for how long its share was not
    used.

    Times are seconds of this daemon's clock, which counts while it is suspended.
    """

    def __init__(
        self,
        get_account: AccountSource,
        count_daemons: Callable[[], int],
        n_slack: float = 0.0,
    ) -> None:
        self._get_account = get_account
        self._count_daemons = count_daemons
        self._extra_burst = n_slack * SLACK_SHARE
        self._groups = [_Group() for _ in range(_placement.N_GROUPS)]
        self.n_granted = 0
        self.n_refused = 0

    def get_weight(self, group: int, now: float) -> float:
        """Return the part of the allotments of ``group`` that this daemon gives."""
        self._groups[group].expire(self._count_daemons(), now)
        return self._groups[group].weight

    def answer(
        self, daemon_id: str, ask: _messages.AllotmentAsk, now: float
    ) -> _messages.AllotmentGrant:
        """Take over the delegations of an ask and grant requests.

        A grantor with few delegations can't tell whether an allotment is used up. It
        then leaves out accounts of which it can grant nothing.
        """
        n_daemons = self._count_daemons()
        for group in self._groups:
            group.expire(n_daemons, now)
        self._record_delegations(daemon_id, ask, n_daemons, now)
        granted: list[_messages.AccountGrant] = []
        for row in ask.accounts:
            account = self._get_account(row.account)
            if account is None:
                continue
            grant = self._grant(account, row.n_requests, now)
            group = self._groups[_placement.compute_group(account.name)]
            is_refusal = not grant.n_requests and grant.wait_seconds > 0
            if is_refusal and group.weight < MIN_REFUSING_WEIGHT:
                continue
            granted.append(grant)
        return _messages.AllotmentGrant(now, tuple(granted))

    def _record_delegations(
        self,
        daemon_id: str,
        ask: _messages.AllotmentAsk,
        n_daemons: int,
        now: float,
    ) -> None:
        """Record delegations whose validity can be told.

        An ask that names no clock of this process, or that was sent too long ago, only
        gets this daemon's clock in return.
        """
        if ask.grantor_clock is None:
            return
        sent_at = min(now, ask.grantor_clock + ask.clock_age_seconds)
        valid_until = sent_at + min(ask.delegation_seconds, MAX_DELEGATION_SECONDS)
        if valid_until <= now:
            return
        delegation = _Delegation(valid_until, ask.n_daemons)
        for group_index, half in ask.halves:
            group = self._groups[group_index]
            key = _DelegationKey(daemon_id, half)
            previous = group.delegations.get(key)
            if previous is not None and previous.valid_until >= valid_until:
                continue
            group.delegations[key] = delegation
            if previous is None or previous.n_daemons != delegation.n_daemons:
                group.update_weight(n_daemons, now)
            if previous is None:
                group.add_idle(min(ask.idle_seconds, MAX_IDLE_SECONDS), now)

    def _grant(
        self, account: accounts.Account, n_asked: int, now: float
    ) -> _messages.AccountGrant:
        if not account.is_limited:
            return _messages.AccountGrant(account.name, n_asked, 0.0)
        group = self._groups[_placement.compute_group(account.name)]
        rate = account.rate_per_second
        burst = account.burst + self._extra_burst
        bucket = group.get_bucket(account.name, rate, burst, self._extra_burst, now)
        bucket.settle(group.weight, now)
        bucket.rate = rate
        bucket.burst = burst
        bucket.drop_excess(group.weight)
        if not n_asked:
            return _messages.AccountGrant(
                account.name, 0, _tell_wait(bucket, group.weight, now)
            )
        n_granted = min(n_asked, int(bucket.n_tokens + TOKEN_TOLERANCE))
        bucket.n_tokens -= n_granted
        self.n_granted += n_granted
        if n_granted == n_asked:
            return _messages.AccountGrant(account.name, n_granted, 0.0)
        self.n_refused += n_asked - n_granted
        wait_seconds = _compute_promise(bucket, group.weight, now)
        bucket.promised_at = now + wait_seconds
        return _messages.AccountGrant(account.name, n_granted, wait_seconds)


def _tell_wait(bucket: _Bucket, weight: float, now: float) -> float:
    """Return the time after which one request would be granted, 0 if it would be now.

    It is not promised to anybody.
    """
    if bucket.n_tokens + TOKEN_TOLERANCE >= 1.0:
        return 0.0
    return _compute_promise(bucket, weight, now)


def _compute_promise(bucket: _Bucket, weight: float, now: float) -> float:
    """Return when the next request is likely granted, one at a time for each ask.

    Load pattern: an account sends many times its limit. Its refused callers return
    spread out at the rate of the limit, and not all for the next token.
    """
    rate = bucket.rate * weight
    if rate <= 0:
        return MAX_WAIT_SECONDS
    free_at = now + max(0.0, 1.0 - bucket.n_tokens) / rate
    promised_at = max(free_at, bucket.promised_at + 1.0 / rate)
    return min(promised_at, now + MAX_WAIT_SECONDS) - now
