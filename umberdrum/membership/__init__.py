"""Membership: which endpoints exist, as each daemon describes its own."""

from umberdrum.membership._codec import decode_record, encode_record
from umberdrum.membership._directory import MembershipDirectory
from umberdrum.membership._record import EndpointRecord, RecordState, is_newer
from umberdrum.membership._table import N_BUCKETS, MembershipTable

__all__ = [
    "N_BUCKETS",
    "EndpointRecord",
    "MembershipDirectory",
    "MembershipTable",
    "RecordState",
    "decode_record",
    "encode_record",
    "is_newer",
]
