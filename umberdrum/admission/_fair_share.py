"""Shares of an endpoint's slots between client accounts."""

# An account without calls for this time takes no part in the shares.
ACTIVE_SECONDS = 2.0
DEFAULT_WEIGHT = 1.0
# A call is never put back by more, so that no account can starve.
MAX_LEAD_SECONDS = 2.0
MAX_ACCOUNTS = 4096


class _AccountShare:
    """Finish tag of an account's last call, its weight, and when it was last seen."""

    __slots__ = ("finish_tag", "seen_at", "weight")

    def __init__(self) -> None:
        self.finish_tag = 0.0
        self.weight = DEFAULT_WEIGHT
        self.seen_at = 0.0


class FairShares:
    """Tells how far accounts are ahead of their fair share of the slots.

    Load pattern: one account sends many times its usual, and more calls wait than can
    be served in time. Served in the order of their targets, the account that sends most
    would get most. Each call therefore moves its account ahead by the time it takes,
    divided by the account's weight (start-time fair queueing; Goyal, Vin and Cheng,
    1996). The gate puts the waiting calls of an account back by its lead: the time
    until the others will have got as much for their weights. Room that others don't use
    is free for any account, and an account that was idle has saved up nothing.

    Times are seconds of the daemon's monotonic clock.
    """

    def __init__(self) -> None:
        self._shares: dict[str, _AccountShare] = {}
        self._virtual_time = 0.0
        self._total_weight = 0.0
        self._total_weight_at = -1.0

    def record_arrival(self, account: str, weight: float, now: float) -> None:
        """Record that a call of the account has arrived; a weight of 0 is unknown."""
        share = self._shares.get(account)
        if share is None:
            if len(self._shares) >= MAX_ACCOUNTS:
                self._remove_idle(now)
            share = self._shares[account] = _AccountShare()
        share.weight = weight if weight > 0 else DEFAULT_WEIGHT
        share.seen_at = now

    def record_start(self, account: str, seconds: float) -> None:
        """Record that a call begins which is expected to take ``seconds``."""
        share = self._shares.get(account)
        if share is None:
            return
        start_tag = max(self._virtual_time, share.finish_tag)
        self._virtual_time = start_tag
        share.finish_tag = start_tag + seconds / share.weight

    def get_lead_seconds(self, account: str, n_slots: int, now: float) -> float:
        """Return for how long the account should wait for the others to catch up."""
        share = self._shares.get(account)
        if share is None or share.finish_tag <= self._virtual_time:
            return 0.0
        lead = (share.finish_tag - self._virtual_time) * self._get_total_weight(now)
        return min(lead / max(1, n_slots), MAX_LEAD_SECONDS)

    def _get_total_weight(self, now: float) -> float:
        """Return the weight of all active accounts, computed once for each moment."""
        if now != self._total_weight_at:
            self._total_weight_at = now
            self._total_weight = 0.0
            for share in self._shares.values():
                if now - share.seen_at <= ACTIVE_SECONDS:
                    self._total_weight += share.weight
        return self._total_weight

    def _remove_idle(self, now: float) -> None:
        for account, share in list(self._shares.items()):
            if now - share.seen_at > ACTIVE_SECONDS:
                del self._shares[account]
