"""Allotments of client accounts that hold across all daemons.

An allotment is a rate and a burst of requests that all daemons together let through.
Daemons give each other requests out of it, without the store and without agreement.
"""

from umberdrum.allotments._client import AllotmentClient, AskTransport, TakeResult
from umberdrum.allotments._clock import get_clock
from umberdrum.allotments._codec import (
    decode_ask,
    decode_grant,
    encode_ask,
    encode_grant,
)
from umberdrum.allotments._grantee import AllotmentGrantee, Ticket
from umberdrum.allotments._grantor import AllotmentGrantor
from umberdrum.allotments._messages import (
    AccountAsk,
    AccountGrant,
    AllotmentAsk,
    AllotmentGrant,
)
from umberdrum.allotments._placement import GrantorPlacement, Member, compute_group

__all__ = [
    "AccountAsk",
    "AccountGrant",
    "AllotmentAsk",
    "AllotmentClient",
    "AllotmentGrant",
    "AllotmentGrantee",
    "AllotmentGrantor",
    "AskTransport",
    "GrantorPlacement",
    "Member",
    "TakeResult",
    "Ticket",
    "compute_group",
    "decode_ask",
    "decode_grant",
    "encode_ask",
    "encode_grant",
    "get_clock",
]
