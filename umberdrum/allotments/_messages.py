"""Messages between daemons that take requests of allotments and those that give them.

Clocks are in seconds. Each daemon has its own; times of two daemons are never compared.
"""

from typing import NamedTuple


class AccountAsk(NamedTuple):
    """Number of requests that a daemon wants to let through for one account.

    0 asks whether a single request would be granted, without taking it.
    """

    account: str
    n_requests: int


class AllotmentAsk(NamedTuple):
    """Ask of one daemon, which also delegates its shares to the grantor.

    ``halves`` are the delegated halves, as pairs of a group and the index of the half.
    The delegations are valid for ``delegation_seconds`` from the moment of sending.
    ``grantor_clock`` is the clock of the grantor in its last grant, None before the
    first, and ``clock_age_seconds`` the time since that grant arrived: their sum is not
    later than the grantor's clock when the ask was sent, however long the ask is under
    way. ``idle_seconds`` is how long nobody has used the halves, because the process of
    the daemon has just started; else 0.
    """

    halves: tuple[tuple[int, int], ...]
    delegation_seconds: float
    n_daemons: int
    grantor_clock: float | None
    clock_age_seconds: float
    accounts: tuple[AccountAsk, ...]
    idle_seconds: float = 0.0


class AccountGrant(NamedTuple):
    """Requests granted for one account.

    ``wait_seconds`` is the time after which a refused request is expected to be
    granted, 0 if all were granted or, asked for none, one would be.
    """

    account: str
    n_requests: int
    wait_seconds: float


class AllotmentGrant(NamedTuple):
    """Answer to an ask, with the clock of the grantor.

    Accounts of which the grantor can't tell anything are missing in ``accounts``.
    """

    grantor_clock: float
    accounts: tuple[AccountGrant, ...]


def build_question(account: str) -> AllotmentAsk:
    """Return the ask that finds out what one request would find, and takes nothing."""
    return AllotmentAsk((), 0.0, 0, None, 0.0, (AccountAsk(account, 0),))
