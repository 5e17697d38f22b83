"""Conversion of asks and grants to and from the messages between daemons."""

import math

from umberdrum import wire
from umberdrum.allotments import _messages, _placement

MS_PER_SECOND = 1000.0


def encode_ask(ask: _messages.AllotmentAsk) -> wire.messages.AllotmentAsk:
    """Return the message of an ask; the age of the clock is rounded down."""
    mask = 0
    for group, half in ask.halves:
        mask |= 1 << (group * _placement.N_HALVES + half)
    message = wire.messages.AllotmentAsk(
        delegated_halves=mask,
        delegation_ms=int(ask.delegation_seconds * MS_PER_SECOND),
        n_daemons=ask.n_daemons,
        grantor_clock_ms=int((ask.grantor_clock or 0.0) * MS_PER_SECOND),
        clock_age_ms=int(ask.clock_age_seconds * MS_PER_SECOND),
        idle_ms=int(ask.idle_seconds * MS_PER_SECOND),
    )
    for row in ask.accounts:
        message.accounts.add(account=row.account, n_requests=row.n_requests)
    return message


def decode_ask(message: wire.messages.AllotmentAsk) -> _messages.AllotmentAsk:
    """Return the ask in a message; unknown halves are left out."""
    halves: list[tuple[int, int]] = []
    for index in range(_placement.N_GROUPS * _placement.N_HALVES):
        if message.delegated_halves >> index & 1:
            halves.append(divmod(index, _placement.N_HALVES))
    rows = [
        _messages.AccountAsk(row.account, row.n_requests) for row in message.accounts
    ]
    clock = message.grantor_clock_ms / MS_PER_SECOND
    return _messages.AllotmentAsk(
        tuple(halves),
        message.delegation_ms / MS_PER_SECOND,
        message.n_daemons,
        clock if message.grantor_clock_ms else None,
        message.clock_age_ms / MS_PER_SECOND,
        tuple(rows),
        message.idle_ms / MS_PER_SECOND,
    )


def encode_grant(grant: _messages.AllotmentGrant) -> wire.messages.AllotmentGrant:
    """Return the message of a grant; the grantor's clock is rounded down."""
    message = wire.messages.AllotmentGrant(
        grantor_clock_ms=int(grant.grantor_clock * MS_PER_SECOND)
    )
    for row in grant.accounts:
        message.accounts.add(
            account=row.account,
            n_requests=row.n_requests,
            wait_ms=math.ceil(row.wait_seconds * MS_PER_SECOND),
        )
    return message


def decode_grant(message: wire.messages.AllotmentGrant) -> _messages.AllotmentGrant:
    """Return the grant in a message."""
    rows = [
        _messages.AccountGrant(row.account, row.n_requests, row.wait_ms / MS_PER_SECOND)
        for row in message.accounts
    ]
    return _messages.AllotmentGrant(
        message.grantor_clock_ms / MS_PER_SECOND, tuple(rows)
    )
